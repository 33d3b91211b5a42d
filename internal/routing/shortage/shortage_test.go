package shortage

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// A return of capacity must be noticed within noticed, and one request in share must be sent to
// a target.
const noticed, share = 250 * time.Millisecond, 8

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

// Guards against decisions of a shortage where only few requests are refused, as in the bursts
// of a service that has enough slots; against a shortage that doesn't begin, or doesn't end with
// the refusals; and against one that forgets its beginning while it lasts, also when times of
// concurrent requests are out of order by some milliseconds.
func TestShortageBeginsAndEnds(t *testing.T) {
	tracker, now := &Tracker{}, start
	record := func(n, refuseEvery int, check func(short bool)) {
		for i := range n {
			now = now.Add(20 * time.Millisecond)
			tracker.RecordFirst(now, 0, i%refuseEvery != 0)
			_, short := tracker.Lasted(now)
			check(short)
			assert.Assert(t, !tracker.Refuse(now, 0) && (short || tracker.TryAnother(now, 0)))
		}
	}
	record(400, 20, func(short bool) { assert.Assert(t, !short) })
	record(200, 2, func(bool) {})
	lasted, short := tracker.Lasted(now)
	assert.Assert(t, short && lasted > 3500*time.Millisecond, "%s", lasted)
	tracker.RecordFirst(now.Add(-30*time.Millisecond), 0, false)
	after, short := tracker.Lasted(now)
	assert.Assert(t, short && after == lasted)
	record(250, 1000, func(bool) {})
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
		admitted := make([]float64, 1+random.IntN(MaxRanks+2))
		for step := range 400 {
			for i := range admitted {
				if step%80 == 0 {
					admitted[i] = random.Float64() * float64(random.IntN(2))
				}
			}
			now = now.Add(time.Duration(random.ExpFloat64() * float64(15*time.Millisecond)))
			refusedBefore := false
			for rank := range admitted {
				state := *tracker
				refuses := state.Refuse(now, rank)
				assert.Assert(t, refuses || !refusedBefore, "seed %d: rank %d is refused, rank %d is not", seed, rank-1, rank)
				refusedBefore = refuses
			}
			rank := random.IntN(len(admitted))
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
	const hold = 200 * time.Millisecond
	for i := range 32 {
		every := []time.Duration{5, 20, 100, 240}[i/8] * time.Millisecond
		tracker, now := excluded(2)
		returned := now.Add(2*time.Second + time.Duration(i%8)*every)
		var sent []time.Time
		for now.Sub(returned) < 5*hold {
			now = now.Add(every)
			tracker.RecordFirst(now, 0, true)
			for len(sent) > 0 && now.Sub(sent[0]) >= hold {
				tracker.RecordFirst(now, 2, true)
				sent = sent[1:]
			}
			late := now.Sub(returned) - every
			switch refused := tracker.Refuse(now, 2); {
			case refused:
				assert.Assert(t, late < noticed+hold && (len(sent) > 0 || late < noticed), "every %s: refused %s after the return", every, late)
			case now.Before(returned):
				tracker.RecordFirst(now, 2, false)
			default:
				sent = append(sent, now)
			}
		}
	}
}

// An entry node that was paused or partitioned, has restarted or whose clock was stepped must not
// refuse requests because of what it knew before. If the shortage still lasts, it must know after
// a few requests, without sending each one to several targets until then.
func TestStaleStateNeitherExcludesNorFloods(t *testing.T) {
	for _, jump := range []time.Duration{0, 20 * time.Second, 5 * time.Hour, -20 * time.Second, -200 * time.Millisecond} {
		tracker, now := excluded(0)
		assert.Assert(t, !tracker.Refuse(now, 0) && tracker.Refuse(now, 0), "the first one is a probe")
		if now = now.Add(jump); jump == 0 {
			tracker = &Tracker{}
		}
		for range 100 {
			assert.Assert(t, !tracker.Refuse(now, 0), "%s", jump)
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
		assert.Assert(t, let <= 4+100/share+1 && further <= 6, "%s: %d of 100 sent to a target, %d to a second one", jump, let, further)
	}
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
