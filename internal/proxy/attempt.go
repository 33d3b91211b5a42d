package proxy

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
)

// attempt is one offer of a request to a target. Begin and settle are called by the
// request's own goroutine, run by any.
type attempt struct {
	flight   *flight
	member   *mesh.Member
	terms    terms
	request  *exchange.Request
	stats    *placement.Stats
	believed belief
	began    time.Time

	ctx    context.Context
	cancel context.CancelFunc
	// answering is closed when the header of an answer has come.
	answering chan struct{}
}

// outcome is how an attempt ended.
type outcome struct {
	attempt *attempt
	// answer is set without an error, word where the target's node said anything.
	answer *answer
	word   loadWord
	// way is how long the answer took beside what the target's node took.
	way time.Duration
	err error
}

// begin chooses the terms of an attempt and counts it; run must follow.
func (f *flight) begin(ctx context.Context, now time.Time, member *mesh.Member) *attempt {
	f.tried[member.ID] = true
	a := &attempt{flight: f, member: member, terms: f.terms(now, member), request: f.request(member), began: now, answering: make(chan struct{})}
	f.offers++
	a.stats, a.believed = f.proxy.begin(now, member)
	a.ctx, a.cancel = context.WithDeadline(ctx, f.deadline)
	return a
}

// run offers the request and reads the answer.
func (a *attempt) run() outcome {
	p := a.flight.proxy
	defer p.finish(a.stats)
	response, word, err := p.send(a.ctx, a.member, &a.terms, a.request, a.began)
	if err != nil {
		a.cancel()
		return outcome{attempt: a, word: word, err: err}
	}
	close(a.answering)
	way := p.ports.Clock.Now().Sub(a.began) - word.spent
	answer, err := a.flight.read(response, a.cancel)
	if err != nil {
		return outcome{attempt: a, word: word, err: &port.UnknownOutcome{Stage: "answer", Cause: err}}
	}
	return outcome{attempt: a, answer: answer, word: word, way: way}
}

// settle learns from how an attempt ended. Where the target answered that it failed,
// and another may be asked, the answer comes with an error.
func (f *flight) settle(o outcome) (*answer, error) {
	p := f.proxy
	f.last = o.attempt.member.ID
	if o.err != nil {
		p.noteFailure(o.attempt.stats, o.word, o.err)
		f.tellFailed(o.attempt, o.err)
		return nil, o.err
	}
	p.noteAnswer(o.attempt.stats, f.route, o.word, o.way, o.answer)
	if f.failed(o.answer) {
		err := &port.UnknownOutcome{Stage: "answer", Cause: errors.Errorf("the target answered with status %d", o.answer.response.Status)}
		f.tellFailed(o.attempt, err)
		return o.answer, err
	}
	if o.answer.rest == nil && o.answer.response.Status < failedStatus {
		p.crashes.Completed(f.fingerprint)
	}
	return o.answer, nil
}

func (f *flight) tellFailed(a *attempt, err error) {
	p := f.proxy
	p.decisions.failedAttempt(p.ports.Clock.Now(), f, a.member, a.terms.attempt, a.believed, err)
}
