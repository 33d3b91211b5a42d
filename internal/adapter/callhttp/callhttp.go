// Package callhttp maps calls, answers, refusals and unknown outcomes onto
// HTTP, one way for callers, peers and targets.
package callhttp

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// Headers of the system. They are removed from what callers and targets send,
// so that neither can pass for a node.
const (
	HeaderPrefix    = "Tamarack-"
	HeaderOutcome   = "Tamarack-Outcome"
	HeaderReason    = "Tamarack-Reason"
	HeaderRequestID = "Tamarack-Request-Id"
	HeaderVersion   = "Tamarack-Version"
	HeaderOwner     = "Tamarack-Owner"
	HeaderEntry     = "Tamarack-Entry"
	HeaderCustomer  = "Tamarack-Customer"
	HeaderRoute     = "Tamarack-Route"
	HeaderService   = "Tamarack-Service"
	HeaderBudget    = "Tamarack-Budget-Ms"
	HeaderStall     = "Tamarack-Stall-Ms"
)

// Values of HeaderOutcome.
const (
	OutcomeDidNotRun = "did-not-run"
	OutcomeUnknown   = "unknown"
)

// hopHeaders end at each hop (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader copies end-to-end headers, leaving out those of this hop and of
// the system.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		if !strings.HasPrefix(name, HeaderPrefix) {
			to[name] = append([]string(nil), values...)
		}
	}
	for _, listed := range from.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			to.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}

// onceBody is the body of every request that the system sends, also of those
// without one. net/http replays a request on a connection that died when the
// request has no body or can get it anew, and its method or an Idempotency-Key
// header make it look replayable: the target may then run it twice. A body
// that is not nil and has no GetBody is never replayed once a byte was written.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// RoundTrip sends the call to the base URL with extra headers and returns the
// response. The error is a *port.Refusal if no byte was written, and a
// *port.Unknown otherwise.
func RoundTrip(ctx context.Context, transport http.RoundTripper, base string, call *port.Call, extra http.Header) (*http.Response, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { wrote.Store(true) },
	}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), base, call, extra)
	if err != nil {
		return nil, port.Refuse(port.ReasonBadRequest, 0, "%v", err)
	}
	response, err := transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if !wrote.Load() {
		return nil, port.Refuse(port.ReasonUnreachable, time.Second, "%v", err)
	}
	return nil, &port.Unknown{Stage: "answer", Cause: err}
}

func newRequest(ctx context.Context, base string, call *port.Call, extra http.Header) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, base+call.Target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	CopyHeader(request.Header, call.Header)
	for name, values := range extra {
		request.Header[name] = values
	}
	body := call.Body
	if body == nil {
		body = http.NoBody
	}
	request.Body = onceBody{body}
	request.ContentLength = call.ContentLength
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = nil
	}
	return request, nil
}

// RetryAfter reads the header in seconds; zero when it is absent or unreadable.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// SetRetryAfter writes the header, rounded up to whole seconds.
func SetRetryAfter(header http.Header, after time.Duration) {
	if after > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
}

// ParseVersion reads a peer's version header; zero when it is absent.
func ParseVersion(header http.Header) snapshot.Version {
	version, err := snapshot.ParseVersion(header.Get(HeaderVersion))
	if err != nil {
		return snapshot.Version{}
	}
	return version
}
