package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
	"tamarackquay/internal/quarantine"
	"tamarackquay/internal/requestbody"
)

type exchangeResponse = exchange.Response

// forwarder forwards one caller's request to targets, in one or more attempts.
type forwarder struct {
	proxy    *Proxy
	snapshot *Snapshot
	route    *mesh.Route
	service  string
	began    time.Time
	deadline time.Time
	// callerDeadline is when the caller stops waiting; zero if it gave no timeout.
	callerDeadline time.Time
	// firstAt is when the caller first sent the request. It is before began if an earlier
	// try of the caller was refused or failed. The target latency counts from it.
	firstAt time.Time

	id     string
	method string
	uri    string
	host   string
	header http.Header
	body   *requestbody.Body
	length int64
	// fingerprint is the same for all attempts and for equal requests of other callers.
	fingerprint quarantine.Fingerprint
	// crashCount is the number of unexplained target crashes during which the request was
	// running, as of its arrival at this node.
	crashCount int

	// restrictions holds the versions of the route whose regions bind the next attempt.
	restrictions []*mesh.Route
	// tried holds the ids of the targets that got an attempt.
	tried map[string]bool
	// lastTarget is the target of the last attempt.
	lastTarget string
	// attempts counts all attempts, arrivals those that may have reached a target.
	attempts int
	arrivals int
	// fullTargets counts targets that refused for lack of free slots.
	fullTargets int

	// fromRetry is the probability that this request is a call made by a retried run.
	fromRetry float64
	// hedged reports whether a second target was tried in parallel with the first.
	hedged bool

	// refusal is the refusal with the shortest Retry-After. unknown is set once any
	// attempt may have run; the caller then must not get a refusal.
	refusal *port.Refusal
	unknown error
	// failureResponse is a target's own response that reports a failure.
	failureResponse *bufferedResponse

	// shortage is the state of the service; nil if its targets don't report how long work
	// takes.
	shortage *serviceShortage
	// hold accounts for the memory of the request; nil without a limit.
	hold *memoryHold
}

// Limits on the search for a target.
const (
	// extendWaitAfter is how many targets may refuse for lack of free slots before the
	// request asks for a longer wait; maxFullTargets is how many may refuse in total.
	// Each was the cheapest of the remaining targets, so the others are probably full
	// too: trying all of them made nine in ten attempts useless under overload.
	extendWaitAfter, maxFullTargets = 2, 3
	// maxAttempts limits the attempts of a request, including those refused by the
	// target's node; the route's MaxAttempts limits those that may have reached a target.
	// A refused attempt costs a round trip, so the nodes of a service are not tried one
	// by one when all are full.
	maxAttempts = 4
	// retryNoTarget is the Retry-After while no target of a service is known.
	retryNoTarget = 500 * time.Millisecond
)

// forward sends the request to one target after another until one responds or no further
// attempt is allowed.
func (f *forwarder) forward(ctx context.Context) (*bufferedResponse, error) {
	if refusal := f.proxy.checkQuarantine(f.fingerprint); refusal != nil {
		return nil, refusal
	}
	f.proxy.countRequest(f)
	for f.attempts < maxAttempts && f.fullTargets < maxFullTargets {
		now := f.proxy.ports.Clock.Now()
		if f.fullTargets > 0 && f.overdue(now) {
			// At every target, the request would be queued behind all those that can
			// still be in time. An immediate refusal leaves the caller more time to
			// retry.
			break
		}
		if !f.callerWaiting(ctx, now) {
			f.recordRefusal(port.Refuse(port.ReasonDeadline, retryNoTarget, "the time was over before a target took the request"))
			break
		}
		if refusal := f.proxy.checkQuarantine(f.fingerprint); refusal != nil {
			f.recordRefusal(refusal)
			break
		}
		member := f.choose(now)
		if member == nil {
			break
		}
		if f.stopsForShortage(now, member) {
			break
		}
		if f.arrivals > 0 && !(f.unsuspected() && f.takeRetry(now, f.arrivals)) {
			break
		}
		resp, err := f.attempt(ctx, now, member)
		if err == nil {
			f.releaseFailure()
			return resp, nil
		}
		if ctx.Err() != nil {
			f.recordError(err)
			break
		}
		if !f.recordFailure(resp, err) {
			break
		}
	}
	return f.result()
}

// recordFailure records a failed attempt and reports whether another may follow. resp is
// set if the target itself responded with a failure.
func (f *forwarder) recordFailure(resp *bufferedResponse, err error) bool {
	if resp != nil {
		f.releaseFailure()
		f.failureResponse = resp
	}
	return f.mayRetry(err)
}

// releaseFailure returns the memory of a failure response that is not passed on, so that the
// response that is can use it.
func (f *forwarder) releaseFailure() {
	if f.failureResponse != nil {
		f.failureResponse.release()
		f.failureResponse = nil
	}
}

// result returns the response or error for the caller after no attempt succeeded.
func (f *forwarder) result() (*bufferedResponse, error) {
	switch {
	case f.failureResponse != nil:
		return f.failureResponse, nil
	case f.unknown != nil:
		return nil, f.unknown
	case f.refusal != nil:
		return nil, f.spreadRetry(f.refusal)
	}
	if len(f.restrictions) > 0 {
		return nil, port.Refuse(port.ReasonRegion, retryNoTarget, "no usable target of service %s in the regions of route %s", f.service, f.route.Name)
	}
	return nil, port.Refuse(port.ReasonNoTarget, retryNoTarget, "no usable target of service %s", f.service)
}

// isFailure reports whether a response reports a failure of the target after which
// another target may be tried.
func (f *forwarder) isFailure(resp *bufferedResponse) bool {
	return resp.rest == nil && f.route.Kind.IsIdempotent() && resp.response.Status >= http.StatusInternalServerError
}

// readResponse buffers the response and checks that it may be passed on.
func (f *forwarder) readResponse(response *exchangeResponse, cancel func()) (*bufferedResponse, error) {
	response.Body = &releasingBody{ReadCloser: response.Body, release: cancel}
	if err := f.checkResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	resp, err := bufferResponse(response, f.hold)
	if err == nil {
		resp.cancel = cancel
	}
	return resp, err
}

var errUnsigned = errors.New("a success that no target vouches for")

// checkResponse returns an error if a response must not be passed on: a success without a target's
// signature, or a status that promises that a request didn't run which may run only once, while the
// target doesn't say so.
func (f *forwarder) checkResponse(response *exchangeResponse) error {
	headers := &f.proxy.config.Headers
	switch {
	case response.Status < http.StatusMultipleChoices && headers.Signature != "" && response.Header.Get(headers.Signature) == "":
		return errUnsigned
	case callhttp.PromisesNotRun(response.Status) && !f.route.Kind.IsIdempotent() && response.Header.Get(headers.NotExecuted) == "":
		return errors.Errorf("the target answered with status %d and doesn't say whether it ran the request", response.Status)
	}
	return nil
}

func (f *forwarder) newRequest(member *mesh.Member) *exchange.Request {
	header := f.header.Clone()
	header[f.proxy.config.Headers.ExpectedTarget] = []string{member.ID}
	r := &exchange.Request{
		Method: f.method, URI: f.uri, Host: f.host, Header: header,
		ContentLength: f.length, IDHeader: f.proxy.config.Headers.RequestID, ID: f.id,
		Reserve: f.hold.reserveHeader,
	}
	if body := f.body.Reader(); body != nil {
		r.Body = body
	}
	return r
}

// send sends the request to the local target, or to the node of another target.
func (p *Proxy) send(ctx context.Context, member *mesh.Member, meta *attemptMeta, r *exchange.Request, now time.Time) (*exchangeResponse, loadReport, error) {
	if member.Address == p.config.TargetAddress {
		return p.runLocal(ctx, meta, r, now)
	}
	if refusal := p.checkReachable(member, p.distance(member), meta.retryable); refusal != nil {
		return nil, loadReport{}, refusal
	}
	r.Header[headerMeta] = []string{meta.encode()}
	writeTargetReport(r.Header, p.peerReport(member))
	p.countUnpaced(int(max(r.ContentLength, 0)) + placement.HeaderBytes)
	// Refusals of nodes have bodies of their own and don't echo the request id.
	r.IDHeader = ""
	address := p.peerAddress(member)
	response, err := p.ports.Peers.Do(ctx, address, r)
	if err != nil {
		if exchange.IsHostUnresponsive(err) && ctx.Err() == nil {
			p.markUnreachable(address)
		}
		return nil, loadReport{}, p.classifyError(err)
	}
	p.recordContact(address)
	report := p.readPeerLoad(response.Header)
	peerErr := callhttp.ReadError(&http.Response{Header: response.Header, Body: response.Body})
	if peerErr != nil {
		return nil, report, peerErr
	}
	if response.Header.Get(p.config.Headers.RequestID) != r.ID {
		_ = response.Body.Close()
		return nil, report, &port.UnknownOutcome{Stage: "answer", Cause: errors.New("the answer is another request's")}
	}
	return response, report, nil
}

// startAttempt counts an attempt that is about to be sent, and returns the statistics and
// the last reported load of its target.
func (p *Proxy) startAttempt(now time.Time, member *mesh.Member) (*placement.Stats, lastLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats[member.ID]
	if stats == nil {
		// The target was removed after it was chosen.
		stats = &placement.Stats{}
	}
	stats.Begin()
	load, age := stats.LastLoad(now)
	return stats, lastLoad{load: load, age: age}
}

func (p *Proxy) endAttempt(stats *placement.Stats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats.End()
}

// recordResponse updates the statistics of a target and its route after a response.
func (p *Proxy) recordResponse(stats *placement.Stats, route *mesh.Route, report loadReport, networkTime time.Duration, resp *bufferedResponse) {
	now := p.ports.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if resp.response.Status >= http.StatusInternalServerError {
		stats.RecordFailure(now)
		return
	}
	relative := p.routeStatsFor(route).Observe(report.holdTime, stats.HoldFactor(), resp.size())
	stats.RecordResponse(now, relative, networkTime)
	p.recordLoad(now, stats, report)
}

func (p *Proxy) recordLoad(now time.Time, stats *placement.Stats, report loadReport) {
	if report.Slots > 0 {
		stats.RecordLoad(now, report.Load)
	}
}

// recordFailure updates the statistics of a target after a failed attempt.
func (p *Proxy) recordFailure(stats *placement.Stats, report loadReport, err error) {
	now := p.ports.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordLoad(now, stats, report)
	var refusal *port.Refusal
	if !errors.As(err, &refusal) {
		stats.RecordFailure(now)
		return
	}
	switch refusal.Reason {
	case port.ReasonStopping, port.ReasonNotReady, port.ReasonUnreachable:
		stats.BackOffRestart(now)
	case port.ReasonDraining, port.ReasonEvacuated, port.ReasonWrongOwner, port.ReasonMisdirected:
		stats.BackOff(now)
	case port.ReasonShed, port.ReasonShedWithRoom:
		stats.RecordFailure(now)
	}
}

// recordError keeps an error of an attempt for the result of the request: a refusal by
// recordRefusal, any other as unknown.
func (f *forwarder) recordError(err error) {
	var refusal *port.Refusal
	if errors.As(err, &refusal) {
		f.recordRefusal(refusal)
		return
	}
	if err != nil {
		f.unknown = err
	}
}

// recordRefusal keeps the refusal with the shortest Retry-After.
func (f *forwarder) recordRefusal(refusal *port.Refusal) {
	if f.refusal == nil || refusal.RetryAfter > 0 && refusal.RetryAfter < f.refusal.RetryAfter {
		f.refusal = refusal
	}
}

// mayRetry records the error of an attempt and reports whether another may follow.
func (f *forwarder) mayRetry(err error) bool {
	f.recordError(err)
	var refusal *port.Refusal
	if !errors.As(err, &refusal) {
		f.arrivals++
		return f.route.Kind.IsIdempotent() && f.body.Rewind()
	}
	switch refusal.Reason {
	case port.ReasonShed, port.ReasonShedWithRoom, port.ReasonMisdirected:
		f.arrivals++
	case port.ReasonDeadline, port.ReasonBusy, port.ReasonQueueFull, port.ReasonMemory:
		f.fullTargets++
	case port.ReasonBadRequest, port.ReasonQuarantined:
		return false
	}
	return f.body.Rewind()
}
