package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/membudget"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
	"tamarackquay/internal/requestbody"
)

// Delays and timeouts of the entry node.
const (
	// retryNotReady is the Retry-After of a node without a configuration. A node reads
	// its first one 0.03 to 0.32 s after its start, with 18 and with 86 VMs starting at
	// the same time.
	retryNotReady = 200 * time.Millisecond
	// retryElsewhere is the Retry-After of a node that accepts no more callers; other
	// nodes accept them immediately.
	retryElsewhere = 50 * time.Millisecond
	// responseMargin is how long before the end of the caller's timeout a response is
	// sent, so that it arrives in time.
	responseMargin = 10 * time.Millisecond
	// defaultTimeout applies if neither the route nor the caller sets a timeout.
	defaultTimeout = 30 * time.Second
)

// ServeCaller serves a caller's request; nothing else writes its response.
func (p *Proxy) ServeCaller(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	hold := p.memory.open(r.Header.Get(p.config.Headers.RequestID))
	defer hold.close()
	f, err := p.newForwarder(w, r, hold)
	if err == nil {
		var resp *bufferedResponse
		resp, err = f.forward(r.Context())
		if err == nil {
			complete := false
			defer func() { p.recordCompletion(f, complete) }()
			p.respond(r.Context(), w, f, resp)
			complete = true
			return
		}
		var refusal *port.Refusal
		if !errors.As(err, &refusal) {
			p.recordCompletion(f, false)
		}
	}
	p.refuse(w, r, f, err)
}

// newForwarder finds the route of a request and reads its body.
func (p *Proxy) newForwarder(w http.ResponseWriter, r *http.Request, hold *memoryHold) (*forwarder, error) {
	now := p.ports.Clock.Now()
	snapshot := p.snapshot.Load()
	if snapshot == nil || snapshot.Table == nil {
		return nil, port.Refuse(port.ReasonNotReady, retryNotReady, "this node has no configuration yet")
	}
	route := snapshot.Table.Route(r.Host, r.URL.Path)
	if route == nil {
		return nil, port.Refuse(port.ReasonUnknownRoute, 0, "no route for this host and path")
	}
	limits := snapshot.Table.Config.Limits
	if limits.HeaderBytes > 0 && callhttp.HeaderBytes(r) > limits.HeaderBytes {
		return nil, port.Refuse(port.ReasonHeaderTooLarge, 0, "the headers are over %d bytes", limits.HeaderBytes)
	}
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		return nil, port.Refuse(port.ReasonBodyTooLarge, 0, "the body is over %d bytes", limits.BodyBytes)
	}
	if err := p.config.Headers.checkOptions(r.Header); err != nil {
		return nil, port.Refuse(port.ReasonBadRequest, 0, "%v", err)
	}
	left := p.timeLeft(r, route)
	if refusal := p.checkEntryStop(now, route, left); refusal != nil {
		return nil, refusal
	}
	reserved := heldForBody(r.ContentLength)
	if refusal := hold.admit(r.Context(), "entry", reserved); refusal != nil {
		return nil, refusal
	}
	deadline := now.Add(left - responseMargin)
	body, length, err := readBody(w, r, hold, deadline)
	if err != nil {
		return nil, err
	}
	if body.IsBuffered() {
		hold.giveBack(membudget.RequestBody, reserved-body.Held())
	}
	f := &forwarder{
		proxy: p, snapshot: snapshot, route: route, began: now,
		method: r.Method, uri: r.RequestURI, host: r.Host, header: http.Header{},
		body: body, length: length, id: r.Header.Get(p.config.Headers.RequestID),
		tried: map[string]bool{}, hold: hold,
	}
	f.deadline = deadline
	if p.stopping.Load() {
		// Owner nodes order and admit responses by the deadline, so that they send this one
		// before the node ends.
		f.deadline = minTime(f.deadline, p.stopDeadline.Load().Add(-responseMargin))
	}
	if wait, ok := p.callerTimeout(r); ok {
		f.callerDeadline = now.Add(wait)
	}
	f.fingerprint = fingerprintOf(f)
	f.crashCount = p.crashes.CrashCount(f.fingerprint)
	f.firstAt = p.firstAttempt(f)
	callhttp.CopyHeader(f.header, r.Header)
	f.header[p.config.Headers.CallerService] = []string{*p.service.Load()}
	f.service = p.pickService(snapshot, route)
	return f, nil
}

// timeLeft returns the shorter of the caller's timeout and the route's timeout.
func (p *Proxy) timeLeft(r *http.Request, route *mesh.Route) time.Duration {
	left := defaultTimeout
	if route.Timeout > 0 {
		left = route.Timeout
	}
	if wait, ok := p.callerTimeout(r); ok {
		return min(left, wait)
	}
	return left
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// callerTimeout returns the timeout given by the caller in the deadline header.
func (p *Proxy) callerTimeout(r *http.Request) (time.Duration, bool) {
	millis, err := strconv.ParseInt(r.Header.Get(p.config.Headers.Deadline), 10, 64)
	if err != nil || millis < 0 || millis > maxCallerTimeout.Milliseconds() {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// maxCallerTimeout is the longest timeout accepted from callers. A much larger number
// would overflow time.Duration, and the caller would count as no longer waiting.
const maxCallerTimeout = 24 * time.Hour

func (p *Proxy) pickService(snapshot *Snapshot, route *mesh.Route) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.splitter.Pick(snapshot.Table.Config, route)
}

// respond writes a response to the caller. A buffered response is known to be complete.
// If a body too large to buffer breaks off, the caller's response breaks off at the same
// place.
func (p *Proxy) respond(ctx context.Context, w http.ResponseWriter, f *forwarder, resp *bufferedResponse) {
	p.closeWhenStopping(w)
	p.ports.Meter.Count(port.MetricAnswered, f.route.Name, 1)
	if resp.response.Status >= http.StatusInternalServerError {
		p.recordCallerFailure(f)
	}
	now := p.ports.Clock.Now()
	p.ports.Meter.Observe(port.MetricRequestTime, f.route.Name, now.Sub(f.began))
	p.requestLog.served(now, f, resp)
	resp.setLength(f.method)
	if resp.rest != nil {
		resp.startReadAhead()
		defer resp.closeRest()
	}
	uploading := !f.body.IsBuffered() && !resp.response.IsBodySent()
	if uploading {
		p.keepUpload(w, "entry")
	}
	f.hold.startWriting(w)
	writeHeader(w, resp.response)
	err := copyBody(w, resp)
	if err == nil && uploading {
		p.awaitUpload(ctx, w, resp, f.deadline)
	}
	resp.closeRest()
	if f.hold.close() {
		err = errEndedForMemory
	}
	if err != nil {
		p.requestLog.interrupted(p.ports.Clock.Now(), f, err)
		panic(http.ErrAbortHandler)
	}
}

// refuse responds that the request was not executed, or that its outcome is unknown.
func (p *Proxy) refuse(w http.ResponseWriter, r *http.Request, f *forwarder, err error) {
	p.closeWhenStopping(w)
	var refusal *port.Refusal
	known := errors.As(err, &refusal)
	p.countError(f, err)
	if f != nil {
		p.recordCallerFailure(f)
	}
	p.requestLog.failed(p.ports.Clock.Now(), r.Header.Get(p.config.Headers.RequestID), f, callerDisconnected(r), err)
	if known {
		callhttp.WriteExactRefusal(w, refusal)
		return
	}
	callhttp.WriteError(w, err)
}

// RecordInvalid counts and logs a request that a listener refused before a handler got it.
func (p *Proxy) RecordInvalid(r *http.Request, refusal *port.Refusal) {
	p.countError(nil, refusal)
	p.requestLog.failed(p.ports.Clock.Now(), r.Header.Get(p.config.Headers.RequestID), nil, false, refusal)
}

func (p *Proxy) countError(f *forwarder, err error) {
	var refusal *port.Refusal
	if errors.As(err, &refusal) {
		p.ports.Meter.Count(port.MetricRefused, string(refusal.Reason), 1)
		return
	}
	route := ""
	if f != nil {
		route = f.route.Name
	}
	p.ports.Meter.Count(port.MetricUnknown, route, 1)
}

// bufferedResponse is a target's response whose body is read completely, or in part with
// the rest to be streamed.
type bufferedResponse struct {
	response *exchangeResponse
	body     []byte
	rest     io.ReadCloser

	// hold accounts for the memory of the body; nil without a limit. granted is what it
	// was granted beyond the floor, and floor is true if it uses the floor.
	hold    *memoryHold
	granted int64
	floor   bool
	// cancel ends a pending read of rest; ahead reads it. Both are nil without a limit.
	cancel func()
	ahead  *readAhead
}

// heldForBody returns how many bytes are held for a request body of the given length.
func heldForBody(length int64) int64 {
	if length >= 0 && length <= requestbody.MaxBufferedBytes {
		return requestbody.HeldBytes(length)
	}
	return requestbody.HeldBytes(length) + relayBytes
}

// maxBuffered is how many bytes of a response body are buffered until its end is known.
// If a body breaks off within them, the request can be retried at another target. Larger
// bodies are streamed, so that a few of them don't use up the memory of a small VM.
const maxBuffered = 1 << 20

// bufferResponse reads the body up to maxBuffered, or up to the memory that is granted.
func bufferResponse(response *exchangeResponse, hold *memoryHold) (*bufferedResponse, error) {
	limit := int64(maxBuffered)
	size := min(max(response.ContentLength, 0), limit)
	resp := &bufferedResponse{response: response, hold: hold}
	body := make([]byte, 0, resp.grant(size+1))
	for int64(len(body)) < limit {
		if len(body) == cap(body) {
			if body = resp.extend(body); len(body) == cap(body) {
				break
			}
		}
		n, err := response.Body.Read(body[len(body):min(cap(body), maxBuffered)])
		body = body[:len(body)+n]
		if err == io.EOF {
			resp.body = body
			return resp, response.Body.Close()
		}
		if err != nil {
			_ = response.Body.Close()
			resp.release()
			return nil, err
		}
	}
	resp.body, resp.rest = body, response.Body
	return resp, nil
}

// grant returns how many of the wanted bytes may be buffered; without a limit, all.
func (resp *bufferedResponse) grant(wanted int64) int64 {
	if resp.hold == nil {
		return wanted
	}
	allowed := int64(0)
	if !resp.floor {
		allowed = min(wanted, resp.hold.useFloor())
		resp.floor = allowed > 0
	}
	if allowed < wanted {
		granted := resp.hold.grow(membudget.BufferedResponse, wanted-allowed)
		resp.granted += granted
		allowed += granted
	}
	return allowed
}

// minExtension is the least number of bytes by which a buffer is extended.
const minExtension = 512

// extend returns the body with more capacity, if that is granted.
func (resp *bufferedResponse) extend(body []byte) []byte {
	if resp.hold == nil {
		return append(body, 0)[:len(body)]
	}
	granted := resp.grant(min(int64(max(cap(body), minExtension)), int64(maxBuffered-cap(body))))
	if granted == 0 {
		return body
	}
	return append(make([]byte, 0, int64(cap(body))+granted), body...)
}

// setLength sets the length of a response to a method whose body is buffered completely. One to HEAD
// keeps its length, which is that of the response to GET (RFC 9110, section 8.6).
func (resp *bufferedResponse) setLength(method string) {
	if resp.rest == nil && method != http.MethodHead {
		resp.response.ContentLength = int64(len(resp.body))
	}
}

// size returns the size of the body in bytes as far as it is known, at most maxBuffered.
func (resp *bufferedResponse) size() int {
	if resp.rest == nil {
		return len(resp.body)
	}
	return max(len(resp.body), int(min(resp.response.ContentLength, maxBuffered)))
}

// release returns the memory of the body, which must not be used any more.
func (resp *bufferedResponse) release() {
	resp.body = nil
	resp.hold.giveBack(membudget.BufferedResponse, resp.granted)
	resp.granted = 0
	if resp.floor {
		resp.hold.freeFloor()
		resp.floor = false
	}
}

// callerWaiting reports whether the caller is still waiting at now.
func (f *forwarder) callerWaiting(ctx context.Context, now time.Time) bool {
	return ctx.Err() == nil && now.Before(f.deadline)
}
