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
	// AcceptUnknown accepts the request if too few requests of its route were observed. It is
	// for small responses while callers have not been moved to other nodes yet. Otherwise,
	// the timeout stands for the observations.
	AcceptUnknown bool
}

// Accepts reports whether the response to a request is likely to be sent completely in the
// time left until the process ends, and the expected time until its last byte: the 0.99
// quantile of the route, which is never assumed to be longer than the timeout.
func (t *Times) Accepts(now, end time.Time, r Request) (expected time.Duration, ok bool) {
	expected, known := t.High(r.Route)
	if !known {
		if r.AcceptUnknown {
			return 0, true
		}
		expected = r.Timeout
	}
	expected = min(max(expected, r.LinkTime), r.Timeout)
	return expected, expected <= end.Sub(now)
}
