// Package shortage decides what an entry node does while a service has too few slots for
// its requests: which requests it refuses without an attempt, how many targets it tries,
// and when refused callers retry. It addresses overload that lasts seconds, longer than a
// target can queue requests and shorter than callers wait. Without it, each request tries
// several full targets, and refused callers use up their retries within half a second.
//
// The decisions are based on the outcomes of this node's own attempts alone. The package
// is pure: callers pass in the time and the source of random numbers.
package shortage

import (
	"math"
	"math/rand/v2"
	"time"
)

// MaxRanks is the number of ranks that are told apart. Higher ranks count as the last one.
const MaxRanks = 16

// Parameters of the estimates.
const (
	// memory is the time constant with which outcomes are forgotten. It spans several
	// requests of a rank at a node that sends a service ten requests per second.
	memory = time.Second
	// priorWeight is the weight, in outcomes, of the assumption that a rank is admitted
	// like the next more urgent one. With 0.2, a single refusal excludes no rank whose more
	// urgent ones are mostly admitted.
	priorWeight = 0.2
	// excludedBelow is the share of admitted first attempts below which a rank is refused
	// without an attempt.
	excludedBelow = 0.1
	// worthwhileFrom is the chance of admission from which a further attempt is made.
	worthwhileFrom = 0.1
	// startRefusals is the number of recent refusals from which there may be a shortage,
	// and endRefusals the number below which there is none.
	startRefusals, endRefusals = 3, 0.5
	// startShare and endShare are the shares of refused first attempts that begin and end
	// a shortage. They differ, so that it doesn't begin and end several times per second.
	startShare, endShare = 0.1, 0.05
)

// Limits of the probes: one request in probeEvery and one in each probeInterval gets an
// attempt although its rank is excluded.
const (
	probeEvery    = 8
	probeInterval = 250 * time.Millisecond
)

// Limits of Retry-After.
const (
	minRetryAfter = 100 * time.Millisecond
	// callerPart divides the time that a caller has left: it honors Retry-After up to this
	// part.
	callerPart = 3
	// lastPart is the share of that part, at its end, over which retries are distributed.
	// Earlier retries use up a caller's attempts while the shortage lasts. Callers that are
	// refused together would return together if all retried at the end.
	lastPart = 0.25
)

// maxDisorder is how far calls may be out of order because their times were read before
// they were serialized. A larger step back is a step of the clock.
const maxDisorder = 100 * time.Millisecond

// outcomes counts attempts of one rank with decaying weights.
type outcomes struct{ admitted, refused float64 }

// probe is the last request of a rank that was let through, or of a more urgent one.
type probe struct {
	at time.Time
	// refused is the number of requests refused without an attempt at that time.
	refused int
}

// Tracker tracks the admission of one service's requests by rank. The zero value is ready
// for use. It is not safe for concurrent use.
type Tracker struct {
	first, further [MaxRanks]outcomes
	// skipped counts, by rank, the further attempts not made since the last that was.
	skipped [MaxRanks]int
	probes  [MaxRanks]probe
	// refused is the number of requests refused without an attempt.
	refused int
	at      time.Time
	// since is the beginning of the shortage; zero if there is none.
	since time.Time
}

// RecordFirst records whether the first attempt of a request was admitted, or refused for
// lack of slots.
func (t *Tracker) RecordFirst(now time.Time, rank int, admitted bool) {
	t.advance(now)
	t.first[bound(rank)].add(admitted)
	t.update()
}

// RecordFurther records the outcome of an attempt after the first one, like RecordFirst.
func (t *Tracker) RecordFurther(now time.Time, rank int, admitted bool) {
	t.advance(now)
	t.further[bound(rank)].add(admitted)
}

// Lasted returns how long the shortage has lasted, and false if there is none.
func (t *Tracker) Lasted(now time.Time) (time.Duration, bool) {
	t.advance(now)
	t.update()
	return t.at.Sub(t.since), !t.since.IsZero()
}

// Admission returns the share of admitted first attempts of a rank, 0 to 1. It never
// increases with the rank.
func (t *Tracker) Admission(rank int) float64 { return rate(&t.first, bound(rank)) }

// Refuse reports whether a request is to be refused without an attempt, and counts it. The
// caller must not call it for requests of callers that retry.
func (t *Tracker) Refuse(now time.Time, rank int) bool {
	if _, ok := t.Lasted(now); !ok || t.Admission(rank) >= excludedBelow {
		return false
	}
	rank = bound(rank)
	if t.isProbe(rank) {
		for i := rank; i < MaxRanks; i++ {
			t.probes[i] = probe{at: t.at, refused: t.refused}
		}
		return false
	}
	t.refused++
	return true
}

// isProbe reports whether a request of an excluded rank is let through. A probe of a rank
// also counts for less urgent ones, which would not have been admitted in its place. So
// whenever a request of some rank is a probe, one of a more urgent rank would be as well.
func (t *Tracker) isProbe(rank int) bool {
	last := &t.probes[rank]
	return t.refused-last.refused >= probeEvery-1 || t.at.Sub(last.at) >= probeInterval
}

// TryAnother reports whether a request of the rank is to be sent to another target after
// one had no free slot, and counts it. One in probeEvery is in any case, so that the chance
// of admission remains known.
func (t *Tracker) TryAnother(now time.Time, rank int) bool {
	if _, ok := t.Lasted(now); !ok {
		return true
	}
	rank = bound(rank)
	if rate(&t.further, rank) < worthwhileFrom && t.skipped[rank] < probeEvery-1 {
		t.skipped[rank]++
		return false
	}
	t.skipped[rank] = 0
	return true
}

// RetryAfter returns when a caller with the given time left should retry in a shortage:
// uniformly distributed over the end of the span for which callers honor it, and at least
// 100 ms. A short shortage is over by then, and in a long one, early retries are refused again.
func RetryAfter(left time.Duration, random *rand.Rand) time.Duration {
	share := 1 - lastPart*random.Float64()
	return max(minRetryAfter, time.Duration(share*float64(left)/callerPart))
}

// advance lets the weights decay until now. After a step back of the clock, the state is
// discarded: its age is unknown.
func (t *Tracker) advance(now time.Time) {
	if t.at.IsZero() {
		t.at = now
		return
	}
	elapsed := now.Sub(t.at)
	if elapsed < -maxDisorder {
		*t = Tracker{at: now}
		return
	}
	if elapsed <= 0 {
		return
	}
	kept := math.Exp(-elapsed.Seconds() / memory.Seconds())
	for i := range MaxRanks {
		t.first[i].scale(kept)
		t.further[i].scale(kept)
	}
	t.at = now
}

// update begins or ends the shortage.
func (t *Tracker) update() {
	var all outcomes
	for i := range t.first {
		all.admitted += t.first[i].admitted
		all.refused += t.first[i].refused
	}
	minRefusals, minShare := float64(startRefusals), startShare
	if !t.since.IsZero() {
		minRefusals, minShare = endRefusals, endShare
	}
	share := all.refused / max(all.refused+all.admitted, 1)
	short := all.refused >= minRefusals && (share >= minShare || t.Admission(MaxRanks-1) < excludedBelow)
	switch {
	case !short:
		t.since = time.Time{}
	case t.since.IsZero():
		t.since = t.at
	}
}

func bound(rank int) int { return min(max(rank, 0), MaxRanks-1) }

func (o *outcomes) add(admitted bool) {
	if admitted {
		o.admitted++
	} else {
		o.refused++
	}
}

func (o *outcomes) scale(factor float64) {
	o.admitted *= factor
	o.refused *= factor
}

// rate returns the estimated share of admitted attempts of a rank. A rank without outcomes
// is assumed to be admitted like the next more urgent one. A rank that is admitted less
// often than a less urgent one by chance gets the share of that one.
func rate(ranks *[MaxRanks]outcomes, rank int) float64 {
	estimate, highest := 1.0, 0.0
	for i := range ranks {
		o := &ranks[i]
		estimate = (o.admitted + priorWeight*estimate) / (o.admitted + o.refused + priorWeight)
		if i >= rank {
			highest = max(highest, estimate)
		}
	}
	return highest
}
