// Package shutdown decides which requests a node in a planned stop still accepts. The load
// it addresses is slow responses that are accepted after the stop signal, such as downloads
// that wait for a full link: the process ends before their last byte is sent. Small
// responses must be accepted until callers have been moved to other nodes, because each
// refusal costs a caller a retry. The package is pure: the caller passes the current time.
package shutdown

import "time"

// Request describes a request that arrives at a stopping node.
type Request struct {
	Route string
	// Timeout is the time for which the sender of the request waits for its response.
	Timeout time.Duration
	// LinkTime is the time until the last byte of the response would cross the node's own
	// link, if the response were ready at once; 0 if it doesn't cross the link.
	LinkTime time.Duration
	// Small is set for small responses while callers have not been moved to other nodes yet.
	// They are judged by the 0.99 quantile. Other responses are judged by the longest time
	// observed and a margin, because one in a hundred of those accepted by the quantile could
	// be cut off.
	Small bool
	// AcceptUnknown judges a small response by any observations and accepts it without any.
	// Otherwise, the timeout stands for missing observations.
	AcceptUnknown bool
}

// longestMargin is the factor on the longest observed time. The longest of a few hundred times
// is still exceeded by one response in some hundreds.
const longestMargin = 1.5

// Accepts reports whether the response to a request is likely to be sent completely in the
// time left until the process ends, and the expected time until its last byte, which is never
// assumed to be longer than the timeout.
func (t *Times) Accepts(now, end time.Time, r Request) (expected time.Duration, ok bool) {
	expected = r.Timeout
	if r.Small {
		if high, observed := t.High(r.Route); observed >= minObserved || r.AcceptUnknown {
			expected = max(high, r.LinkTime)
		}
	} else if longest, observed := t.longest(r.Route); observed >= minLongest {
		// The last bucket has no bound, so that the product may not fit a time.Duration.
		expected = time.Duration(min(longestMargin*float64(max(longest, r.LinkTime)), float64(r.Timeout)))
	}
	expected = min(expected, r.Timeout)
	return expected, expected <= end.Sub(now)
}
