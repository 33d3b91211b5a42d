package node

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"tamarackquay/internal/port"
	"tamarackquay/internal/routing/resume"
)

// maxResumes bounds how often one body is resumed. Each time, a target sends
// only the rest of the body.
const maxResumes = 4

// resumingBody is the body of a response. If it breaks, it is resumed from
// another target. The caller gets one complete body, or one that ends with an
// error.
type resumingBody struct {
	ctx       context.Context
	forwarder *forwarder
	plan      *resume.Plan
	current   *openResponse
	offset    int64
	resumes   int
}

// withResume replaces the response's body by a resumingBody if it is possible to
// verify that another target sends the same bytes.
func (f *forwarder) withResume(ctx context.Context, resp *openResponse) *openResponse {
	if f.call.Method != http.MethodGet || !f.route.Idempotent {
		return resp
	}
	plan, ok := resume.NewPlan(describeResponse(resp.response))
	if !ok {
		return resp
	}
	body := &resumingBody{ctx: ctx, forwarder: f, plan: plan, current: resp}
	response := *resp.response
	response.Body = body
	return &openResponse{response: &response, release: func() { body.current.release() }}
}

func describeResponse(response *port.Response) resume.Response {
	return resume.Response{
		Status: response.Status, Length: response.ContentLength,
		ETag: response.Header.Get("Etag"), ContentRange: response.Header.Get("Content-Range"),
	}
}

// Read implements io.Reader.
func (b *resumingBody) Read(p []byte) (int, error) {
	for {
		count, err := b.current.response.Body.Read(p)
		b.offset += int64(count)
		if err == nil || err == io.EOF || b.ctx.Err() != nil {
			return count, err
		}
		if count > 0 {
			return count, nil
		}
		if resumeErr := b.resume(); resumeErr != nil {
			return 0, errors.Wrapf(err, "failed to resume body (%v)", resumeErr)
		}
	}
}

// Close implements io.Closer.
func (b *resumingBody) Close() error { return b.current.response.Body.Close() }

// resume replaces the broken response by one that starts where it broke.
func (b *resumingBody) resume() error {
	if b.resumes++; b.resumes > maxResumes {
		return errors.Errorf("body broke %d times", b.resumes)
	}
	// The slot of the broken attempt is released first, otherwise the same
	// request would hold two slots.
	b.current.release()
	b.current = &openResponse{response: &port.Response{Body: http.NoBody}, release: func() {}}
	resp, err := b.forwarder.continuation(b.plan, b.offset, b.resumes == 1).dispatch(b.ctx)
	if isNoTarget(err) {
		// The target whose response broke is the only one within the route's reach.
		resp, err = b.forwarder.continuation(b.plan, b.offset, false).dispatch(b.ctx)
	}
	if err != nil {
		return err
	}
	if err := b.plan.Check(b.offset, describeResponse(resp.response)); err != nil {
		resp.release()
		return err
	}
	b.current = resp
	b.forwarder.node.ports.Meter.Count(port.MetricResumed, b.forwarder.route.Name, 1)
	return nil
}

// isNoTarget reports whether a request was refused because no target could be tried.
func isNoTarget(err error) bool {
	var refusal *port.Refusal
	return errors.As(err, &refusal) && (refusal.Reason == port.ReasonNoTarget || refusal.Reason == port.ReasonRegion)
}

// continuation returns the forwarder of the request for the rest of the body,
// with a deadline of its own. The target whose response broke is excluded on
// request: another one is more likely to send the rest.
func (f *forwarder) continuation(plan *resume.Plan, offset int64, excludeBroken bool) *forwarder {
	call := *f.call
	call.ID = f.node.newID()
	call.Deadline = f.node.ports.Clock.Now().Add(f.route.Deadline.Std())
	call.Header = f.call.Header.Clone()
	for _, name := range []string{"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"} {
		call.Header.Del(name)
	}
	call.Header.Set("Range", plan.Range(offset))
	call.Header.Set("If-Range", plan.ETag())
	next := *f
	next.call = &call
	next.refusal, next.unknown = nil, nil
	next.tried = nil
	if broken := f.tried; len(broken) > 0 && excludeBroken {
		next.tried = append(next.tried, broken[len(broken)-1])
	}
	return &next
}
