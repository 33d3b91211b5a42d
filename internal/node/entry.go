package node

import (
	"maps"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/contract"
	"tamarackquay/internal/port"
	"tamarackquay/internal/requestbody"
	"tamarackquay/internal/snapshot"
)

// Retry-After times that are sent to callers.
const (
	retryWhenNotReady  = 2 * time.Second
	retryWhenStopping  = time.Second
	retryAfterDeadline = time.Second
)

// ServeCaller serves a caller's request at its entry node: it looks up the
// contract and route, forwards the request to a target and writes the response.
func (n *Node) ServeCaller(w http.ResponseWriter, r *http.Request) {
	n.running.Add(1)
	defer n.running.Add(-1)
	w.Header().Set(callhttp.HeaderEntry, n.config.Self.ID)
	n.setCloseWhenStopping(w)
	if refusal := n.checkServing(); refusal != nil {
		n.writeError(w, "", refusal)
		return
	}
	current := n.current.Load()
	call, route, refusal := n.newCall(current, r)
	if refusal != nil {
		n.writeError(w, "", refusal)
		return
	}
	w.Header().Set(callhttp.HeaderVersion, current.Version().String())
	w.Header().Set(callhttp.HeaderRequestID, call.ID)
	body, refusal := n.readBody(w, r, call)
	if refusal != nil {
		n.writeError(w, route.Name, refusal)
		return
	}
	f := n.newForwarder(call, route, current.Service(call.Service), body)
	f.shortDeadline = r.Header.Get(callhttp.HeaderBudget) != ""
	resp, err := f.dispatch(r.Context())
	keepBody(w, body)
	if err != nil {
		n.writeError(w, route.Name, err)
		return
	}
	resp = f.withResume(r.Context(), resp)
	defer func() { resp.release() }()
	n.ports.Meter.Count(port.MetricAnswered, route.Name, 1)
	w.Header().Set(callhttp.HeaderOwner, resp.response.Owner)
	writeResponse(w, call.Method, resp.response, call.StallTimeout)
}

// readBody buffers a small body before the request is offered to any target, so
// that a caller that sends slowly holds no slot. The read ends at the call's
// deadline.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, call *port.Call) (*requestbody.Body, *port.Refusal) {
	if r.ContentLength == 0 {
		return &requestbody.Body{}, nil
	}
	control := http.NewResponseController(w)
	// The error is ignored: connections always support deadlines, only the
	// response recorders of tests don't.
	_ = control.SetReadDeadline(call.Deadline)
	body, length, err := requestbody.Read(r.Body, r.ContentLength)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The deadline stays, so that net/http doesn't wait for the rest of the body.
		callhttp.KeepBody(w)
	} else {
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, port.Refuse(port.ReasonBodyTooLarge, 0, "the body is over %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, port.Refuse(port.ReasonDeadline, retryAfterDeadline, "the body did not arrive before the deadline")
	case err != nil:
		return nil, port.Refuse(port.ReasonBadRequest, 0, "%v", err)
	}
	call.ContentLength = length
	return body, nil
}

// deadline returns the route's deadline, or the caller's remaining time if that
// is shorter. A target that makes inner calls passes its own deadline down the
// call chain in this way.
func (n *Node) deadline(route *contract.Route, r *http.Request) time.Time {
	budget := route.Deadline.Std()
	if remaining, err := callhttp.ParseMillis(r.Header.Get(callhttp.HeaderBudget)); err == nil && remaining < budget {
		budget = remaining
	}
	return n.ports.Clock.Now().Add(budget)
}

// writeError sends an error to the caller, with the known outcome, and counts
// it.
func (n *Node) writeError(w http.ResponseWriter, route string, err error) {
	var refusal *port.Refusal
	if errors.As(err, &refusal) {
		n.ports.Meter.Count(port.MetricRefused, string(refusal.Reason), 1)
		n.observer.refusals.add(refusal.Reason)
	} else {
		n.ports.Meter.Count(port.MetricUnknown, route, 1)
	}
	callhttp.WriteError(w, err)
}

// checkServing returns a refusal unless callers are served. A stopping node
// still serves them for a while, through the targets of other nodes; see Stop.
func (n *Node) checkServing() *port.Refusal {
	if n.closed.Load() {
		return port.Refuse(port.ReasonStopping, retryWhenStopping, "this node is stopping; ask another")
	}
	return n.checkState()
}

// checkLocal returns a refusal unless the local target accepts new requests.
func (n *Node) checkLocal() *port.Refusal {
	if n.stopping.Load() {
		return port.Refuse(port.ReasonStopping, retryWhenStopping, "this VM is stopping; ask another")
	}
	return n.checkState()
}

// checkState returns a refusal unless this node's configuration and membership
// are current. It checks for a pause itself: after a pause a request may resume
// before the control loop has cleared ready, and would act on the state from
// before the pause.
func (n *Node) checkState() *port.Refusal {
	if n.PausedFor(n.ports.Clock.Now()) > 0 {
		return port.Refuse(port.ReasonNotReady, retryWhenNotReady, "this node was paused and asks its peers what it missed")
	}
	if !n.ready.Load() {
		return port.Refuse(port.ReasonNotReady, retryWhenNotReady, "this node has no current configuration yet")
	}
	return nil
}

// newCall looks up the contract and route of a caller's request.
func (n *Node) newCall(current *snapshot.Snapshot, r *http.Request) (*port.Call, *contract.Route, *port.Refusal) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	contract := current.ContractByToken(token)
	if contract == nil {
		return nil, nil, port.Refuse(port.ReasonUnknownToken, 0, "no contract accepts this token")
	}
	route := contract.Route(r.URL.Path)
	if route == nil {
		return nil, nil, port.Refuse(port.ReasonUnknownRoute, 0, "contract %s has no route for %s", contract.Customer, r.URL.Path)
	}
	if !route.AcceptsMethod(r.Method) {
		return nil, nil, port.Refuse(port.ReasonMethod, 0, "route %s does not take %s", route.Name, r.Method)
	}
	return &port.Call{
		ID:            n.newID(),
		Customer:      contract.Customer,
		Route:         route.Name,
		Service:       route.Service,
		Version:       current.Version(),
		Deadline:      n.deadline(route, r),
		Entry:         n.config.Self.ID,
		Chain:         callhttp.ParseChain(r.Header),
		StallTimeout:  route.StallTimeout.Std(),
		Method:        r.Method,
		Target:        r.URL.RequestURI(),
		Header:        withoutToken(r.Header),
		ContentLength: r.ContentLength,
	}, route, nil
}

// withoutToken returns the headers without the caller's token, which targets
// must not receive.
func withoutToken(from http.Header) http.Header {
	header := maps.Clone(from)
	delete(header, "Authorization")
	return header
}

// newID returns a request id of the entry VM's id and a random number. The
// random source is seeded with the VM id and its incarnation, so that no two
// nodes and no two starts of one node create the same id.
func (n *Node) newID() string {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return n.config.Self.ID + "-" + strconv.FormatUint(n.random.Uint64(), 36)
}
