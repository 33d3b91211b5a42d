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

// Times of the entry node.
const (
	// retryNotReady is when to come back to a node that knows no configuration
	// yet: it reads one 0.03 to 0.32 s after its start, as 18 and 86 VMs that
	// started together did.
	retryNotReady = 200 * time.Millisecond
	// retryElsewhere is when to come back from a node that takes no more callers: other
	// nodes take them at once.
	retryElsewhere = 50 * time.Millisecond
	// answerMargin is how long before a caller stops waiting it is answered,
	// so that the answer is there in time.
	answerMargin = 10 * time.Millisecond
	// defaultTimeout bounds requests of routes without a timeout whose callers
	// give none.
	defaultTimeout = 30 * time.Second
)

// ServeCaller serves a caller's request; it is the only writer of the answer.
func (p *Proxy) ServeCaller(w http.ResponseWriter, r *http.Request) {
	p.open.Add(1)
	defer p.open.Add(-1)
	f, err := p.newFlight(r)
	if err == nil {
		var a *answer
		a, err = f.fly(r.Context())
		if err == nil {
			p.deliver(w, f, a)
			return
		}
	}
	p.refuse(w, r, f, err)
}

// newFlight finds the route of a request and reads its body.
func (p *Proxy) newFlight(r *http.Request) (*flight, error) {
	now := p.ports.Clock.Now()
	picture := p.picture.Load()
	if picture == nil || picture.Table == nil {
		return nil, port.Refuse(port.ReasonNotReady, retryNotReady, "this node has no configuration yet")
	}
	route := picture.Table.Route(r.Host, r.URL.Path)
	if route == nil {
		return nil, port.Refuse(port.ReasonUnknownRoute, 0, "no route for this host and path")
	}
	limits := picture.Table.Config.Limits
	if limits.HeaderBytes > 0 && callhttp.HeaderBytes(r) > limits.HeaderBytes {
		return nil, port.Refuse(port.ReasonHeaderTooLarge, 0, "the headers are over %d bytes", limits.HeaderBytes)
	}
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		return nil, port.Refuse(port.ReasonBodyTooLarge, 0, "the body is over %d bytes", limits.BodyBytes)
	}
	if p.endsBefore(now.Add(p.timeLeft(r, route))) {
		return nil, port.Refuse(port.ReasonStopping, retryElsewhere, "this node is stopping")
	}
	body, length, err := requestbody.Read(r.Body, r.ContentLength)
	if err != nil {
		return nil, &port.UnknownOutcome{Stage: "body", Cause: err}
	}
	f := &flight{
		proxy: p, picture: picture, route: route, began: now,
		method: r.Method, uri: r.RequestURI, host: r.Host, header: http.Header{},
		body: body, length: length, id: r.Header.Get(p.config.Headers.RequestID),
		tried: map[string]bool{},
	}
	f.deadline = now.Add(p.timeLeft(r, route) - answerMargin)
	if wait, ok := p.callerWaits(r); ok {
		f.callerEnds = now.Add(wait)
	}
	f.fingerprint = fingerprintOf(f)
	f.suspicion = p.crashes.Count(f.fingerprint)
	f.first = p.firstAttempt(f)
	callhttp.CopyHeader(f.header, r.Header)
	f.header[p.config.Headers.CallerService] = []string{*p.service.Load()}
	f.service = p.pickService(picture, route)
	return f, nil
}

// endsBefore reports whether a stopping node that callers have left by now may end
// before a time. It takes no request on a connection that was kept open which it might
// have to cut; calls of runs that are surely over go on.
func (p *Proxy) endsBefore(end time.Time) bool {
	return p.ownStopped.Load() && end.After(*p.endsBy.Load())
}

// timeLeft is the shorter of what the caller and the route allow.
func (p *Proxy) timeLeft(r *http.Request, route *mesh.Route) time.Duration {
	left := defaultTimeout
	if route.Timeout > 0 {
		left = route.Timeout
	}
	if wait, ok := p.callerWaits(r); ok {
		return min(left, wait)
	}
	return left
}

// callerWaits is how long the caller says that it waits.
func (p *Proxy) callerWaits(r *http.Request) (time.Duration, bool) {
	millis, err := strconv.ParseInt(r.Header.Get(p.config.Headers.Deadline), 10, 64)
	if err != nil || millis < 0 || millis > maxCallerWait.Milliseconds() {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// maxCallerWait bounds what callers may say: a number that is far too large would
// overflow a time, and its caller would count as gone.
const maxCallerWait = 24 * time.Hour

func (p *Proxy) pickService(picture *Picture, route *mesh.Route) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.splitter.Pick(picture.Table.Config, route)
}

// deliver passes an answer on. What is buffered is known to be whole; a body
// too large to buffer ends broken for the caller where it breaks.
func (p *Proxy) deliver(w http.ResponseWriter, f *flight, a *answer) {
	p.closeWhenStopping(w)
	p.ports.Meter.Count(port.MetricAnswered, f.route.Name, 1)
	if a.response.Status >= http.StatusInternalServerError {
		p.rememberFailed(f)
	}
	now := p.ports.Clock.Now()
	p.ports.Meter.Observe(port.MetricRequestTime, f.route.Name, now.Sub(f.began))
	p.decisions.served(now, f, a)
	if a.rest == nil {
		a.response.ContentLength = int64(len(a.whole))
	} else {
		defer a.rest.Close()
	}
	writeAnswer(w, a.response)
	if err := copyAnswer(w, a); err != nil {
		p.decisions.brokenOff(p.ports.Clock.Now(), f, err)
		panic(http.ErrAbortHandler)
	}
}

// refuse tells the caller that its request did not run, or that nobody knows.
func (p *Proxy) refuse(w http.ResponseWriter, r *http.Request, f *flight, err error) {
	p.closeWhenStopping(w)
	var refusal *port.Refusal
	known := errors.As(err, &refusal)
	p.countEnd(f, err)
	if f != nil {
		p.rememberFailed(f)
	}
	p.decisions.ended(p.ports.Clock.Now(), r.Header.Get(p.config.Headers.RequestID), f, callerGone(r), err)
	if callerGone(r) {
		return
	}
	if known {
		callhttp.WriteExactRefusal(w, refusal)
		return
	}
	callhttp.WriteError(w, err)
}

func (p *Proxy) countEnd(f *flight, err error) {
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

// answer is a target's answer with its body: whole, or its first part and the
// rest to be streamed.
type answer struct {
	response *exchangeResponse
	whole    []byte
	rest     io.ReadCloser
}

// maxBuffered is how much of an answer's body is held until its end is known.
// A body that breaks within it can be had again from another target; larger ones
// are streamed, so that a few of them don't fill the memory of a small VM.
const maxBuffered = 1 << 20

// readAnswer reads the body up to maxBuffered.
func readAnswer(response *exchangeResponse) (*answer, error) {
	limit := int64(maxBuffered)
	size := min(max(response.ContentLength, 0), limit)
	whole := make([]byte, 0, size+1)
	for int64(len(whole)) < limit {
		if len(whole) == cap(whole) {
			whole = append(whole, 0)[:len(whole)]
		}
		n, err := response.Body.Read(whole[len(whole):min(cap(whole), maxBuffered)])
		whole = whole[:len(whole)+n]
		if err == io.EOF {
			return &answer{response: response, whole: whole}, response.Body.Close()
		}
		if err != nil {
			_ = response.Body.Close()
			return nil, err
		}
	}
	return &answer{response: response, whole: whole, rest: response.Body}, nil
}

// alive reports whether the caller still waits at now.
func (f *flight) alive(ctx context.Context, now time.Time) bool {
	return ctx.Err() == nil && now.Before(f.deadline)
}
