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
	"tamarackquay/internal/requestbody"
)

// ServeForwarded implements peerforward.Owner: it runs a call that another node
// forwarded on the local target.
func (n *Node) ServeForwarded(w http.ResponseWriter, r *http.Request, call *port.Call) {
	n.running.Add(1)
	defer n.running.Add(-1)
	n.setCloseWhenStopping(w)
	n.noteCallVersion(call.Entry, call.Version)
	if !n.recentIDs.add(call.ID) {
		// The first one may have run, so the outcome is unknown and this can't
		// be a refusal.
		callhttp.WriteError(w, &port.UnknownOutcome{Stage: stageDuplicate, Cause: errors.Errorf("call %s came twice", call.ID)})
		return
	}
	body := requestbody.Stream(call.Body)
	call.Body = body.Reader()
	response, done, err := n.runLocal(r.Context(), call)
	keepBody(w, body)
	if err != nil {
		callhttp.WriteError(w, err)
		return
	}
	defer done()
	writeResponse(w, call.Method, response, call.StallTimeout)
}

// stageDuplicate is the stage of a call that was forwarded twice.
const stageDuplicate = "duplicate"

// runLocal admits the call and runs it on the local target. The returned
// function releases the slot and must be called when the response's body is no
// longer needed.
func (n *Node) runLocal(ctx context.Context, call *port.Call) (*port.Response, func(), error) {
	if refusal := n.checkLocal(); refusal != nil {
		return nil, nil, refusal
	}
	if call.Service != n.config.Self.Service {
		return nil, nil, port.Refuse(port.ReasonWrongOwner, 0, "this VM runs service %s", n.config.Self.Service)
	}
	if refusal := n.checkVersion(call); refusal != nil {
		return nil, nil, refusal
	}
	if refusal := n.checkDomain(call); refusal != nil {
		return nil, nil, refusal
	}
	if refusal := n.gate.Acquire(ctx, n.admissionRequest(call)); refusal != nil {
		return nil, nil, refusal
	}
	if refusal := n.gate.CheckDraining(); refusal != nil {
		n.gate.Release(call.ID)
		return nil, nil, refusal
	}
	response, err := n.ports.Target.Do(ctx, call)
	n.gate.Observe(err)
	if err != nil {
		n.gate.Release(call.ID)
		return nil, nil, err
	}
	response.Owner = n.config.Self.ID
	response.Body = newStallReader(response.Body, call.StallTimeout)
	return response, func() {
		response.Body.Close()
		n.gate.Release(call.ID)
	}, nil
}

// checkVersion compares the call's version with the node's own; if the call's is
// newer, noteCallVersion has already started a pull. The call is refused only if
// this node's older version lacks its contract, route or grant. If it has them,
// they applied to the customer a moment ago and the call can be served;
// otherwise every call would be refused while a version spreads.
func (n *Node) checkVersion(call *port.Call) *port.Refusal {
	current := n.current.Load()
	if !call.Version.NewerThan(current.Version()) {
		return nil
	}
	contract := current.Contract(call.Customer)
	if contract != nil && contract.Grant(call.Service) != nil && hasRoute(contract, call.Route) {
		return nil
	}
	return port.Refuse(port.ReasonBehind, retryWhenBehind, "this node has version %s, the call has %s", current.Version(), call.Version)
}

// checkDomain refuses a call whose route doesn't allow this node's failure domain. The entry
// node's version may be older than this node's.
func (n *Node) checkDomain(call *port.Call) *port.Refusal {
	current := n.current.Load().Contract(call.Customer)
	if current == nil {
		return nil
	}
	for i := range current.Routes {
		if route := &current.Routes[i]; route.Name == call.Route && !route.AllowsDomain(n.config.Self.FailureDomain) {
			return port.Refuse(port.ReasonRegion, retryWhenBehind, "route %s is not allowed in failure domain %s", route.Name, n.config.Self.FailureDomain)
		}
	}
	return nil
}

// retryWhenBehind is about the time that a version takes to reach every node.
const retryWhenBehind = time.Second

func hasRoute(c *contract.Contract, name string) bool {
	return slices.ContainsFunc(c.Routes, func(route contract.Route) bool { return route.Name == name })
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

// revisits counts the outer calls in the chain that hold a slot of the service.
func revisits(call *port.Call) int {
	count := 0
	for _, service := range call.Chain {
		if service == call.Service {
			count++
		}
	}
	return count
}
