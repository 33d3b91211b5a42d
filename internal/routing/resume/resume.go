// Package resume decides whether an interrupted response body can be continued
// from another target, so that the caller receives one complete body. The package
// is pure.
package resume

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Response holds the properties of a response on which the decision depends.
type Response struct {
	Status int
	// ETag and ContentRange are header values, empty when absent.
	ETag         string
	ContentRange string
	// Length is the length of the body, negative when it is not known.
	Length int64
}

// Statuses whose response body can be continued.
const (
	statusOK      = 200
	statusPartial = 206
)

// Plan holds the data needed to continue the body of one response.
type Plan struct {
	etag string
	// first and last are positions in the complete representation, last
	// inclusive; total is its length.
	first, last, total int64
}

// NewPlan returns the plan for a response, or false if an interruption must be
// passed on to the caller. Only a strong ETag proves that another target's bytes
// are identical.
func NewPlan(a Response) (*Plan, bool) {
	if !isStrong(a.ETag) || a.Length <= 0 {
		return nil, false
	}
	switch a.Status {
	case statusOK:
		return &Plan{etag: a.ETag, last: a.Length - 1, total: a.Length}, true
	case statusPartial:
		plan := &Plan{etag: a.ETag}
		if err := plan.parseRange(a.ContentRange); err != nil || plan.last-plan.first+1 != a.Length {
			return nil, false
		}
		return plan, true
	}
	return nil, false
}

func isStrong(etag string) bool { return len(etag) > 2 && strings.HasPrefix(etag, `"`) }

func (p *Plan) parseRange(contentRange string) error {
	count, err := fmt.Sscanf(contentRange, "bytes %d-%d/%d", &p.first, &p.last, &p.total)
	if err != nil || count != 3 {
		return errors.Errorf("invalid content range %q", contentRange)
	}
	if p.first < 0 || p.last < p.first || p.total <= p.last {
		return errors.Errorf("invalid content range %q", contentRange)
	}
	return nil
}

// ETag returns the value of the If-Range header.
func (p *Plan) ETag() string { return p.etag }

// Range returns the value of the Range header that requests the rest of the body
// after the given number of bytes.
func (p *Plan) Range(after int64) string {
	return fmt.Sprintf("bytes=%d-%d", p.first+after, p.last)
}

// Check returns an error if a response does not continue the body after the given
// number of bytes.
func (p *Plan) Check(after int64, a Response) error {
	var got Plan
	if a.Status != statusPartial {
		return errors.Errorf("status %d, expected 206", a.Status)
	}
	if a.ETag != p.etag {
		return errors.Errorf("ETag %s, expected %s", a.ETag, p.etag)
	}
	if err := got.parseRange(a.ContentRange); err != nil {
		return err
	}
	if got.first != p.first+after || got.last != p.last || got.total != p.total {
		return errors.Errorf("range %s, expected %s", a.ContentRange, p.Range(after))
	}
	if a.Length >= 0 && a.Length != got.last-got.first+1 {
		return errors.Errorf("length %d does not match range %s", a.Length, a.ContentRange)
	}
	return nil
}
