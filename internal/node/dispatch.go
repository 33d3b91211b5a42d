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

// loadHeader is the target's report of its load, "running/slots".
const loadHeader = "Target-Load"

// delivery is an answer on its way to the caller. Release must be called once
// when its body has been passed on or given up.
type delivery struct {
	answer  *port.Response
	release func()
}

// flight is one caller's request with the attempts made for it.
type flight struct {
	node      *Node
	call      *port.Call
	route     *contract.Route
	upstreams *upstreams
	slowStart time.Duration
	body      *requestbody.Body
	tried     []*target
	// offers counts what was offered to targets; probed are those that had no
	// free slot, waited says that a target to wait at was chosen since.
	offers int
	probed []*target
	waited bool
	// shortened says that the caller gave less time than the route does.
	shortened bool
	// least is the least distance of the next attempt.
	least routing.Distance

	// refusal is the refusal that lets the caller come back soonest.
	refusal *port.Refusal
	// unknown is set once any attempt may have run: a later refusal must not
	// then tell the caller that the request did not run.
	unknown error
}

func (n *Node) newFlight(call *port.Call, route *contract.Route, service *contract.Service, body *requestbody.Body) *flight {
	return &flight{
		node: n, call: call, route: route, body: body,
		upstreams: n.targets.service(call.Service),
		slowStart: slowStartOf(service),
	}
}

// dispatch offers the call to one target after another until one answers or
// another attempt is not allowed.
func (f *flight) dispatch(ctx context.Context) (*delivery, error) {
	f.upstreams.deposit()
	for number := 0; number < f.node.config.MaxAttempts; {
		now := f.node.ports.Clock.Now()
		if !now.Before(f.call.Deadline) || ctx.Err() != nil {
			f.refused(port.Refuse(port.ReasonDeadline, retryAfterDeadline, "the deadline passed before a target took the request"))
			break
		}
		t, probe := f.chooseProbe(now)
		if t == nil {
			break
		}
		f.tried = append(f.tried, t)
		d, err := f.attempt(ctx, t, number, probe)
		if err == nil && !f.tryElsewhere(d, number) {
			return d, nil
		}
		if f.busy(t, err) && ctx.Err() == nil {
			continue
		}
		number++
		if err == nil {
			d.release()
			continue
		}
		if ctx.Err() != nil || !f.mayRetry(t, err) {
			f.note(err)
			break
		}
	}
	return nil, f.outcome()
}

// outcome is what the caller is told when no attempt was answered.
func (f *flight) outcome() error {
	switch {
	case f.unknown != nil:
		return f.unknown
	case f.refusal != nil:
		return f.refusal
	}
	return port.Refuse(port.ReasonNoTarget, retryWhenNotReady, "no live target of service %s", f.call.Service)
}

func (f *flight) refused(refusal *port.Refusal) {
	if f.refusal == nil || sooner(refusal.RetryAfter, f.refusal.RetryAfter) {
		f.refusal = refusal
	}
}

// sooner reports whether a is an earlier time to come back; zero is never.
func sooner(a, b time.Duration) bool { return a > 0 && (b == 0 || a < b) }

// attempt offers the call to one target.
func (f *flight) attempt(ctx context.Context, t *target, number int, probe bool) (*delivery, error) {
	clock := f.node.ports.Clock
	start := clock.Now()
	call := f.attemptCall(start, number)
	call.NoWait = probe
	t.begin(start)
	answer, done, err := f.node.offer(ctx, t, call)
	t.heard(start)
	if err != nil {
		t.end()
		return nil, err
	}
	now := clock.Now()
	if failedStatus(answer.Status) {
		f.failed(now, t)
	} else {
		t.answered(now, now.Sub(start))
	}
	if running, ok := reportedLoad(answer.Header); ok {
		t.reported(now, running)
	}
	return &delivery{answer: answer, release: func() { done(); t.end() }}, nil
}

// attemptCall is the call as one target sees it. Each attempt has its own id,
// so that an owner node can tell a second attempt from a duplicate of the first.
func (f *flight) attemptCall(now time.Time, number int) *port.Call {
	call := *f.call
	if f.offers > 0 {
		call.ID += "." + strconv.Itoa(f.offers)
	}
	f.offers++
	call.Body = f.body.Reader()
	call.Deadline = f.attemptDeadline(now, number)
	return &call
}

// attemptDeadline leaves time for another attempt: a target that hangs would
// otherwise use up the whole deadline, and the caller of an idempotent request
// would get no answer though other targets have one. The last attempt, and each
// attempt that can't be made again, may take all that is left.
func (f *flight) attemptDeadline(now time.Time, number int) time.Time {
	if !f.route.Idempotent || number+1 >= f.node.config.MaxAttempts || !f.body.Rewind() {
		return f.call.Deadline
	}
	return now.Add(f.call.Deadline.Sub(now) / 2)
}

// note keeps what an error says of the whole request.
func (f *flight) note(err error) {
	var refusal *port.Refusal
	if errors.As(err, &refusal) {
		f.refused(refusal)
		return
	}
	f.unknown = err
}

// mayRetry judges a failed attempt and reports whether another may follow.
func (f *flight) mayRetry(t *target, err error) bool {
	now := f.node.ports.Clock.Now()
	var refusal *port.Refusal
	f.note(err)
	if !errors.As(err, &refusal) {
		f.failedUnanswered(now, t)
		return routing.MayRetry(routing.Unknown, f.route.Idempotent) && f.again()
	}
	switch refusal.Reason {
	case port.ReasonStopping, port.ReasonDraining, port.ReasonNotReady, port.ReasonWrongOwner:
		// The target itself said that it takes no work, and is left alone from
		// now on. So few requests meet this refusal that it needs no budget,
		// and a planned stop costs no caller its answer.
		t.avoid(now)
		return f.body.Rewind()
	case port.ReasonUnreachable:
		f.failed(now, t)
	case port.ReasonQueueFull, port.ReasonBusy, port.ReasonShed, port.ReasonLimit:
		f.least = routing.NextDistance(t.distance, true)
	case port.ReasonNoGrant, port.ReasonBadRequest:
		return false
	}
	return f.again()
}

// again takes a retry out of the service's budget.
func (f *flight) again() bool {
	if !f.body.Rewind() || !f.upstreams.withdraw() {
		return false
	}
	f.node.ports.Meter.Count(port.MetricRetries, f.route.Name, 1)
	return true
}

func (f *flight) failed(now time.Time, t *target) {
	if t.failed() {
		f.upstreams.pool.Load().eject(now, t)
	}
}

// failedUnanswered counts an attempt without an answer as the target's failure,
// unless its caller had shortened the deadline: callers with a few milliseconds
// left would otherwise eject targets that are well.
func (f *flight) failedUnanswered(now time.Time, t *target) {
	if !f.shortened {
		f.failed(now, t)
	}
}

// tryElsewhere reports whether an answer that says no more than that the target
// failed is to be dropped for another attempt.
func (f *flight) tryElsewhere(d *delivery, number int) bool {
	if !failedStatus(d.answer.Status) || !f.route.Idempotent || number+1 >= f.node.config.MaxAttempts {
		return false
	}
	if f.choose(f.node.ports.Clock.Now(), f.least) == nil || !f.again() {
		return false
	}
	f.unknown = &port.UnknownOutcome{Stage: "answer", Cause: errors.Errorf("the target answered with status %d", d.answer.Status)}
	return true
}

// failedStatus reports whether a status says that the target, rather than the
// request, is at fault.
func failedStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// reportedLoad reads how many requests the target says it runs.
func reportedLoad(header http.Header) (int, bool) {
	text, _, ok := strings.Cut(header.Get(loadHeader), "/")
	if !ok {
		return 0, false
	}
	running, err := strconv.Atoi(text)
	return running, err == nil && running >= 0
}

// offer runs the call on the VM's target, through its owner node. The returned
// function must be called once the answer's body is done with.
func (n *Node) offer(ctx context.Context, t *target, call *port.Call) (*port.Response, func(), error) {
	if t.vm.ID == n.config.Self.ID {
		return n.own(ctx, call)
	}
	answer, err := n.ports.Forward.Forward(ctx, t.vm, call)
	if err != nil {
		return nil, nil, err
	}
	answer.Body = newStallReader(answer.Body, call.StallTimeout)
	return answer, func() { answer.Body.Close() }, nil
}
