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

// attempt is one attempt to send a request to a target. startAttempt and handleOutcome
// are called by the request's own goroutine, run by any.
type attempt struct {
	forwarder *forwarder
	member    *mesh.Member
	meta      attemptMeta
	request   *exchange.Request
	stats     *placement.Stats
	lastLoad  lastLoad
	began     time.Time
	// number is 1 for the first attempt of a request.
	number int
	// afterFull is whether the attempt follows one that was refused for lack of slots.
	// An attempt in parallel with a slow one doesn't.
	afterFull bool

	ctx    context.Context
	cancel context.CancelFunc
	// headerReceived is closed when the response header has been received.
	headerReceived chan struct{}
}

// outcome is the result of an attempt.
type outcome struct {
	attempt *attempt
	// response is set if err is nil. report is zero if the target's node sent none.
	response *bufferedResponse
	report   loadReport
	// networkTime is the time until the response header without the time spent by the
	// target's node.
	networkTime time.Duration
	err         error
}

// startAttempt sets the metadata of an attempt and counts it; run must follow.
func (f *forwarder) startAttempt(ctx context.Context, now time.Time, member *mesh.Member) *attempt {
	f.tried[member.ID] = true
	a := &attempt{forwarder: f, member: member, meta: f.newMeta(now, member), request: f.newRequest(member), began: now, headerReceived: make(chan struct{})}
	f.attempts++
	a.number = f.attempts
	a.afterFull = f.fullTargets > 0 && !f.hedged
	a.stats, a.lastLoad = f.proxy.startAttempt(now, member)
	a.ctx, a.cancel = context.WithDeadline(ctx, f.deadline)
	return a
}

// run sends the request and reads the response.
func (a *attempt) run() outcome {
	p := a.forwarder.proxy
	defer p.endAttempt(a.stats)
	if refusal := p.beginReceiving(a); refusal != nil {
		a.cancel()
		return outcome{attempt: a, err: refusal}
	}
	defer p.endReceiving(a)
	response, report, err := p.send(a.ctx, a.member, &a.meta, a.request, a.began)
	p.recordPeerReport(a, &report)
	if err != nil {
		a.cancel()
		return outcome{attempt: a, report: report, err: err}
	}
	close(a.headerReceived)
	networkTime := p.ports.Clock.Now().Sub(a.began) - report.nodeTime
	resp, err := a.forwarder.readResponse(response, a.cancel)
	if err != nil {
		return outcome{attempt: a, report: report, err: &port.UnknownOutcome{Stage: "answer", Cause: err}}
	}
	return outcome{attempt: a, response: resp, report: report, networkTime: networkTime}
}

// handleOutcome updates the statistics with the outcome of an attempt. If the target
// responded with a failure and another target may be tried, it returns the response
// together with an error.
func (f *forwarder) handleOutcome(o outcome) (*bufferedResponse, error) {
	p := f.proxy
	f.lastTarget = o.attempt.member.ID
	f.recordAdmission(o)
	if o.err != nil {
		p.recordFailure(o.attempt.stats, o.report, o.err)
		f.logFailure(o.attempt, o.err)
		return nil, o.err
	}
	p.recordResponse(o.attempt.stats, f.route, o.report, o.networkTime, o.response)
	if f.isFailure(o.response) {
		err := &port.UnknownOutcome{Stage: "answer", Cause: errors.Errorf("the target answered with status %d", o.response.response.Status)}
		f.logFailure(o.attempt, err)
		return o.response, err
	}
	if o.response.rest == nil && o.response.response.Status < minFailureStatus {
		p.crashes.RecordCompletion(f.fingerprint)
	}
	return o.response, nil
}

func (f *forwarder) logFailure(a *attempt, err error) {
	p := f.proxy
	p.requestLog.attemptFailed(p.ports.Clock.Now(), f, a.member, a.meta.attemptID, a.lastLoad, err)
}
