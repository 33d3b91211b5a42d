package membudget

import "time"

const (
	// minCrashBytes is how many bytes of request bodies a target must hold when it crashes
	// for its memory to count as a possible cause.
	minCrashBytes = 1 << 20
	// TrustedAfter is how long the next incarnation of a crashed target must have served
	// before the bound is lifted.
	TrustedAfter = time.Minute
)

// Target is the account of the request bodies that a target holds, with a bound learned
// from its crashes. Its zero value is an empty account without a bound.
type Target struct {
	held, bound int64
	// servesSince is when the first response was received after the last crash; zero
	// until then.
	servesSince time.Time
}

// Held returns the bytes that the target holds, and Bound the bound; 0 means none.
func (t *Target) Held() int64 { return t.held }

// Bound returns the number of bytes that the target may hold; 0 means any.
func (t *Target) Bound() int64 { return t.bound }

// Fits reports whether a request with a body of the given bytes may be sent. One alone always
// may: a body larger than the bound would otherwise be refused for good at a target that gets
// no others, because only responses lift the bound.
func (t *Target) Fits(bytes int64) bool {
	return t.bound == 0 || bytes <= 0 || t.held == 0 || bytes <= t.bound-t.held
}

// Add counts bytes that are sent to the target, and negative bytes when requests end.
func (t *Target) Add(bytes int64) { t.held += bytes }

// RecordCrash records a crash while the target held the given bytes. It reports whether
// the crash set a bound. A crash with few bytes says nothing on memory: an earlier bound
// stays, and lasts until the new incarnation has served for a while.
func (t *Target) RecordCrash(held int64) bool {
	t.servesSince = time.Time{}
	if held <= minCrashBytes {
		return false
	}
	t.bound = held / 4 * 3
	return true
}

// RecordResponse records a complete response of the target. It reports whether the bound is
// lifted by it.
func (t *Target) RecordResponse(now time.Time) bool {
	if t.bound == 0 {
		return false
	}
	if t.servesSince.IsZero() {
		t.servesSince = now
	}
	if now.Sub(t.servesSince) < TrustedAfter {
		return false
	}
	t.bound, t.servesSince = 0, time.Time{}
	return true
}
