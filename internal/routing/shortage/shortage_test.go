package shortage

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// slot is how long a request holds a slot. A return of capacity must be noticed within
// noticed, and one request in share must be sent to a target.
const (
	slot    = 200 * time.Millisecond
	noticed = 250 * time.Millisecond
	share   = 8
)

// excluded returns a tracker in a shortage in which no request of the rank and of less
// urgent ones is admitted, and the time of the last outcome.
func excluded(rank int) (*Tracker, time.Time) {
	t, now := &Tracker{}, start
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		for more := range rank {
			t.RecordFirst(now, more, true)
		}
		t.RecordFirst(now, rank, false)
	}
	return t, now
}

// Guards against decisions of a shortage where only few requests are refused, as in the
// bursts of a service that has enough slots.
func TestFewRefusalsAreNoShortage(t *testing.T) {
	tracker, now := &Tracker{}, start
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		tracker.RecordFirst(now, 0, i%20 != 0)
		_, short := tracker.Lasted(now)
		assert.Assert(t, !short && !tracker.Refuse(now, 0) && tracker.TryAnother(now, 0))
	}
}

// Guards against a shortage that doesn't begin, or doesn't end with the refusals, or that
// forgets its beginning while it lasts.
func TestShortageBeginsAndEnds(t *testing.T) {
	tracker, now := &Tracker{}, start
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		tracker.RecordFirst(now, 0, i%2 == 0)
	}
	lasted, short := tracker.Lasted(now)
	assert.Assert(t, short && lasted > 3500*time.Millisecond, "%s", lasted)
	assert.Assert(t, !tracker.Refuse(now, 0), "half of the requests are admitted")
	for range 250 {
		now = now.Add(20 * time.Millisecond)
		tracker.RecordFirst(now, 0, true)
	}
	_, short = tracker.Lasted(now)
	assert.Assert(t, !short)
}

// For all histories, whenever a request would be refused, one of any less urgent rank would
// be refused as well, and at least one in eight requests and one in each 250 ms gets an
// attempt.
func TestMoreUrgentRanksAreNotRefusedMoreOften(t *testing.T) {
	refused := 0
	for seed := range uint64(80) {
		random := rand.New(rand.NewPCG(seed, 1))
		tracker, now, sinceProbe, probed := &Tracker{}, start, 0, start
		ranks := 1 + random.IntN(MaxRanks+2)
		admitted := make([]float64, ranks)
		for step := range 400 {
			if step%80 == 0 {
				for i := range admitted {
					admitted[i] = random.Float64() * float64(random.IntN(2))
				}
			}
			now = now.Add(time.Duration(random.ExpFloat64() * float64(15*time.Millisecond)))
			refusedBefore := false
			for rank := range ranks {
				state := *tracker
				refuses := state.Refuse(now, rank)
				assert.Assert(t, refuses || !refusedBefore, "seed %d: rank %d is refused, rank %d is not", seed, rank-1, rank)
				refusedBefore = refuses
			}
			rank := random.IntN(ranks)
			if tracker.Refuse(now, rank) {
				refused++
				sinceProbe++
				assert.Assert(t, sinceProbe < share && now.Sub(probed) < noticed, "seed %d: no probe in %d requests and %s", seed, sinceProbe, now.Sub(probed))
				continue
			}
			sinceProbe, probed = 0, now
			tracker.RecordFirst(now, rank, random.Float64() < admitted[rank])
		}
	}
	assert.Assert(t, refused > 1000, "only %d refused", refused)
}

// Capacity returns while a rank is excluded. A request must get an attempt within 250 ms,
// and once its response is there, no further one may be refused.
func TestReturnOfCapacityIsNoticed(t *testing.T) {
	for _, every := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 240 * time.Millisecond} {
		for phase := range 8 {
			checkReturn(t, every, 2*time.Second+time.Duration(phase)*every)
		}
	}
}

// checkReturn sends requests at an interval to a service whose capacity returns after a time.
func checkReturn(t *testing.T, every, after time.Duration) {
	t.Helper()
	tracker, now := excluded(2)
	returned := now.Add(after)
	attempted := false
	var sent []time.Time
	for now.Sub(returned) < 5*slot {
		now = now.Add(every)
		tracker.RecordFirst(now, 0, true)
		for len(sent) > 0 && now.Sub(sent[0]) >= slot {
			tracker.RecordFirst(now, 2, true)
			sent = sent[1:]
		}
		refused := tracker.Refuse(now, 2)
		switch {
		case refused:
			assert.Assert(t, now.Sub(returned) < noticed+slot+every, "every %s: still refused %s after the return", every, now.Sub(returned))
		case now.Before(returned):
			tracker.RecordFirst(now, 2, false)
		default:
			sent, attempted = append(sent, now), true
		}
		assert.Assert(t, attempted || now.Sub(returned) < noticed+every, "every %s: no attempt %s after the return", every, now.Sub(returned))
	}
}

// An entry node that was paused, has restarted or whose clock was stepped must not refuse
// requests because of what it knew before. If the shortage still lasts, it must know after
// a few requests, without sending each one to several targets until then.
func TestStaleStateNeitherExcludesNorFloods(t *testing.T) {
	for _, test := range []struct {
		desc string
		jump time.Duration
	}{
		{"paused, partitioned, or a step forward", 20 * time.Second},
		{"a step of hours", 5 * time.Hour},
		{"a step back", -20 * time.Second},
		{"a short step back", -200 * time.Millisecond},
	} {
		t.Run(test.desc, func(t *testing.T) {
			tracker, now := excluded(0)
			assert.Assert(t, !tracker.Refuse(now, 0), "the first one is a probe")
			assert.Assert(t, tracker.Refuse(now, 0))
			now = now.Add(test.jump)
			assertRelearns(t, tracker, now)
		})
	}
	t.Run("restarted", func(t *testing.T) { assertRelearns(t, &Tracker{}, start) })
}

func assertRelearns(t *testing.T, tracker *Tracker, now time.Time) {
	t.Helper()
	for range 100 {
		assert.Assert(t, !tracker.Refuse(now, 0))
	}
	let, further := 0, 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if tracker.Refuse(now, 0) {
			continue
		}
		let++
		tracker.RecordFirst(now, 0, false)
		if tracker.TryAnother(now, 0) {
			further++
			tracker.RecordFurther(now, 0, false)
		}
	}
	assert.Assert(t, let <= 4+100/share+1, "%d of 100 sent to a target", let)
	assert.Assert(t, further <= 6, "%d sent to a second one", further)
}

// Times of concurrent requests may be out of order by some milliseconds. The state must
// survive this.
func TestSmallDisorderOfTimesIsHarmless(t *testing.T) {
	tracker, now := excluded(0)
	before, _ := tracker.Lasted(now)
	tracker.RecordFirst(now.Add(-30*time.Millisecond), 0, false)
	after, short := tracker.Lasted(now)
	assert.Assert(t, short)
	assert.Equal(t, before, after)
}

// Guards against retries that come back together, too early, or after the caller has given up
// waiting for Retry-After: they are uniform over the last quarter of a third of its time.
func TestRetryAfterIsWithinItsBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for left := -time.Second; left < 24*time.Hour; left += max(10*time.Millisecond, left/7) {
		var quarters [4]int
		for range 400 {
			after := RetryAfter(left, random)
			assert.Assert(t, after >= max(minRetryAfter, left/4) && after <= max(minRetryAfter, left/3), "%s of %s", after, left)
			quarters[min(3, max(0, after-left/4)*48/max(left, 1))]++
		}
		assert.Assert(t, left < 400*time.Millisecond || slices.Min(quarters[:]) > 60, "%s: %v", left, quarters)
	}
}

func BenchmarkDecisions(b *testing.B) {
	tracker, now := excluded(2)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		tracker.Refuse(now, 2)
		tracker.RecordFirst(now, 0, true)
	}
}
