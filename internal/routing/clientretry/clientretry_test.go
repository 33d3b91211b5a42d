package clientretry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFirstAttemptIsRecognised(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	original := Request{Method: "GET", Host: "h", URI: "/a/1", Deadline: at(2000)}
	for _, test := range []struct {
		desc string
		next Request
		want time.Time
	}{
		{"the same caller", original, at(0)},
		{"the same caller, with a deadline in whole milliseconds", Request{"GET", "h", "/a/1", at(1994)}, at(0)},
		{"another caller of the same resource", Request{"GET", "h", "/a/1", at(2500)}, at(600)},
		{"another resource", Request{"GET", "h", "/a/2", at(2000)}, at(600)},
		{"another method", Request{"POST", "h", "/a/1", at(2000)}, at(600)},
		{"another host", Request{"GET", "i", "/a/1", at(2000)}, at(600)},
	} {
		t.Run(test.desc, func(t *testing.T) {
			tracker := NewTracker()
			tracker.RecordFailure(at(30), &original, at(0))
			assert.Assert(t, tracker.FirstAttempt(at(600), &test.next).Equal(test.want))
		})
	}
}

// A caller is refused twice. The time of its first attempt must be kept across the
// second one.
func TestFirstAttemptIsKeptAcrossRetries(t *testing.T) {
	tracker := NewTracker()
	start := time.Unix(1_000_000, 0)
	r := Request{Method: "GET", Host: "h", URI: "/a/1", Deadline: start.Add(2 * time.Second)}
	tracker.RecordFailure(start, &r, start)
	first := tracker.FirstAttempt(start.Add(500*time.Millisecond), &r)
	tracker.RecordFailure(start.Add(510*time.Millisecond), &r, first)
	assert.Assert(t, tracker.FirstAttempt(start.Add(time.Second), &r).Equal(start))
	assert.Equal(t, len(tracker.failed), 0)
}

// During a long overload the tracker must stay bounded, by the number of attempts
// and by the time for which callers wait.
func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTracker()
	start := time.Unix(1_000_000, 0)
	for i := range 3 * maxTracked {
		tracker.RecordFailure(start, &Request{URI: fmt.Sprint(i % 100), Deadline: start.Add(2*time.Second + time.Duration(i))}, start)
	}
	assert.Equal(t, len(tracker.order), maxTracked)
	count := 0
	for _, attempts := range tracker.failed {
		count += len(attempts)
	}
	assert.Equal(t, count, maxTracked)
	tracker.RecordFailure(start.Add(time.Minute), &Request{URI: "late", Deadline: start.Add(time.Second)}, start)
	assert.Equal(t, len(tracker.order), 0)
	assert.Equal(t, len(tracker.failed), 0)
}
