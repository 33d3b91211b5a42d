package clientretry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFirstAttemptOfACaller(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	asked := Request{Method: "GET", Host: "h", URI: "/a/1", Deadline: at(2000)}
	for _, test := range []struct {
		desc  string
		again Request
		want  time.Time
	}{
		{"the same caller", asked, at(0)},
		{"the same, by a deadline in whole milliseconds", Request{"GET", "h", "/a/1", at(1994)}, at(0)},
		{"another caller of the same resource", Request{"GET", "h", "/a/1", at(2500)}, at(600)},
		{"another resource", Request{"GET", "h", "/a/2", at(2000)}, at(600)},
		{"another method", Request{"POST", "h", "/a/1", at(2000)}, at(600)},
		{"another host", Request{"GET", "i", "/a/1", at(2000)}, at(600)},
	} {
		t.Run(test.desc, func(t *testing.T) {
			m := NewTracker()
			m.RecordFailure(at(30), &asked, at(0))
			assert.Assert(t, m.FirstAttempt(at(600), &test.again).Equal(test.want))
		})
	}
}

// A caller is refused twice: its first attempt is remembered across the second.
func TestFirstAttemptIsKeptOverSeveral(t *testing.T) {
	m := NewTracker()
	start := time.Unix(1_000_000, 0)
	r := Request{Method: "GET", Host: "h", URI: "/a/1", Deadline: start.Add(2 * time.Second)}
	m.RecordFailure(start, &r, start)
	first := m.FirstAttempt(start.Add(500*time.Millisecond), &r)
	m.RecordFailure(start.Add(510*time.Millisecond), &r, first)
	assert.Assert(t, m.FirstAttempt(start.Add(time.Second), &r).Equal(start))
	assert.Equal(t, len(m.failed), 0)
}

// An overload lasts long. What is remembered stays bounded, by count and by the
// time for which callers wait.
func TestMemoryIsBounded(t *testing.T) {
	m := NewTracker()
	start := time.Unix(1_000_000, 0)
	for i := range 3 * mostRemembered {
		m.RecordFailure(start, &Request{URI: fmt.Sprint(i % 100), Deadline: start.Add(2*time.Second + time.Duration(i))}, start)
	}
	assert.Equal(t, len(m.order), mostRemembered)
	count := 0
	for _, attempts := range m.failed {
		count += len(attempts)
	}
	assert.Equal(t, count, mostRemembered)
	m.RecordFailure(start.Add(time.Minute), &Request{URI: "late", Deadline: start.Add(time.Second)}, start)
	assert.Equal(t, len(m.order), 0)
	assert.Equal(t, len(m.failed), 0)
}
