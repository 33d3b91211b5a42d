package node

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/admission"
	"tamarackquay/internal/contract"
	"tamarackquay/internal/port"
)

// Own implements peerforward.Owner: it runs a call that another node forwarded
// on the local target.
func (n *Node) ServeForwarded(w http.ResponseWriter, r *http.Request, call *port.Call) {
	n.running.Add(1)
	defer n.running.Add(-1)
	n.closeWhenStopping(w)
	n.overheard(call.Entry, call.Version)
	if !n.recent.first(call.ID) {
		// The first one may have run, so this is no refusal.
		callhttp.WriteError(w, &port.UnknownOutcome{Stage: stageDuplicate, Cause: errors.Errorf("call %s came twice", call.ID)})
		return
	}
	answer, done, err := n.own(r.Context(), call)
	if err != nil {
		callhttp.WriteError(w, err)
		return
	}
	defer done()
	passAnswer(w, call.Method, answer, call.StallTimeout)
}

// stageDuplicate is the stage of a call that was forwarded twice.
const stageDuplicate = "duplicate"

// own admits the call and runs it on the local target. The returned function
// gives the slot back and must be called once the answer's body is passed on.
func (n *Node) own(ctx context.Context, call *port.Call) (*port.Response, func(), error) {
	if refusal := n.mayOwn(); refusal != nil {
		return nil, nil, refusal
	}
	if call.Service != n.config.Self.Service {
		return nil, nil, port.Refuse(port.ReasonWrongOwner, 0, "this VM runs service %s", n.config.Self.Service)
	}
	if refusal := n.catchUp(call); refusal != nil {
		return nil, nil, refusal
	}
	if refusal := n.gate.Acquire(ctx, n.admissionRequest(call)); refusal != nil {
		return nil, nil, refusal
	}
	if refusal := n.gate.CheckDraining(); refusal != nil {
		n.gate.Release(call.ID)
		return nil, nil, refusal
	}
	answer, err := n.ports.Target.Do(ctx, call)
	n.gate.Observe(err)
	if err != nil {
		n.gate.Release(call.ID)
		return nil, nil, err
	}
	answer.Owner = n.config.Self.ID
	answer.Body = newStallReader(answer.Body, call.StallTimeout)
	return answer, func() {
		answer.Body.Close()
		n.gate.Release(call.ID)
	}, nil
}

// catchUp compares the call's version with the node's own; overheard has started
// a pull if the call's is newer. The call is refused only if this node's older
// version does not know its contract, route and grant: the terms that it does
// know are still terms that the customer had a moment ago, and refusing every
// call for as long as a version spreads would refuse what can be served.
func (n *Node) catchUp(call *port.Call) *port.Refusal {
	current := n.current.Load()
	if !call.Version.NewerThan(current.Version()) {
		return nil
	}
	owner := current.Contract(call.Customer)
	if owner != nil && owner.Grant(call.Service) != nil && hasRoute(owner, call.Route) {
		return nil
	}
	return port.Refuse(port.ReasonBehind, retryWhenBehind, "this node has version %s, the call has %s", current.Version(), call.Version)
}

// retryWhenBehind is about the time in which a version reaches every node.
const retryWhenBehind = time.Second

func hasRoute(owner *contract.Contract, name string) bool {
	return slices.ContainsFunc(owner.Routes, func(route contract.Route) bool { return route.Name == name })
}

func (n *Node) admissionRequest(call *port.Call) admission.Request {
	request := admission.Request{
		ID: call.ID, Customer: call.Customer, Deadline: call.Deadline, NoWait: call.NoWait,
		Depth: len(call.Chain), Revisits: revisits(call),
	}
	current := n.current.Load()
	contract := current.Contract(call.Customer)
	if contract == nil {
		return request
	}
	for i := range contract.Routes {
		if route := &contract.Routes[i]; route.Name == call.Route {
			request.Rank = contract.ClassRank(route.Class)
			request.Long = route.Long
		}
	}
	return request
}

// revisits counts the open calls of the chain that hold a slot of the service.
func revisits(call *port.Call) int {
	count := 0
	for _, service := range call.Chain {
		if service == call.Service {
			count++
		}
	}
	return count
}
