package peerforward

import (
	"net/http"
	"strings"
	"time"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
)

// Owner runs calls that entry nodes forward.
type Owner interface {
	// Own answers the call on w. It must be the only writer.
	Own(w http.ResponseWriter, r *http.Request, call *port.Call)
}

// Handler takes calls from proven peers.
type Handler struct {
	owner Owner
	now   func() time.Time
}

// NewHandler returns a handler that hands calls to owner.
func NewHandler(owner Owner, now func() time.Time) *Handler { return &Handler{owner: owner, now: now} }

// ServeHTTP reads the call's terms from the headers.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	budget, err := callhttp.ParseMillis(r.Header.Get(callhttp.HeaderBudget))
	if err != nil {
		callhttp.WriteError(w, port.Refuse(port.ReasonBadRequest, 0, "header %s: %v", callhttp.HeaderBudget, err))
		return
	}
	stall, err := callhttp.ParseMillis(r.Header.Get(callhttp.HeaderStall))
	if err != nil {
		callhttp.WriteError(w, port.Refuse(port.ReasonBadRequest, 0, "header %s: %v", callhttp.HeaderStall, err))
		return
	}
	w.Header().Set(callhttp.HeaderRequestID, r.Header.Get(callhttp.HeaderRequestID))
	h.owner.Own(w, r, &port.Call{
		ID:            r.Header.Get(callhttp.HeaderRequestID),
		Customer:      r.Header.Get(callhttp.HeaderCustomer),
		Route:         r.Header.Get(callhttp.HeaderRoute),
		Service:       r.Header.Get(callhttp.HeaderService),
		Entry:         r.Header.Get(callhttp.HeaderEntry),
		Version:       callhttp.ParseVersion(r.Header),
		Deadline:      h.now().Add(budget),
		Stall:         stall,
		Method:        r.Method,
		Target:        strings.TrimPrefix(r.URL.RequestURI(), Prefix),
		Header:        r.Header,
		Body:          r.Body,
		ContentLength: r.ContentLength,
	})
}
