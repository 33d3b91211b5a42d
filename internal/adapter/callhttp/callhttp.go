// Package callhttp maps calls, answers, refusals and unknown outcomes onto
// HTTP, one way for callers, peers and targets.
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
	HeaderBudget    = "Tamarack-Budget-Ms"
	// HeaderStartBy tells a target on the same VM until when it may begin, in
	// milliseconds of the machine's monotonic clock. Unlike what is left of the
	// deadline it holds when the node is paused before it sends the request.
	HeaderStartBy = "Tamarack-Start-By-Ms"
	// HeaderChain names the services of a call's chain, outermost first. A
	// target passes it on with the calls that it makes for the request.
	HeaderChain = "Tamarack-Chain"
)

// Values of HeaderOutcome.
const (
	OutcomeDidNotRun = "did-not-run"
	OutcomeUnknown   = "unknown"
)

// hopHeaders end at each hop (RFC 9110, section 7.6.1). Expect is answered by
// the entry node, which reads the body when it needs it.
var hopHeaders = map[string]bool{
	"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true,
}

// CopyHeader copies end-to-end headers, leaving out those of this hop and of
// the system. The values are shared: neither side may change them in place.
func CopyHeader(to, from http.Header) {
	listed := connectionHeaders(from["Connection"])
	for name, values := range from {
		if !hopHeaders[name] && !strings.HasPrefix(name, HeaderPrefix) && !slices.Contains(listed, name) {
			to[name] = slices.Clip(values)
		}
	}
}

// connectionHeaders are the headers that a Connection header ends at this hop.
func connectionHeaders(values []string) []string {
	var listed []string
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			listed = append(listed, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return listed
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

// FormatMillis renders a duration for the headers that carry one; negative
// durations are zero.
func FormatMillis(d time.Duration) string { return strconv.FormatInt(max(0, d.Milliseconds()), 10) }

// ParseMillis reads what FormatMillis wrote. Negative durations and ones that
// don't fit are errors.
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
