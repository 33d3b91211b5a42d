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
	ServePeer(w http.ResponseWriter, r *http.Request, call *port.Call)
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
	call := &port.Call{
		ID:            r.Header.Get(callhttp.HeaderRequestID),
		Method:        r.Method,
		Target:        strings.TrimPrefix(r.URL.RequestURI(), Prefix),
		Header:        r.Header,
		Body:          r.Body,
		ContentLength: r.ContentLength,
	}
	w.Header().Set(callhttp.HeaderRequestID, call.ID)
	if err := decodeTerms(r.Header.Get(headerTerms), h.now(), call); err != nil {
		callhttp.WriteError(w, port.Refuse(port.ReasonBadRequest, 0, "header %s: %v", headerTerms, err))
		return
	}
	h.owner.ServePeer(w, r, call)
}
