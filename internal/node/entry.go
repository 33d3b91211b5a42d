package node

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/contract"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/routing"
	"tamarackquay/internal/snapshot"
)

// retryWhenNotReady is told to callers of a node that has no version yet.
const retryWhenNotReady = 2 * time.Second

// ServeCaller is the entry of a caller's request: it finds the contract and
// route, chooses targets, and passes the answer back.
func (n *Node) ServeCaller(w http.ResponseWriter, r *http.Request) {
	n.running.Add(1)
	defer n.running.Add(-1)
	w.Header().Set(callhttp.HeaderEntry, n.config.Self.ID)
	current := n.current.Load()
	if refusal := n.mayServe(); refusal != nil {
		n.fail(w, "", refusal)
		return
	}
	call, route, refusal := n.newCall(current, r)
	if refusal != nil {
		n.fail(w, "", refusal)
		return
	}
	w.Header().Set(callhttp.HeaderVersion, current.Version().String())
	w.Header().Set(callhttp.HeaderRequestID, call.ID)
	answer, done, err := n.dispatch(r.Context(), call, route)
	if err != nil {
		n.fail(w, route.Name, err)
		return
	}
	defer done()
	n.ports.Meter.Count(port.MetricAnswered, route.Name, 1)
	w.Header().Set(callhttp.HeaderOwner, answer.Owner)
	passAnswer(w, answer, call.Stall)
}

// fail tells the caller that there is no answer, and what is known.
func (n *Node) fail(w http.ResponseWriter, route string, err error) {
	var refusal *port.Refusal
	if errors.As(err, &refusal) {
		n.ports.Meter.Count(port.MetricRefused, string(refusal.Reason), 1)
		n.observer.refusals.add(refusal.Reason)
	} else {
		n.ports.Meter.Count(port.MetricUnknown, route, 1)
	}
	callhttp.WriteError(w, err)
}

func (n *Node) mayServe() *port.Refusal {
	if n.stopping.Load() {
		return port.Refuse(port.ReasonStopping, time.Second, "this node is stopping; ask another")
	}
	if !n.ready.Load() {
		return port.Refuse(port.ReasonNotReady, retryWhenNotReady, "this node has no current configuration yet")
	}
	return nil
}

// newCall finds the contract and route of a caller's request.
func (n *Node) newCall(current *snapshot.Snapshot, r *http.Request) (*port.Call, *contract.Route, *port.Refusal) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	owner := current.ContractByToken(token)
	if owner == nil {
		return nil, nil, port.Refuse(port.ReasonUnknownToken, 0, "no contract accepts this token")
	}
	route := owner.Route(r.URL.Path)
	if route == nil {
		return nil, nil, port.Refuse(port.ReasonUnknownRoute, 0, "contract %s has no route for %s", owner.Customer, r.URL.Path)
	}
	if !route.AcceptsMethod(r.Method) {
		return nil, nil, port.Refuse(port.ReasonMethod, 0, "route %s does not take %s", route.Name, r.Method)
	}
	return &port.Call{
		ID:            n.newID(),
		Customer:      owner.Customer,
		Route:         route.Name,
		Service:       route.Service,
		Version:       current.Version(),
		Deadline:      n.ports.Clock.Now().Add(route.Deadline.Std()),
		Stall:         route.Stall.Std(),
		Method:        r.Method,
		Target:        r.URL.RequestURI(),
		Header:        withoutToken(r.Header),
		Body:          r.Body,
		ContentLength: r.ContentLength,
	}, route, nil
}

// withoutToken keeps the caller's secret from targets.
func withoutToken(from http.Header) http.Header {
	header := from.Clone()
	header.Del("Authorization")
	return header
}

// newID names one request: the entry VM, its incarnation and a random number,
// so that no two nodes and no two starts of one node make the same.
func (n *Node) newID() string {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return n.config.Self.ID + "-" + strconv.FormatUint(n.random.Uint64(), 36)
}

// dispatch offers the call to one target after another until one answers or
// another try is not allowed. The returned function must be called when the
// answer's body has been passed on.
func (n *Node) dispatch(ctx context.Context, call *port.Call, route *contract.Route) (*port.Answer, func(), error) {
	var tried []string
	var last error
	for range n.config.MaxAttempts {
		targets := n.view.Load().Targets[call.Service]
		vm, ok := n.choose(targets, route, tried)
		if !ok {
			break
		}
		tried = append(tried, vm.ID)
		n.load.add(vm.ID, 1)
		answer, done, err := n.attempt(ctx, vm, call)
		if err == nil {
			return answer, func() { done(); n.load.add(vm.ID, -1) }, nil
		}
		n.load.add(vm.ID, -1)
		last = err
		if !mayRetry(err, call, route) || !call.Deadline.After(n.ports.Clock.Now()) {
			break
		}
	}
	if last == nil {
		last = port.Refuse(port.ReasonNoTarget, retryWhenNotReady, "no live target of service %s", call.Service)
	}
	return nil, nil, last
}

func (n *Node) choose(targets []membership.VM, route *contract.Route, tried []string) (membership.VM, bool) {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return routing.Choose(n.place, targets, route.Spill, tried, n.load.of, n.random)
}

// mayRetry reports whether another target may be offered the call. A body that
// may have been read in part can't be sent again.
func mayRetry(err error, call *port.Call, route *contract.Route) bool {
	outcome := routing.Unknown
	var refusal *port.Refusal
	if errors.As(err, &refusal) {
		outcome = routing.DidNotRun
	}
	return call.ContentLength == 0 && routing.MayRetry(outcome, route.Idempotent)
}

func (n *Node) attempt(ctx context.Context, vm membership.VM, call *port.Call) (*port.Answer, func(), error) {
	if vm.ID == n.config.Self.ID {
		return n.own(ctx, call)
	}
	answer, err := n.ports.Forward.Forward(ctx, vm, call)
	if err != nil {
		return nil, nil, err
	}
	return answer, func() { answer.Body.Close() }, nil
}
