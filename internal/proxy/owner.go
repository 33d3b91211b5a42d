package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/admission"
	"tamarackquay/internal/link"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
)

// meshCustomer is the one contract of a mesh whose configuration names no
// customers: its requests are ordered by rank alone.
const meshCustomer = "mesh"

// queuePerSlot bounds the requests that wait at a target. Their waits are bounded
// by time as well; a queue of so many for each slot is as long as four times the
// work of one, behind which hardly any request can be in time.
const queuePerSlot = 4

func ownTerms(slots int) admission.Terms {
	return admission.Terms{
		Slots: slots, QueuePerSlot: queuePerSlot,
		Shares: map[string]admission.Share{meshCustomer: {Guaranteed: 1, Limit: 1}},
	}
}

// Times of the owner node.
const (
	// retryUnreachable is when a caller may come back to a target that can't be
	// reached; by then other nodes know.
	retryUnreachable = 500 * time.Millisecond
	// retryStopping is when a caller may come back to a node that stops.
	retryStopping = 500 * time.Millisecond
	// leastBudget is the least time for which work is begun.
	leastBudget = 5 * time.Millisecond
)

// own runs a request on the VM's own target. The error is a *port.Refusal if
// the target did not run it, and a *port.Unknown otherwise.
func (p *Proxy) own(ctx context.Context, t *terms, r *exchange.Request, received time.Time) (*exchange.Response, loadWord, error) {
	p.open.Add(1)
	response, word, err := p.admit(ctx, t, r, received)
	if err != nil {
		p.open.Add(-1)
		return nil, word, err
	}
	response.Body = &released{ReadCloser: response.Body, release: func() {
		p.endRun(t.attempt)
		p.open.Add(-1)
	}}
	return response, word, nil
}

func (p *Proxy) admit(ctx context.Context, t *terms, r *exchange.Request, received time.Time) (*exchange.Response, loadWord, error) {
	if refusal := p.mayRun(t, r); refusal != nil {
		return nil, p.loadWord(received, 0), refusal
	}
	deadline := received.Add(t.budget)
	release, refusal := p.isolate(ctx, t)
	if refusal != nil {
		return nil, p.loadWord(received, 0), refusal
	}
	refusal = p.gate.Enter(ctx, admission.Request{
		ID: t.attempt, Customer: meshCustomer, Rank: t.rank, Depth: t.urgency,
		Deadline: received.Add(min(t.wait+leastBudget, t.budget)),
	})
	if refusal != nil {
		release()
		return nil, p.loadWord(received, 0), refusal
	}
	began := p.ports.Clock.Now()
	if refusal := p.beginRun(began, t, deadline); refusal != nil {
		release()
		p.gate.Leave(t.attempt)
		return nil, p.loadWord(received, 0), refusal
	}
	p.beginOwnRun(began, t)
	response, err := p.runOwn(ctx, t, r, deadline)
	held := p.ports.Clock.Now().Sub(began)
	p.noteHold(held, response, err)
	if err != nil {
		p.gate.Observe(err)
		p.endOwnRun(ctx, t, 0, err)
		release()
		p.endRun(t.attempt)
		return nil, p.loadWord(received, held), err
	}
	p.gate.Observe(nil)
	response.Body = &runBody{ReadCloser: response.Body, ended: func(err error) {
		p.endOwnRun(ctx, t, response.Status, err)
		release()
	}}
	return response, p.loadWord(received, held), nil
}

// mayRun says why no work goes to the VM's own target, or nil. An entry node that
// knows of a newer target on this VM than this node does may be right: the target
// itself will tell.
func (p *Proxy) mayRun(t *terms, r *exchange.Request) *port.Refusal {
	if p.ownStopped.Load() || p.stopping.Load() && p.ports.Clock.Now().Add(t.budget).After(*p.endsBy.Load()) {
		return port.Refuse(port.ReasonStopping, retryStopping, "the target's node is stopping")
	}
	if refusal := p.quarantined(t.fingerprint); refusal != nil {
		return refusal
	}
	picture := p.picture.Load()
	if picture == nil || picture.Own == nil {
		return port.Refuse(port.ReasonNotReady, retryUnreachable, "no target is listed on this VM")
	}
	own := picture.Own
	if expected := r.Header.Get(p.config.Headers.ExpectedTarget); expected != "" && expected != own.ID && t.revision < own.Revision {
		return port.Refuse(port.ReasonWrongOwner, retryUnreachable, "this VM's target is another one")
	}
	now := p.ports.Clock.Now()
	if !own.UsableUntil.IsZero() && !now.Before(own.UsableUntil) {
		// Entry nodes may have heard of it later than this one.
		return port.Refuse(port.ReasonDraining, retryUnreachable, "the target's entry is gone")
	}
	if !own.DrainingSince.IsZero() && now.Sub(own.DrainingSince) > p.config.DrainWork {
		return port.Refuse(port.ReasonDraining, retryUnreachable, "the target drains")
	}
	return nil
}

// runOwn sends the request to the target and reads the header of its answer.
func (p *Proxy) runOwn(ctx context.Context, t *terms, r *exchange.Request, deadline time.Time) (*exchange.Response, error) {
	if refusal := p.mayRun(t, r); refusal != nil {
		// The wait for the slot may have been long.
		return nil, refusal
	}
	left := deadline.Sub(p.ports.Clock.Now())
	if left < leastBudget {
		return nil, port.Refuse(port.ReasonDeadline, 0, "the deadline passed before the target took the request")
	}
	r.Header[p.config.Headers.Deadline] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	ctx, cancel := context.WithTimeout(ctx, left)
	response, err := p.ports.Target.Do(ctx, p.config.TargetAddress, r)
	if err != nil {
		cancel()
		return nil, p.targetFailure(err)
	}
	if refusal := p.notRun(response); refusal != nil {
		p.discard(response.Body)
		cancel()
		return nil, refusal
	}
	response.Body = &released{ReadCloser: response.Body, release: cancel}
	return response, nil
}

func (p *Proxy) targetFailure(err error) error {
	var failure *exchange.Failure
	if errors.As(err, &failure) && !failure.Sent {
		return port.Refuse(port.ReasonUnreachable, retryUnreachable, "%v", failure.Cause)
	}
	return &port.UnknownOutcome{Stage: "target", Cause: err}
}

// notRun returns the refusal that a target's answer stands for, or nil. Only a
// target that says so did not run the request; its other errors are answers.
func (p *Proxy) notRun(response *exchange.Response) *port.Refusal {
	if response.Status == http.StatusMisdirectedRequest {
		return port.Refuse(port.ReasonMisdirected, retryUnreachable, "another target has the address")
	}
	if response.Header.Get(p.config.Headers.DidNotRun) == "" {
		return nil
	}
	switch response.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
	default:
		return nil
	}
	load := response.Header.Get(p.config.Headers.Load)
	if hasRoom(load) {
		return port.Refuse(port.ReasonShedWithRoom, retryShed, "the target shed the request at load %s", load)
	}
	return port.Refuse(port.ReasonShed, retryShed, "the target shed the request at load %q", load)
}

// retryShed is when to come back after a shed. Slots fall free every few
// milliseconds where many run, and a target that is ill sheds at random.
const retryShed = 50 * time.Millisecond

// hasRoom reports whether the load that a target reports, "running,waiting,slots",
// leaves free slots. A target that sheds all the same is ill and not full: fewer
// requests would not make it shed less.
func hasRoom(load string) bool {
	var running, waiting, slots int
	if _, err := fmt.Sscanf(load, "%d,%d,%d", &running, &waiting, &slots); err != nil {
		return false
	}
	return running+waiting < slots
}

// maxDiscarded is how much of an unwanted body is read to keep its connection.
const maxDiscarded = 16 << 10

// discard reads the rest of a small body, so that its connection can be used
// again, and gives up on others.
func (p *Proxy) discard(body io.ReadCloser) {
	// A break shows in the connection, which is then not used again.
	_, _ = io.CopyN(io.Discard, body, maxDiscarded)
	_ = body.Close()
}

// ServePeer runs a request that another node sends for this VM's target.
func (p *Proxy) ServePeer(w http.ResponseWriter, r *http.Request) {
	received := p.ports.Clock.Now()
	t, err := decodeTerms(r.Header.Get(headerTerms))
	if err != nil {
		callhttp.WriteError(w, port.Refuse(port.ReasonBadRequest, 0, "%v", err))
		return
	}
	request := &exchange.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: http.Header{},
		Body: r.Body, ContentLength: r.ContentLength,
		IDHeader: p.config.Headers.RequestID, ID: r.Header.Get(p.config.Headers.RequestID),
	}
	if r.ContentLength == 0 {
		request.Body = nil
	}
	callhttp.CopyHeader(request.Header, r.Header)
	if refusal := p.admitToLink(&t); refusal != nil {
		word := p.loadWord(received, 0)
		word.write(w.Header())
		p.decisions.ownFailed(p.ports.Clock.Now(), request.ID, &t, received, word, refusal)
		callhttp.WriteError(w, refusal)
		return
	}
	response, word, err := p.own(r.Context(), &t, request, received)
	word.write(w.Header())
	if err != nil {
		p.correctLink(&t, 0)
		p.decisions.ownFailed(p.ports.Clock.Now(), request.ID, &t, received, word, err)
		callhttp.WriteError(w, err)
		return
	}
	// The target's slot falls free with the last byte read from it, not when the
	// other node has them all.
	a, err := readAnswer(response)
	if err != nil {
		p.correctLink(&t, 0)
		callhttp.WriteError(w, &port.UnknownOutcome{Stage: "answer", Cause: err})
		return
	}
	p.correctLink(&t, len(a.whole))
	if err := p.pass(r.Context(), w, a, received.Add(t.wanted)); err != nil {
		// The answer must end broken for the entry node as well.
		panic(http.ErrAbortHandler)
	}
}

// pass sends an answer on, the whole part and then the rest; due is when it is
// wanted.
func (p *Proxy) pass(ctx context.Context, w http.ResponseWriter, a *answer, due time.Time) error {
	if a.rest == nil {
		a.response.ContentLength = int64(len(a.whole))
	} else {
		defer a.rest.Close()
	}
	if len(a.whole) >= link.Large && p.link.Rate() > 0 {
		return p.passPaced(ctx, w, a, due)
	}
	p.countSmall(len(a.whole) + placement.HeaderBytes)
	writeAnswer(w, a.response)
	return copyAnswer(w, a)
}

func copyAnswer(w io.Writer, a *answer) error {
	if _, err := w.Write(a.whole); err != nil || a.rest == nil {
		return err
	}
	_, err := io.Copy(w, a.rest)
	return err
}

// writeAnswer writes the header of a target's answer.
func writeAnswer(w http.ResponseWriter, response *exchange.Response) {
	header := w.Header()
	callhttp.CopyHeader(header, response.Header)
	if _, ok := header["Content-Type"]; !ok {
		// net/http would guess one.
		header["Content-Type"] = nil
	}
	if _, ok := header["Date"]; !ok {
		header["Date"] = nil
	}
	delete(header, "Content-Length")
	if response.ContentLength >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(response.ContentLength, 10)}
	}
	w.WriteHeader(response.Status)
}

// released calls release once when the body is done with.
type released struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (r *released) Close() error {
	err := r.ReadCloser.Close()
	if r.release != nil {
		r.release()
		r.release = nil
	}
	return err
}
