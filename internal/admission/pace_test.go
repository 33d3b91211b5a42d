package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/targetspeed"
)

// Guards against a request that is queued behind a slowed target until its deadline, against one
// that is refused for a slowdown that has passed or was reported by an earlier process, and against
// a slowdown that counts again in the measured hold times.
func TestSlowdownCountsInWaits(t *testing.T) {
	const work = 100 * time.Millisecond
	slow := targetspeed.Speed{Slowdown: 2.5, Persistence: 500 * time.Millisecond}
	for _, test := range []struct {
		desc    string
		prepare func(f *fixture)
		refused bool
	}{
		{"not reported", func(*fixture) {}, false},
		{"slow", func(f *fixture) { f.q.SetSpeed(f.now, slow) }, true},
		{"slow some time ago", func(f *fixture) { f.q.SetSpeed(f.now.Add(-5*time.Second), slow) }, false},
		{"restarted", func(f *fixture) {
			f.q.SetSpeed(f.now, slow)
			f.q.SetSpeed(f.now, targetspeed.Speed{})
		}, false},
		{"usual after slow runs", func(f *fixture) {
			f.q.SetSpeed(f.now, targetspeed.Speed{Slowdown: 2.5, Persistence: time.Hour})
			for range 50 {
				id := f.admit(1, Request{Customer: "a"})[0]
				f.now = f.now.Add(5 * work / 2)
				f.release(id)
			}
			f.q.SetSpeed(f.now, targetspeed.Speed{Slowdown: 1, Persistence: time.Hour})
		}, false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFixture(t, 1, map[string]Share{"a": {Guaranteed: 1, Limit: 1}})
			id := f.admit(1, Request{Customer: "a"})[0]
			f.now = f.now.Add(work)
			f.release(id)
			test.prepare(f)
			f.admit(1, Request{Customer: "a"})
			_, decision, _ := f.offer(Request{Customer: "a", Deadline: f.now.Add(3 * work / 2)})
			assert.Equal(t, decision.Verdict == Refused, test.refused, decision.Reason)
		})
	}
}
