// Package callhttp maps calls, responses, refusals and unknown outcomes to HTTP. The
// mapping is the same for callers, peers and targets.
package callhttp

import (
	"math"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Headers reserved for nodes. They are removed from messages of callers and targets, so
// that neither can impersonate a node.
const (
	HeaderPrefix    = "Tamarack-"
	HeaderOutcome   = "Tamarack-Outcome"
	HeaderReason    = "Tamarack-Reason"
	HeaderRequestID = "Tamarack-Request-Id"
	HeaderVersion   = "Tamarack-Version"
	// HeaderOwner is the id of the VM whose target responded, and HeaderEntry that of the
	// VM whose node received the request from the caller.
	HeaderOwner = "Tamarack-Owner"
	HeaderEntry = "Tamarack-Entry"
	// HeaderBudget is the time left until the deadline, in milliseconds.
	HeaderBudget = "Tamarack-Budget-Ms"
	// HeaderStartBy is the latest time at which a target on the same VM may start
	// the request, in milliseconds of the machine's monotonic clock. Unlike the
	// remaining time until the deadline, it stays correct if the node is paused
	// before it sends the request.
	HeaderStartBy = "Tamarack-Start-By-Ms"
	// HeaderChain lists the services of a call's chain, outermost first. A target
	// sends it with the calls that it makes while it runs the request.
	HeaderChain = "Tamarack-Chain"
)

// MaxResponseHeaderBytes limits the headers of responses of targets, other nodes and the
// platform.
const MaxResponseHeaderBytes = 64 << 10

// The values of HeaderOutcome. Responses of targets don't have this header.
const (
	OutcomeDidNotRun = "did-not-run"
	OutcomeUnknown   = "unknown"
)

// hopHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1). Expect is among them
// because the entry node handles it, by reading the body when it needs it.
var hopHeaders = map[string]bool{
	"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true,
}

// CopyHeader copies the end-to-end headers; hop-by-hop headers and headers reserved for
// nodes are omitted. The values are shared and must not be changed in place.
func CopyHeader(to, from http.Header) {
	listed := ConnectionOptions(from)
	for name, values := range from {
		if !hopHeaders[name] && !strings.HasPrefix(name, HeaderPrefix) && !slices.Contains(listed, name) {
			to[name] = slices.Clip(values)
		}
	}
}

// ConnectionOptions returns the options of the Connection header in canonical form. Those that name
// headers make them hop-by-hop headers.
func ConnectionOptions(header http.Header) []string {
	var options []string
	for _, value := range header["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			options = append(options, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(option)))
		}
	}
	return options
}

// KeepBody leaves the rest of the request's body to the handler, and closes the connection
// after the response. It must be called before the response header is written if the body is
// still being sent on. By default, net/http then reads and discards the rest, and the receiver
// would get later bytes in place of the discarded ones.
func KeepBody(w http.ResponseWriter) {
	// Connections support this; the response recorders of tests discard nothing.
	_ = http.NewResponseController(w).EnableFullDuplex()
	// If a connection with an unread body were kept, net/http would read the body and the
	// next request at the same time.
	w.Header().Set("Connection", "close")
}

// RetryAfter returns the value of the Retry-After header, which must be in whole seconds.
// It returns zero if the header is missing or invalid.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// ExactRetryAfter is like RetryAfter for a header whose seconds may have a fraction. It returns at
// most maxRetryAfter.
func ExactRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// maxRetryAfter is longer than any caller waits.
const maxRetryAfter = time.Hour

// SetRetryAfter sets the Retry-After header, rounded up to whole seconds. It sets no
// header if the duration is not positive.
func SetRetryAfter(header http.Header, after time.Duration) {
	if after > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
}

// FormatMillis formats a duration for use in a header, in milliseconds. Negative
// durations become zero.
func FormatMillis(d time.Duration) string { return strconv.FormatInt(max(0, d.Milliseconds()), 10) }

// ParseMillis parses the output of FormatMillis. It returns an error for negative
// durations and for durations that overflow.
func ParseMillis(text string) (time.Duration, error) {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, err
	}
	if millis < 0 || millis > math.MaxInt64/int64(time.Millisecond) {
		return 0, strconv.ErrRange
	}
	return time.Duration(millis) * time.Millisecond, nil
}
