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

// When to come back, as told to callers.
const (
	retryWhenNotReady  = 2 * time.Second
	retryWhenStopping  = time.Second
	retryAfterDeadline = time.Second
)

// ServeCaller is the entry of a caller's request: it finds the contract and
// route, chooses targets, and passes the answer back.
func (n *Node) ServeCaller(w http.ResponseWriter, r *http.Request) {
	n.running.Add(1)
	defer n.running.Add(-1)
	w.Header().Set(callhttp.HeaderEntry, n.config.Self.ID)
	n.closeWhenStopping(w)
	if refusal := n.mayServe(); refusal != nil {
		n.fail(w, "", refusal)
		return
	}
	current := n.current.Load()
	call, route, refusal := n.newCall(current, r)
	if refusal != nil {
		n.fail(w, "", refusal)
		return
	}
	w.Header().Set(callhttp.HeaderVersion, current.Version().String())
	w.Header().Set(callhttp.HeaderRequestID, call.ID)
	body, refusal := n.takeBody(w, r, call)
	if refusal != nil {
		n.fail(w, route.Name, refusal)
		return
	}
	f := n.newFlight(call, route, current.Service(call.Service), body)
	f.shortened = r.Header.Get(callhttp.HeaderBudget) != ""
	d, err := f.dispatch(r.Context())
	if err != nil {
		n.fail(w, route.Name, err)
		return
	}
	d = f.resumable(r.Context(), d)
	defer func() { d.release() }()
	n.ports.Meter.Count(port.MetricAnswered, route.Name, 1)
	w.Header().Set(callhttp.HeaderOwner, d.answer.Owner)
	passAnswer(w, call.Method, d.answer, call.StallTimeout)
}

// takeBody keeps a small body before any target is asked: a caller that sends
// slowly then holds no slot. The deadline bounds it.
func (n *Node) takeBody(w http.ResponseWriter, r *http.Request, call *port.Call) (*requestbody.Body, *port.Refusal) {
	if r.ContentLength == 0 {
		return &requestbody.Body{}, nil
	}
	control := http.NewResponseController(w)
	// Recorders of tests have no deadlines; a connection always has.
	_ = control.SetReadDeadline(call.Deadline)
	body, length, err := requestbody.Read(r.Body, r.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
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

// deadline is the route's, shortened by what the caller has left itself. A
// target that calls on passes its own deadline down the chain in this way.
func (n *Node) deadline(route *contract.Route, r *http.Request) time.Time {
	budget := route.Deadline.Std()
	if left, err := callhttp.ParseMillis(r.Header.Get(callhttp.HeaderBudget)); err == nil && left < budget {
		budget = left
	}
	return n.ports.Clock.Now().Add(budget)
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

// mayServe reports whether callers are served. A stopping node goes on for a
// while, through the targets of other nodes; see Stop.
func (n *Node) mayServe() *port.Refusal {
	if n.closed.Load() {
		return port.Refuse(port.ReasonStopping, retryWhenStopping, "this node is stopping; ask another")
	}
	return n.mayKnow()
}

// mayOwn reports whether the local target takes new work.
func (n *Node) mayOwn() *port.Refusal {
	if n.stopping.Load() {
		return port.Refuse(port.ReasonStopping, retryWhenStopping, "this VM is stopping; ask another")
	}
	return n.mayKnow()
}

// mayKnow reports whether this node's picture of the world can be relied on. A
// request may wake from a pause before the control loop does, which then clears
// ready: it would act on the picture from before.
func (n *Node) mayKnow() *port.Refusal {
	if n.PausedFor(n.ports.Clock.Now()) > 0 {
		return port.Refuse(port.ReasonNotReady, retryWhenNotReady, "this node was paused and asks its peers what it missed")
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

// withoutToken keeps the caller's secret from targets.
func withoutToken(from http.Header) http.Header {
	header := maps.Clone(from)
	delete(header, "Authorization")
	return header
}

// newID names one request: the entry VM, its incarnation and a random number,
// so that no two nodes and no two starts of one node make the same.
func (n *Node) newID() string {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return n.config.Self.ID + "-" + strconv.FormatUint(n.random.Uint64(), 36)
}
