package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/admission"
	"tamarackquay/internal/link"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
	"tamarackquay/internal/targetreport"
)

// meshCustomer is the only customer of a mesh whose configuration defines none; its
// requests are ordered by rank alone.
const meshCustomer = "mesh"

// queuePerSlot limits the queue of a target, per slot. Waits are limited by time as well.
// A queue of this length takes about four times the work of one request, and hardly any
// request behind it is answered in time.
const queuePerSlot = 4

// admissionTerms returns the admission terms of the local target.
func admissionTerms(slots int) admission.Terms {
	return admission.Terms{
		Slots: slots, QueuePerSlot: queuePerSlot,
		Shares: map[string]admission.Share{meshCustomer: {Guaranteed: 1, Limit: 1}},
	}
}

// Delays and minimum times of the owner node.
const (
	// retryUnreachable is the Retry-After for an unreachable target; by then other nodes
	// have noticed.
	retryUnreachable = 500 * time.Millisecond
	// retryStopping is the Retry-After of a stopping node.
	retryStopping = 500 * time.Millisecond
	// minBudget is the minimum remaining time with which a request is started.
	minBudget = 5 * time.Millisecond
	// maxBudgetFactor limits the time left that another node may state, as a multiple of the longest timeout
	// of the configuration. The other node's configuration may be newer, with longer timeouts.
	maxBudgetFactor = 2
)

// runLocal runs a request on the local target. The error is a *port.Refusal if the target
// did not run it, and a *port.UnknownOutcome otherwise.
func (p *Proxy) runLocal(ctx context.Context, meta *attemptMeta, r *exchange.Request, received time.Time) (*exchange.Response, loadReport, error) {
	p.inFlight.Add(1)
	response, report, err := p.admit(ctx, meta, r, received)
	if err != nil {
		p.inFlight.Add(-1)
		return nil, report, err
	}
	response.Body = &releasingBody{ReadCloser: response.Body, release: func() {
		p.endRun(meta.attemptID)
		p.inFlight.Add(-1)
	}}
	return response, report, nil
}

// admit waits for a slot at the local target and sends the request.
func (p *Proxy) admit(ctx context.Context, meta *attemptMeta, r *exchange.Request, received time.Time) (*exchange.Response, loadReport, error) {
	if refusal := p.checkRunnable(meta, r); refusal != nil {
		return nil, p.loadReport(received, 0), refusal
	}
	if refusal := p.targetMemoryRefusal(r); refusal != nil {
		return nil, p.loadReport(received, 0), refusal
	}
	deadline := received.Add(meta.budget)
	release, refusal := p.isolate(ctx, meta)
	if refusal != nil {
		return nil, p.loadReport(received, 0), refusal
	}
	refusal = p.gate.Acquire(ctx, admission.Request{
		ID: meta.attemptID, Customer: meshCustomer, Rank: meta.rank, Depth: meta.urgency,
		Deadline: received.Add(min(meta.maxWait+minBudget, meta.budget)),
	})
	if refusal != nil {
		release()
		return nil, p.loadReport(received, 0), refusal
	}
	began := p.ports.Clock.Now()
	if refusal := p.beginRun(began, meta, deadline); refusal != nil {
		release()
		p.gate.Release(meta.attemptID)
		return nil, p.loadReport(received, 0), refusal
	}
	slowdown, refusal := p.trackRun(began, meta, r)
	if refusal != nil {
		release()
		p.endRun(meta.attemptID)
		return nil, p.loadReport(received, 0), refusal
	}
	response, err := p.sendLocal(ctx, meta, r, began, deadline)
	held := p.recordHold(began, slowdown, response, err)
	if err != nil {
		p.gate.Observe(err)
		p.recordRunEnd(ctx, meta, 0, err)
		release()
		p.endRun(meta.attemptID)
		return nil, p.loadReport(received, held), err
	}
	p.gate.Observe(nil)
	response.Body = &observedBody{ReadCloser: response.Body, onEnd: func(err error) {
		p.recordRunEnd(ctx, meta, response.Status, err)
		release()
	}}
	return response, p.loadReport(received, held), nil
}

// checkRunnable returns a refusal if the request must not be sent to the local target, or
// nil. If the entry node expects another target and its revision isn't older than this
// node's, the entry node may be right: the request is sent, and the target itself checks
// the expected id.
func (p *Proxy) checkRunnable(meta *attemptMeta, r *exchange.Request) *port.Refusal {
	if refusal := p.checkOwnerStop(p.ports.Clock.Now(), meta); refusal != nil {
		return refusal
	}
	if refusal := p.checkQuarantine(meta.fingerprint); refusal != nil {
		return refusal
	}
	snapshot := p.snapshot.Load()
	if snapshot == nil || snapshot.Local == nil {
		return port.Refuse(port.ReasonNotReady, retryUnreachable, "no target is listed on this VM")
	}
	if snapshot.LocalEvacuated {
		return port.Refuse(port.ReasonEvacuated, retryUnreachable, "the target's failure domain is evacuated")
	}
	if route := snapshot.Table.Restricted(meta.route); route != nil && !route.AllowsRegion(p.config.Region) {
		// The entry node's configuration may be older.
		return port.Refuse(port.ReasonRegion, retryUnreachable, "route %s is not allowed in region %s", meta.route, p.config.Region)
	}
	local := snapshot.Local
	if expected := r.Header.Get(p.config.Headers.ExpectedTarget); expected != "" && expected != local.ID && meta.revision < local.Revision {
		return port.Refuse(port.ReasonWrongOwner, retryUnreachable, "this VM's target is another one")
	}
	now := p.ports.Clock.Now()
	if !local.UsableUntil.IsZero() && !now.Before(local.UsableUntil) {
		// Entry nodes may have received the removal later than this node.
		return port.Refuse(port.ReasonDraining, retryUnreachable, "the target's entry is gone")
	}
	if now.Before(local.UsableFrom) {
		return port.Refuse(port.ReasonDraining, retryUnreachable, "the target drained, and its ready entry isn't confirmed")
	}
	if !local.DrainingSince.IsZero() && now.Sub(local.DrainingSince) > p.config.DrainGrace {
		return port.Refuse(port.ReasonDraining, retryUnreachable, "the target drains")
	}
	if p.localLeft(now) {
		return port.Refuse(port.ReasonDraining, retryUnreachable, "the target has reported that it leaves")
	}
	return nil
}

// sendLocal sends a request that got its slot at started to the target, and reads the response
// header.
func (p *Proxy) sendLocal(ctx context.Context, meta *attemptMeta, r *exchange.Request, started, deadline time.Time) (*exchange.Response, error) {
	if refusal := p.checkRunnable(meta, r); refusal != nil {
		// The state may have changed while the request waited for the slot.
		return nil, refusal
	}
	now := p.ports.Clock.Now()
	if p.startedTooLate(now, started) {
		return nil, port.Refuse(port.ReasonBusy, retryShed, "this node was paused, and the target warms up")
	}
	left := deadline.Sub(now)
	if left < minBudget {
		return nil, port.Refuse(port.ReasonDeadline, 0, "the deadline passed before the target took the request")
	}
	r.Header[p.config.Headers.Deadline] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	ctx, cancel := context.WithTimeout(ctx, left)
	p.ports.Meter.Count(port.MetricTargetRequests, "", 1)
	response, err := p.ports.Target.Do(ctx, p.config.TargetAddress, r)
	if err != nil {
		if ctx.Err() == nil {
			p.doubtWarmup()
		}
		cancel()
		return nil, p.classifyError(err)
	}
	if err := p.config.Headers.checkOptions(response.Header); err != nil {
		p.discard(response.Body)
		cancel()
		return nil, &port.UnknownOutcome{Stage: "target", Cause: err}
	}
	load := p.recordTargetReport(now, response)
	if response.Status == http.StatusMisdirectedRequest {
		p.doubtWarmup()
	}
	if refusal := p.notExecuted(response, load); refusal != nil {
		p.discard(response.Body)
		cancel()
		return nil, refusal
	}
	response.Body = &releasingBody{ReadCloser: response.Body, release: cancel}
	response.Cancel = cancel
	return response, nil
}

// classifyError returns a refusal if no part of the request was sent, and a
// *port.UnknownOutcome otherwise.
func (p *Proxy) classifyError(err error) error {
	if exchange.IsHeaderRejected(err) {
		p.ports.Meter.Count(port.MetricHeadersRejected, "", 1)
	}
	var failure *exchange.Failure
	if errors.As(err, &failure) && !failure.Sent {
		return port.Refuse(port.ReasonUnreachable, retryUnreachable, "%v", failure)
	}
	return &port.UnknownOutcome{Stage: "target", Cause: err}
}

// notExecuted returns a refusal if a target's response says that it did not run the
// request, or nil. All other errors of a target are valid responses. load is the load that the
// response reports.
func (p *Proxy) notExecuted(response *exchange.Response, load targetreport.Load) *port.Refusal {
	if response.Status == http.StatusMisdirectedRequest {
		return port.Refuse(port.ReasonMisdirected, retryUnreachable, "another target has the address")
	}
	if response.Header.Get(p.config.Headers.NotExecuted) == "" {
		return nil
	}
	switch response.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
	default:
		return nil
	}
	after := max(retryShed, callhttp.ExactRetryAfter(response.Header))
	text := response.Header.Get(p.config.Headers.Load)
	if load.HasFreeSlots() {
		return port.Refuse(port.ReasonShedWithRoom, after, "the target shed the request at load %s", text)
	}
	return port.Refuse(port.ReasonShed, after, "the target shed the request at load %q", text)
}

// retryShed is the shortest Retry-After of a shed request. Where many requests run, slots become
// free every few milliseconds; an unhealthy target sheds at random.
const retryShed = 50 * time.Millisecond

// maxDiscarded is how many bytes of an unused body are read to keep its connection.
const maxDiscarded = 16 << 10

// discard reads the rest of a small body, so that its connection can be reused. Of a
// larger body, it reads only maxDiscarded bytes, and closes it.
func (p *Proxy) discard(body io.ReadCloser) {
	// On a read error, the connection is broken and not reused.
	_, _ = io.CopyN(io.Discard, body, maxDiscarded)
	_ = body.Close()
}

// IsForwarded reports whether a request of another node is a caller's request for the local target.
// Nodes remove the header from callers' requests.
func IsForwarded(r *http.Request) bool { return r.Header.Get(headerMeta) != "" }

// ServePeer runs a request sent by another node on the local target.
func (p *Proxy) ServePeer(w http.ResponseWriter, r *http.Request) {
	received := p.ports.Clock.Now()
	meta, err := decodeMeta(r.Header.Get(headerMeta))
	if err != nil {
		callhttp.WriteError(w, port.Refuse(port.ReasonBadRequest, 0, "%v", err))
		return
	}
	meta.fromPeer = true
	meta.budget = min(meta.budget, p.maxBudget())
	request := &exchange.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: http.Header{},
		Body: r.Body, ContentLength: r.ContentLength,
		IDHeader: p.config.Headers.RequestID, ID: r.Header.Get(p.config.Headers.RequestID),
	}
	if r.ContentLength == 0 {
		request.Body = nil
	}
	callhttp.CopyHeader(request.Header, r.Header)
	p.adoptLimit(r)
	transfer, refusal := p.admitToLink(&meta, received)
	if refusal != nil {
		report := p.loadReport(received, 0)
		report.write(w.Header())
		p.requestLog.localFailed(p.ports.Clock.Now(), request.ID, &meta, received, report, refusal)
		callhttp.WriteError(w, refusal)
		return
	}
	hold := p.memory.open(request.ID)
	defer hold.close()
	request.Reserve = hold.reserveHeader
	response, report, err := p.runAdmitted(r.Context(), &meta, request, received, hold)
	report.write(w.Header())
	if err != nil {
		p.correctLink(&meta, transfer, 0)
		p.requestLog.localFailed(p.ports.Clock.Now(), request.ID, &meta, received, report, err)
		callhttp.WriteError(w, err)
		return
	}
	// The node is not idle until the last byte is sent, also while the response waits for
	// the link.
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	complete := false
	defer func() { p.recordOwnerCompletion(&meta, received, complete) }()
	// The target's slot is released when the last byte is read from the target, not when
	// the other node has received all bytes.
	resp, err := bufferResponse(response, hold)
	if err != nil {
		p.correctLink(&meta, transfer, 0)
		callhttp.WriteError(w, &port.UnknownOutcome{Stage: "answer", Cause: err})
		return
	}
	p.correctLink(&meta, transfer, resp.size())
	resp.setLength(r.Method)
	resp.cancel = response.Cancel
	uploading := !response.IsBodySent()
	if uploading {
		p.keepUpload(w, "owner")
	}
	err = p.sendResponse(r.Context(), w, resp, transfer)
	if err == nil && uploading {
		p.awaitUpload(r.Context(), w, resp, received.Add(meta.budget))
	}
	resp.closeRest()
	if hold.close() {
		err = errEndedForMemory
	}
	if err != nil {
		// The response must break off for the entry node as well.
		panic(http.ErrAbortHandler)
	}
	complete = true
}

// maxBudget returns the longest time for which a request of another node is handled. Anybody who reaches the
// listener can state any time.
func (p *Proxy) maxBudget() time.Duration {
	var table *mesh.Table
	if snapshot := p.snapshot.Load(); snapshot != nil {
		table = snapshot.Table
	}
	return maxBudgetFactor * table.LongestTimeout(defaultTimeout)
}

// runAdmitted runs a request for which this node has memory.
func (p *Proxy) runAdmitted(ctx context.Context, meta *attemptMeta, r *exchange.Request, received time.Time, hold *memoryHold) (*exchange.Response, loadReport, error) {
	if refusal := hold.admit(ctx, "owner", heldToRelay(r.ContentLength)); refusal != nil {
		return nil, p.loadReport(received, 0), refusal
	}
	return p.runLocal(ctx, meta, r, received)
}

// heldToRelay returns how many bytes are held to pass on a request body of the given length,
// which is negative if unknown.
func heldToRelay(length int64) int64 {
	if length < 0 {
		return relayBytes
	}
	return min(length, relayBytes)
}

// sendResponse sends a response, the buffered part followed by the rest. The transfer is nil
// if the link's speed is unknown.
func (p *Proxy) sendResponse(ctx context.Context, w http.ResponseWriter, resp *bufferedResponse, transfer *link.Transfer) error {
	if resp.rest != nil {
		resp.startReadAhead()
		defer resp.closeRest()
	}
	if resp.size() >= link.LargeSize && p.link.Rate() > 0 {
		return p.sendPaced(ctx, w, resp, transfer)
	}
	p.countUnpaced(resp.size() + placement.HeaderBytes)
	resp.hold.startWriting(w)
	writeHeader(w, resp.response)
	return copyBody(w, resp)
}

// copyBody writes the buffered part of a body, followed by the rest.
func copyBody(w io.Writer, resp *bufferedResponse) error {
	if err := resp.hold.write(w, resp.body); err != nil || resp.rest == nil {
		return err
	}
	if resp.ahead != nil {
		resp.release()
		return resp.ahead.copyTo(w)
	}
	_, err := io.Copy(w, resp.rest)
	return err
}

// writeHeader writes the header of a target's response.
func writeHeader(w http.ResponseWriter, response *exchange.Response) {
	header := w.Header()
	callhttp.CopyHeader(header, response.Header)
	if _, ok := header["Content-Type"]; !ok {
		// net/http would otherwise detect a content type.
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

// releasingBody calls release once when the body is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (r *releasingBody) Close() error {
	err := r.ReadCloser.Close()
	if r.release != nil {
		r.release()
		r.release = nil
	}
	return err
}
