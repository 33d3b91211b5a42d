// Package slowstart decides how many requests a target receives while it warms up. A target
// that has just started is slow and crashes if it receives more requests than it tolerates;
// the crash restarts the warm-up. The package is pure: the caller passes the current time.
package slowstart

import "time"

// Limit is the number of requests that a target tolerates while it warms up: in any second at
// most Rate times Overage, plus Slack. A zero Rate means no limit.
type Limit struct {
	// Rate is in requests per second.
	Rate    float64
	Overage float64
	Slack   float64
}

// burst is the number of requests that may start at once: the smallest with which one can start
// at all. An even pace gets more requests through a second than a burst and a slower pace.
const burst = 1

// Pace returns the rate, in requests per second, and the burst with which requests may start
// under the limit. A zero rate means that the limit allows none.
//
// After a restart of its node, a target may receive the burst of the ended process and that of
// the new one within the same second; both together stay within the limit.
func (l Limit) Pace() (perSecond float64, atOnce int) {
	return max(0, l.Rate*max(l.Overage, 1)+l.Slack-2*burst), burst
}

// warmupMargin is added to the warm-up time that a target reports, for the time that the
// report was in transit.
const warmupMargin = 100 * time.Millisecond

// Tracker tracks whether a target is warming up. A target may start to warm up at any moment
// without an announcement. After each sign of it, the target counts as warming up until it
// reports how long it does.
type Tracker struct {
	// doubts counts the signs of a restart, answered those that the last report covers.
	doubts, answered uint64
	// warmAt is when the last reported warm-up ends.
	warmAt time.Time
}

// Doubt records a sign that the target may have restarted.
func (t *Tracker) Doubt() { t.doubts++ }

// Doubted reports whether the target has to be asked for its state.
func (t *Tracker) Doubted() bool { return t.answered != t.doubts }

// Question identifies a question to the target. It must be taken before the question is sent.
type Question uint64

// Ask returns the next question.
func (t *Tracker) Ask() Question { return Question(t.doubts) }

// Report records the remaining warm-up time that the target reported at the given time, zero
// if it doesn't warm up. After a sign of a restart that is later than the question, the answer
// may come from the ended process, and another question is needed.
func (t *Tracker) Report(question Question, at time.Time, remaining time.Duration) {
	t.answered = uint64(question)
	t.warmAt = time.Time{}
	if remaining > 0 {
		t.warmAt = at.Add(remaining + warmupMargin)
	}
}

// Limited reports whether the target may be warming up.
func (t *Tracker) Limited(now time.Time) bool { return t.Doubted() || now.Before(t.warmAt) }
