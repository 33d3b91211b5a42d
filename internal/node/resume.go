package node

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"tamarackquay/internal/port"
	"tamarackquay/internal/routing/resume"
)

// maxResumes bounds how often one body is continued. Each time costs a target
// the rest of the body, never the whole of it.
const maxResumes = 4

// resumingBody is the body of an answer that is continued from another target
// when it breaks. The caller sees one whole body, or one that is broken.
type resumingBody struct {
	ctx     context.Context
	flight  *flight
	plan    *resume.Plan
	current *delivery
	passed  int64
	resumes int
}

// resumable puts a resumingBody in place of the delivery's body where another
// target's bytes are known to be the same.
func (f *flight) resumable(ctx context.Context, d *delivery) *delivery {
	if f.call.Method != http.MethodGet || !f.route.Idempotent {
		return d
	}
	plan, ok := resume.NewPlan(describe(d.answer))
	if !ok {
		return d
	}
	body := &resumingBody{ctx: ctx, flight: f, plan: plan, current: d}
	answer := *d.answer
	answer.Body = body
	return &delivery{answer: &answer, release: func() { body.current.release() }}
}

func describe(answer *port.Response) resume.Response {
	return resume.Response{
		Status: answer.Status, Length: answer.ContentLength,
		ETag: answer.Header.Get("Etag"), ContentRange: answer.Header.Get("Content-Range"),
	}
}

// Read implements io.Reader.
func (b *resumingBody) Read(p []byte) (int, error) {
	for {
		count, err := b.current.answer.Body.Read(p)
		b.passed += int64(count)
		if err == nil || err == io.EOF || b.ctx.Err() != nil {
			return count, err
		}
		if count > 0 {
			return count, nil
		}
		if resumeErr := b.resume(); resumeErr != nil {
			return 0, errors.Wrapf(err, "not resumed (%v)", resumeErr)
		}
	}
}

// Close implements io.Closer.
func (b *resumingBody) Close() error { return b.current.answer.Body.Close() }

// resume replaces the broken delivery by one that starts where it broke.
func (b *resumingBody) resume() error {
	if b.resumes++; b.resumes > maxResumes {
		return errors.Errorf("broke %d times", b.resumes)
	}
	// The slot of the broken attempt is given back first, or the same request
	// would hold two.
	b.current.release()
	b.current = &delivery{answer: &port.Response{Body: http.NoBody}, release: func() {}}
	next := b.flight.continuation(b.plan, b.passed, b.resumes)
	d, err := next.dispatch(b.ctx)
	if err != nil {
		return err
	}
	if err := b.plan.Check(b.passed, describe(d.answer)); err != nil {
		d.release()
		return err
	}
	b.current = d
	b.flight.node.ports.Meter.Count(port.MetricResumed, b.flight.route.Name, 1)
	return nil
}

// continuation is the request for the rest of the body, with a deadline of its
// own. The target that broke is tried last: it may be the only one.
func (f *flight) continuation(plan *resume.Plan, passed int64, number int) *flight {
	call := *f.call
	call.ID = f.node.newID()
	call.Deadline = f.node.ports.Clock.Now().Add(f.route.Deadline.Std())
	call.Header = f.call.Header.Clone()
	for _, name := range []string{"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"} {
		call.Header.Del(name)
	}
	call.Header.Set("Range", plan.Range(passed))
	call.Header.Set("If-Range", plan.ETag())
	next := *f
	next.call = &call
	next.refusal, next.unknown = nil, nil
	next.tried = nil
	if broken := f.tried; len(broken) > 0 && number == 1 {
		next.tried = append(next.tried, broken[len(broken)-1])
	}
	return &next
}
