// Package targetreport tracks what a target reports about itself in its responses: the rate of
// requests that it takes, and whether it is leaving. The package is pure: the caller passes
// the current time.
package targetreport

import "time"

// Report is what one response of a target reports.
type Report struct {
	// Limited reports whether the target limits its requests, and Limit is the number of
	// requests per second that it takes from all nodes together.
	Limited bool
	Limit   float64
	// Leaving reports whether the target is about to end and must get no new requests.
	Leaving bool
}

const (
	// minRate is the lowest rate, in requests per second, at which a target gets requests:
	// the node learns only from responses that a limit has ended.
	minRate = 0.5
	// maxRate is the highest rate that is applied, in requests per second: more than any
	// target serves, and small enough to count with.
	maxRate = 1e6
	// burstTime is the time over which requests are counted together: callers don't send
	// them at an even pace, and those that come close together need not wait.
	burstTime = 250 * time.Millisecond
)

// Pace returns the rate, in requests per second, and the burst with which requests may start under
// a limit.
func (r Report) Pace() (perSecond float64, atOnce int) {
	perSecond = min(max(r.Limit, minRate), maxRate)
	return perSecond, max(1, int(perSecond*burstTime.Seconds()))
}

// Tracker holds what a target has reported. Responses may be received in another order than
// that in which the target sent them. The zero value is a target that has not responded yet.
type Tracker struct {
	current Report
	// responded is set once a response was recorded.
	responded bool
	// limitedAt is when the last report of a limit was received.
	limitedAt    time.Time
	leavingSince time.Time
}

// Current returns the reports in force.
func (t *Tracker) Current() Report { return t.current }

// LeavingSince returns when the target first reported that it leaves, or zero.
func (t *Tracker) LeavingSince() time.Time { return t.leavingSince }

// AdoptLimit takes over a limit that another node has heard of, until the target has responded to
// this node. Of several limits, the lowest counts.
func (t *Tracker) AdoptLimit(now time.Time, limit float64) {
	if t.responded || t.current.Limited && t.current.Limit <= limit {
		return
	}
	t.current.Limited, t.current.Limit = true, limit
	t.limitedAt = now
}

// Record records the report of a response. A limit holds until a response to a request that was
// sent after the limit was last received reports none: an earlier response may have been
// overtaken. A target that leaves doesn't come back before its next start.
func (t *Tracker) Record(sent, received time.Time, report Report) {
	t.responded = true
	switch {
	case report.Limited:
		t.current.Limited, t.current.Limit = true, report.Limit
		t.limitedAt = received
	case t.current.Limited && sent.After(t.limitedAt):
		t.current.Limited, t.current.Limit = false, 0
	}
	if report.Leaving && !t.current.Leaving {
		t.current.Leaving = true
		t.leavingSince = received
	}
}
