package node

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/port"
	"tamarackquay/internal/requestbody"
	"tamarackquay/internal/routing"
)

// loadHeader is the response header in which a target reports its load, as
// "running/slots".
const loadHeader = "Target-Load"

// openResponse is a response whose body has not been read to its end. release
// must be called once, after the body was written to the caller or abandoned.
type openResponse struct {
	response *port.Response
	release  func()
}

// forwarder forwards one caller's request and holds the state of its attempts.
type forwarder struct {
	node      *Node
	call      *port.Call
	route     *contract.Route
	upstreams *upstreams
	slowStart time.Duration
	body      *requestbody.Body
	tried     []*target
	// offers counts the offers to targets, probes included. probed are the
	// targets whose probe found no free slot. waited is set once a target to
	// queue at was chosen after that.
	offers int
	probed []*target
	waited bool
	// shortDeadline is set if the caller sent a time budget of its own.
	shortDeadline bool
	// minDistance is the smallest distance of the next attempt's target.
	minDistance routing.Distance

	// refusal is the refusal with the shortest time to retry.
	refusal *port.Refusal
	// unknown is set once any attempt may have run: the caller must then not
	// get a later refusal, which states that the request did not run.
	unknown error
}

func (n *Node) newForwarder(call *port.Call, route *contract.Route, service *contract.Service, body *requestbody.Body) *forwarder {
	return &forwarder{
		node: n, call: call, route: route, body: body,
		upstreams: n.targets.service(call.Service),
		slowStart: slowStart(service),
	}
}

// dispatch offers the call to one target after another until one responds or no
// further attempt is allowed.
func (f *forwarder) dispatch(ctx context.Context) (*openResponse, error) {
	f.upstreams.deposit()
	for number := 0; number < f.node.config.MaxAttempts; {
		now := f.node.ports.Clock.Now()
		if !now.Before(f.call.Deadline) || ctx.Err() != nil {
			f.recordRefusal(port.Refuse(port.ReasonDeadline, retryAfterDeadline, "the deadline passed before a target took the request"))
			break
		}
		t, probe := f.chooseProbe(now)
		if t == nil {
			break
		}
		f.tried = append(f.tried, t)
		resp, err := f.attempt(ctx, t, number, probe)
		if err == nil && !f.retryOnStatus(resp, number) {
			return resp, nil
		}
		if f.recordBusy(t, err) && ctx.Err() == nil {
			continue
		}
		number++
		if err == nil {
			resp.release()
			continue
		}
		if ctx.Err() != nil || !f.mayRetry(t, err) {
			f.recordError(err)
			break
		}
	}
	return nil, f.outcome()
}

// outcome returns the error for the caller when no attempt got a response.
func (f *forwarder) outcome() error {
	switch {
	case f.unknown != nil:
		return f.unknown
	case f.refusal != nil:
		return f.refusal
	}
	if len(f.route.Domains) > 0 {
		return port.Refuse(port.ReasonRegion, retryWhenNotReady, "no live target of service %s in the failure domains of route %s", f.call.Service, f.route.Name)
	}
	return port.Refuse(port.ReasonNoTarget, retryWhenNotReady, "no live target of service %s", f.call.Service)
}

func (f *forwarder) recordRefusal(refusal *port.Refusal) {
	if f.refusal == nil || sooner(refusal.RetryAfter, f.refusal.RetryAfter) {
		f.refusal = refusal
	}
}

// sooner reports whether a is a shorter time to retry than b; zero means that
// there is no time to retry.
func sooner(a, b time.Duration) bool { return a > 0 && (b == 0 || a < b) }

// attempt offers the call to one target.
func (f *forwarder) attempt(ctx context.Context, t *target, number int, probe bool) (*openResponse, error) {
	clock := f.node.ports.Clock
	start := clock.Now()
	call := f.attemptCall(start, number)
	call.NoWait = probe
	t.begin(start)
	response, done, err := f.node.offer(ctx, t, call)
	t.endWait(start)
	if err != nil {
		t.end()
		return nil, err
	}
	now := clock.Now()
	if isFailureStatus(response.Status) {
		f.recordFailure(now, t)
	} else {
		t.recordResponse(now, now.Sub(start))
	}
	if running, ok := parseLoad(response.Header); ok {
		t.recordLoad(now, running)
	}
	return &openResponse{response: response, release: func() { done(); t.end() }}, nil
}

// attemptCall returns the call for one attempt. Each attempt has its own id, so
// that an owner node can distinguish a second attempt from a duplicate of the
// first.
func (f *forwarder) attemptCall(now time.Time, number int) *port.Call {
	call := *f.call
	if f.offers > 0 {
		call.ID += "." + strconv.Itoa(f.offers)
	}
	f.offers++
	call.Body = f.body.Reader()
	call.Deadline = f.attemptDeadline(now, number)
	return &call
}

// attemptDeadline leaves time for another attempt. Otherwise a target that hangs
// would use up the whole deadline, and the caller of an idempotent request would
// get no response although other targets could serve it. The last attempt, and
// any attempt that can't be retried, gets all the remaining time.
func (f *forwarder) attemptDeadline(now time.Time, number int) time.Time {
	if !f.route.Idempotent || number+1 >= f.node.config.MaxAttempts || !f.body.Rewind() {
		return f.call.Deadline
	}
	return now.Add(f.call.Deadline.Sub(now) / 2)
}

// recordError keeps an attempt's error for the outcome of the whole request.
func (f *forwarder) recordError(err error) {
	var refusal *port.Refusal
	if errors.As(err, &refusal) {
		f.recordRefusal(refusal)
		return
	}
	f.unknown = err
}

// mayRetry records a failed attempt and reports whether another may follow.
func (f *forwarder) mayRetry(t *target, err error) bool {
	now := f.node.ports.Clock.Now()
	var refusal *port.Refusal
	f.recordError(err)
	if !errors.As(err, &refusal) {
		f.recordNoResponse(now, t)
		return routing.MayRetry(routing.Unknown, f.route.Idempotent) && f.takeRetry()
	}
	switch refusal.Reason {
	case port.ReasonStopping, port.ReasonDraining, port.ReasonNotReady, port.ReasonWrongOwner:
		// The target itself refuses all work, so this node backs off from it.
		// Few requests get this refusal, so the retry doesn't count against
		// the retry budget and a planned stop fails no request.
		t.backOff(now)
		return f.body.Rewind()
	case port.ReasonUnreachable:
		f.recordFailure(now, t)
	case port.ReasonQueueFull, port.ReasonBusy, port.ReasonShed, port.ReasonLimit:
		f.minDistance = routing.NextDistance(t.distance, true)
	case port.ReasonNoGrant, port.ReasonBadRequest:
		return false
	}
	return f.takeRetry()
}

// takeRetry takes a retry from the service's retry budget. It returns false if
// there is none or the body can't be sent again.
func (f *forwarder) takeRetry() bool {
	if !f.body.Rewind() || !f.upstreams.withdraw() {
		return false
	}
	f.node.ports.Meter.Count(port.MetricRetries, f.route.Name, 1)
	return true
}

func (f *forwarder) recordFailure(now time.Time, t *target) {
	if t.recordFailure() {
		f.upstreams.pool.Load().eject(now, t)
	}
}

// recordNoResponse counts an attempt without a response as the target's failure,
// unless the caller had sent a time budget: callers with a few milliseconds left
// would otherwise eject healthy targets.
func (f *forwarder) recordNoResponse(now time.Time, t *target) {
	if !f.shortDeadline {
		f.recordFailure(now, t)
	}
}

// retryOnStatus reports whether a response is to be discarded for another
// attempt because its status only reports a failure of the target.
func (f *forwarder) retryOnStatus(resp *openResponse, number int) bool {
	if !isFailureStatus(resp.response.Status) || !f.route.Idempotent || number+1 >= f.node.config.MaxAttempts {
		return false
	}
	if f.choose(f.node.ports.Clock.Now(), f.minDistance) == nil || !f.takeRetry() {
		return false
	}
	f.unknown = &port.UnknownOutcome{Stage: "answer", Cause: errors.Errorf("the target answered with status %d", resp.response.Status)}
	return true
}

// isFailureStatus reports whether a status means that the target, rather than
// the request, is at fault.
func isFailureStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// parseLoad returns the number of running requests that the target reported.
func parseLoad(header http.Header) (int, bool) {
	text, _, ok := strings.Cut(header.Get(loadHeader), "/")
	if !ok {
		return 0, false
	}
	running, err := strconv.Atoi(text)
	return running, err == nil && running >= 0
}

// offer runs the call on the VM's target, through its owner node. The returned
// function must be called when the response's body is no longer needed.
func (n *Node) offer(ctx context.Context, t *target, call *port.Call) (*port.Response, func(), error) {
	if t.vm.ID == n.config.Self.ID {
		return n.runLocal(ctx, call)
	}
	response, err := n.ports.Forward.Forward(ctx, t.vm, call)
	if err != nil {
		return nil, nil, err
	}
	response.Body = newStallReader(response.Body, call.StallTimeout)
	return response, func() { response.Body.Close() }, nil
}
