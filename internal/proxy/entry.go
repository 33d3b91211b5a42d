package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
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
	f, err := p.newForwarder(r)
	if err == nil {
		var resp *bufferedResponse
		resp, err = f.forward(r.Context())
		if err == nil {
			complete := false
			defer func() { p.recordCompletion(f, complete) }()
			p.respond(w, f, resp)
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
func (p *Proxy) newForwarder(r *http.Request) (*forwarder, error) {
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
	if refusal := p.checkEntryStop(now, route, p.timeLeft(r, route)); refusal != nil {
		return nil, refusal
	}
	body, length, err := requestbody.Read(r.Body, r.ContentLength)
	if err != nil {
		return nil, &port.UnknownOutcome{Stage: "body", Cause: err}
	}
	f := &forwarder{
		proxy: p, snapshot: snapshot, route: route, began: now,
		method: r.Method, uri: r.RequestURI, host: r.Host, header: http.Header{},
		body: body, length: length, id: r.Header.Get(p.config.Headers.RequestID),
		tried: map[string]bool{},
	}
	f.deadline = now.Add(p.timeLeft(r, route) - responseMargin)
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
func (p *Proxy) respond(w http.ResponseWriter, f *forwarder, resp *bufferedResponse) {
	p.closeWhenStopping(w)
	p.ports.Meter.Count(port.MetricAnswered, f.route.Name, 1)
	if resp.response.Status >= http.StatusInternalServerError {
		p.recordCallerFailure(f)
	}
	now := p.ports.Clock.Now()
	p.ports.Meter.Observe(port.MetricRequestTime, f.route.Name, now.Sub(f.began))
	p.requestLog.served(now, f, resp)
	if resp.rest == nil {
		resp.response.ContentLength = int64(len(resp.body))
	} else {
		defer resp.rest.Close()
	}
	writeHeader(w, resp.response)
	if err := copyBody(w, resp); err != nil {
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
	if callerDisconnected(r) {
		return
	}
	if known {
		callhttp.WriteExactRefusal(w, refusal)
		return
	}
	callhttp.WriteError(w, err)
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
}

// maxBuffered is how many bytes of a response body are buffered until its end is known.
// If a body breaks off within them, the request can be retried at another target. Larger
// bodies are streamed, so that a few of them don't use up the memory of a small VM.
const maxBuffered = 1 << 20

// bufferResponse reads the body up to maxBuffered.
func bufferResponse(response *exchangeResponse) (*bufferedResponse, error) {
	limit := int64(maxBuffered)
	size := min(max(response.ContentLength, 0), limit)
	body := make([]byte, 0, size+1)
	for int64(len(body)) < limit {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := response.Body.Read(body[len(body):min(cap(body), maxBuffered)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return &bufferedResponse{response: response, body: body}, response.Body.Close()
		}
		if err != nil {
			_ = response.Body.Close()
			return nil, err
		}
	}
	return &bufferedResponse{response: response, body: body, rest: response.Body}, nil
}

// callerWaiting reports whether the caller is still waiting at now.
func (f *forwarder) callerWaiting(ctx context.Context, now time.Time) bool {
	return ctx.Err() == nil && now.Before(f.deadline)
}
