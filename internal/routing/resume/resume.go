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
func NewPlan(response Response) (*Plan, bool) {
	if !isStrong(response.ETag) || response.Length <= 0 {
		return nil, false
	}
	switch response.Status {
	case statusOK:
		return &Plan{etag: response.ETag, last: response.Length - 1, total: response.Length}, true
	case statusPartial:
		plan := &Plan{etag: response.ETag}
		if err := plan.parseRange(response.ContentRange); err != nil || plan.last-plan.first+1 != response.Length {
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
// after the bytes that were already sent to the caller.
func (p *Plan) Range(sent int64) string {
	return fmt.Sprintf("bytes=%d-%d", p.first+sent, p.last)
}

// Check returns an error if a response does not continue the body after the
// bytes that were already sent to the caller.
func (p *Plan) Check(sent int64, response Response) error {
	var got Plan
	if response.Status != statusPartial {
		return errors.Errorf("status %d, expected 206", response.Status)
	}
	if response.ETag != p.etag {
		return errors.Errorf("ETag %s, expected %s", response.ETag, p.etag)
	}
	if err := got.parseRange(response.ContentRange); err != nil {
		return err
	}
	if got.first != p.first+sent || got.last != p.last || got.total != p.total {
		return errors.Errorf("range %s, expected %s", response.ContentRange, p.Range(sent))
	}
	if response.Length >= 0 && response.Length != got.last-got.first+1 {
		return errors.Errorf("length %d does not match range %s", response.Length, response.ContentRange)
	}
	return nil
}
