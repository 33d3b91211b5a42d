package peerforward

import (
	"net/http"
	"strings"
	"time"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
)

// Owner runs calls that entry nodes forward to it.
type Owner interface {
	// ServeForwarded runs the call and writes the response to w. It must be the only writer.
	ServeForwarded(w http.ResponseWriter, r *http.Request, call *port.Call)
}

// Handler handles calls from authenticated peers.
type Handler struct {
	owner Owner
	now   func() time.Time
}

// NewHandler returns a handler that passes calls to owner.
func NewHandler(owner Owner, now func() time.Time) *Handler { return &Handler{owner: owner, now: now} }

// ServeHTTP decodes the call from the request and passes it to the owner.
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
	if err := decodeMeta(r.Header.Get(headerMeta), h.now(), call); err != nil {
		callhttp.WriteError(w, port.Refuse(port.ReasonBadRequest, 0, "header %s: %v", headerMeta, err))
		return
	}
	h.owner.ServeForwarded(w, r, call)
}
