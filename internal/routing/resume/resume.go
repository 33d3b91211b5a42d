// Package resume decides whether a body that broke off can be continued from
// another target, so that the caller sees one whole body. The package is pure.
package resume

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Answer is what the decision needs to know of an answer.
type Response struct {
	Status int
	// ETag and ContentRange are header values, empty when absent.
	ETag         string
	ContentRange string
	// Length is the length of the body, negative when it is not known.
	Length int64
}

// Statuses with a body that can be continued.
const (
	statusOK      = 200
	statusPartial = 206
)

// Plan says how the body of one answer can be continued.
type Plan struct {
	etag string
	// first, last and total are positions in the whole representation; last
	// is inclusive.
	first, last, total int64
}

// For returns the plan for an answer, or false if a break must be shown to the
// caller. Only a strong ETag proves that another target's bytes are the same.
func NewPlan(a Response) (*Plan, bool) {
	if !strong(a.ETag) || a.Length <= 0 {
		return nil, false
	}
	switch a.Status {
	case statusOK:
		return &Plan{etag: a.ETag, last: a.Length - 1, total: a.Length}, true
	case statusPartial:
		plan := &Plan{etag: a.ETag}
		if err := plan.parse(a.ContentRange); err != nil || plan.last-plan.first+1 != a.Length {
			return nil, false
		}
		return plan, true
	}
	return nil, false
}

func strong(etag string) bool { return len(etag) > 2 && strings.HasPrefix(etag, `"`) }

func (p *Plan) parse(contentRange string) error {
	count, err := fmt.Sscanf(contentRange, "bytes %d-%d/%d", &p.first, &p.last, &p.total)
	if err != nil || count != 3 {
		return errors.Errorf("content range %q", contentRange)
	}
	if p.first < 0 || p.last < p.first || p.total <= p.last {
		return errors.Errorf("content range %q", contentRange)
	}
	return nil
}

// ETag is the value for If-Range.
func (p *Plan) ETag() string { return p.etag }

// Range is the value of the Range header that asks for what follows after so
// many bytes of the body.
func (p *Plan) Range(after int64) string {
	return fmt.Sprintf("bytes=%d-%d", p.first+after, p.last)
}

// Check returns why an answer does not continue the body after so many bytes,
// or nil.
func (p *Plan) Check(after int64, a Response) error {
	var got Plan
	if a.Status != statusPartial {
		return errors.Errorf("status %d in place of a part", a.Status)
	}
	if a.ETag != p.etag {
		return errors.Errorf("ETag %s in place of %s", a.ETag, p.etag)
	}
	if err := got.parse(a.ContentRange); err != nil {
		return err
	}
	if got.first != p.first+after || got.last != p.last || got.total != p.total {
		return errors.Errorf("range %s in place of %s", a.ContentRange, p.Range(after))
	}
	if a.Length >= 0 && a.Length != got.last-got.first+1 {
		return errors.Errorf("length %d does not fit range %s", a.Length, a.ContentRange)
	}
	return nil
}
