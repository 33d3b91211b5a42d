// Package placement decides which target of a service an entry node sends a
// request to. It answers the load of a service whose targets differ in speed and
// distance, and of which some are full, cold or ill: near targets first as long
// as the answer is likely to come in time, further ones when that is worth the
// bytes. The package is pure: time and random numbers are handed in.
package placement

import (
	"math"
	"time"

	"tamarackquay/internal/link"
)

// Distance is how far a target is from the entry node.
type Distance uint8

// The distances, nearest first.
const (
	SameVM Distance = iota
	SameDomain
	SameRegion
	OtherRegion
	// Distances is how many there are.
	NumDistances
)

// DefaultHalfBytes is the size from which bytes weigh half where nobody sets it.
const DefaultHalfBytes = 20e3

// outside is what the bytes of a request cost that leave the failure domain, as a
// part of what an answer in time is worth. Links between domains are shared and
// paid for by volume, at prices that a node can't see, so all ways out weigh the
// same and a further target is taken only for what the caller gains. It stays
// below one: a target that is ill or surely late is never the better one, however
// large the answer.
func (r *Request) outside(distance Distance) float64 {
	if distance <= SameDomain || r.HalfBytes <= 0 {
		return 0
	}
	bytes := r.Route.ResponseBytes + r.RequestBytes + RoundTripHeaderBytes
	return bytes / (bytes + r.HalfBytes)
}

// Least is a bound that no target at a distance costs less than. Nearer targets that cost
// no more need not be compared with it.
func (r *Request) MinCost(distance Distance) float64 { return r.outside(distance) }

// HeaderBytes is about what the headers of a message between nodes take, HopBytes
// what those of a request and its answer take.
const (
	HeaderBytes          = 600
	RoundTripHeaderBytes = 2 * HeaderBytes
)

// firstRTT is the round trip that is assumed until one was measured.
var firstRTT = [NumDistances]time.Duration{0, 500 * time.Microsecond, 2 * time.Millisecond, 40 * time.Millisecond}

// Weights of what was observed.
const (
	// factorGain is the weight of a new observation of a target's speed.
	factorGain = 0.1
	// leastFactor and mostFactor bound how much faster or slower than the mean
	// of its service a target is taken for.
	leastFactor, mostFactor = 0.2, 20
	// workGain is the weight of a new observation of a route's work.
	workGain = 0.05
	// rttGain is the weight of a new observation of a round trip.
	rttGain = 0.2
	// reportAge is how long a target's own word on its load counts.
	reportAge = 2 * time.Second
	// coldFactor is how much slower a target is taken for that has just
	// started, until its own answers say otherwise.
	coldFactor = 2
	// failGain is the weight of one outcome in the part of failures, and
	// failHalfLife the time in which a remembered part halves without news.
	failGain     = 0.15
	failHalfLife = 3 * time.Second
	// spreadOfWork is the spread of the logarithm of the time that requests of
	// one route take: two in three take 0.6 to 1.65 times the median.
	spreadOfWork = 0.5
)

// Times for which a target is left alone.
const (
	// avoidFirst is the pause after a first refusal to take any work; it
	// doubles with each further one up to avoidMost.
	avoidFirst = 250 * time.Millisecond
	avoidMost  = 4 * time.Second
	// avoidRestart is the longest pause for a target whose node stops, isn't ready
	// or can't be reached.
	avoidRestart = 500 * time.Millisecond
)

// Load is a target's own word on its load, as its node counts it.
type Load struct {
	Running, Waiting, Slots int
	// Hold is how long a request holds a slot on average.
	Hold time.Duration
	// Failing is the part of its answers that were failures, 0 to 1.
	FailureRate float64
	// LinkWait is how long a large answer waits for the VM's link, LinkRate the
	// bytes a second that it then gets; 0 for links that need no pacing.
	LinkWait time.Duration
	LinkRate float64
}

// Stats is what an entry node knows of one target. It is not safe for concurrent
// use.
type Stats struct {
	Distance Distance
	// Slots is what the platform says; the target's own word goes first.
	Slots int
	// WarmAt is when a target that has just started has its full speed.
	WarmAt time.Time

	open       int
	openThen   int
	load       Load
	loadAt     time.Time
	rtt        time.Duration
	factor     float64
	failing    float64
	failedAt   time.Time
	avoidUntil time.Time
	avoidFor   time.Duration
}

// Begin counts an attempt that is sent.
func (s *Stats) Begin() { s.open++ }

// End counts an attempt that is over.
func (s *Stats) End() { s.open-- }

// Heard takes a target's word on its load.
func (s *Stats) UpdateLoad(now time.Time, load Load) {
	s.load = load
	s.loadAt = now
	s.openThen = s.open
	s.fade(now)
	s.failing = max(s.failing, load.FailureRate)
}

// Believed returns the target's last word on its load, and how old it is.
func (s *Stats) LastLoad(now time.Time) (Load, time.Duration) {
	if s.loadAt.IsZero() {
		return Load{}, 0
	}
	return s.load, now.Sub(s.loadAt)
}

// Answered takes an answer: how long the target held the request beside the
// mean of its route, and how long the way there and back took.
func (s *Stats) RecordResponse(now time.Time, relative float64, rtt time.Duration) {
	if s.factor == 0 {
		s.factor = 1
	}
	s.factor += factorGain * (min(max(relative, leastFactor), mostFactor) - s.factor)
	if s.rtt == 0 {
		s.rtt = rtt
	}
	s.rtt += time.Duration(rttGain * float64(rtt-s.rtt))
	s.outcome(now, 0)
	s.avoidFor = 0
}

// Failed takes an attempt that got a failure or no answer.
func (s *Stats) RecordFailure(now time.Time) { s.outcome(now, 1) }

func (s *Stats) outcome(now time.Time, failed float64) {
	s.fade(now)
	s.failing += failGain * (failed - s.failing)
}

func (s *Stats) fade(now time.Time) {
	if !s.failedAt.IsZero() {
		s.failing *= math.Exp2(-now.Sub(s.failedAt).Seconds() / failHalfLife.Seconds())
	}
	s.failedAt = now
}

// Avoid leaves a target alone that takes no work, for a time that doubles while
// that goes on, up to avoidMost.
func (s *Stats) BackOff(now time.Time) { s.avoid(now, avoidMost) }

// AvoidRestart is the same for a target whose node restarts, which takes a second
// or two: a longer pause would leave the target idle once the node is back.
func (s *Stats) BackOffRestart(now time.Time) { s.avoid(now, avoidRestart) }

func (s *Stats) avoid(now time.Time, most time.Duration) {
	if now.Before(s.avoidUntil) {
		return
	}
	s.avoidFor = min(max(2*s.avoidFor, avoidFirst), most)
	s.avoidUntil = now.Add(s.avoidFor)
}

// Available reports whether the target isn't left alone.
func (s *Stats) Available(now time.Time) bool { return !now.Before(s.avoidUntil) }

// Work is the running mean of how long a route's requests hold a slot and how
// large their answers are, over all targets.
type RouteStats struct {
	Hold          time.Duration
	ResponseBytes float64
}

// Observe takes one answer and returns its hold as a multiple of the mean.
func (w *RouteStats) Observe(hold time.Duration, factor float64, bytes int) float64 {
	w.ResponseBytes += workGain * (float64(bytes) - w.ResponseBytes)
	if w.Hold <= 0 {
		w.Hold = hold
	}
	relative := float64(hold) / float64(max(w.Hold, time.Microsecond))
	w.Hold += time.Duration(workGain * (float64(hold)/max(factor, leastFactor) - float64(w.Hold)))
	return relative
}

// Factor is how much longer the target takes than the mean.
func (s *Stats) HoldFactor() float64 {
	if s.factor == 0 {
		return 1
	}
	return s.factor
}

// Hold is how long the target holds a request whose usual work is given.
func (s *Stats) Hold(now time.Time, usual time.Duration) time.Duration {
	factor := s.HoldFactor()
	if s.factor == 0 && now.Before(s.WarmAt) {
		factor = coldFactor
	}
	return time.Duration(float64(usual) * factor)
}

// Request is what a choice needs to know of a request.
type Request struct {
	Route RouteStats
	// Left is the time in which the answer is still wanted.
	TimeLeft time.Duration
	// Sent is how many bytes the request itself has.
	RequestBytes float64
	// HalfBytes is the size at which leaving the failure domain weighs half as much
	// as a late answer; 0 if bytes don't matter.
	HalfBytes float64
}

// expected are the parts of the time until an answer.
func (s *Stats) expected(now time.Time, r *Request) (way, wait, hold time.Duration) {
	way = s.rtt
	if way == 0 {
		way = firstRTT[s.Distance]
	}
	hold = s.Hold(now, r.Route.Hold)
	return way + s.transfer(now, r.Route.ResponseBytes), s.wait(now, hold), hold
}

// transfer is how long a large answer takes over the link of the target's VM.
// Answers to callers on the same VM don't cross it.
func (s *Stats) transfer(now time.Time, bytes float64) time.Duration {
	if s.Distance == SameVM || bytes < link.LargeSize || s.load.LinkRate <= 0 {
		return 0
	}
	took := time.Duration(bytes / s.load.LinkRate * float64(time.Second))
	return took + max(0, s.load.LinkWait-now.Sub(s.loadAt))
}

// Expected is how long an answer takes that takes so many times the usual work.
func (s *Stats) ExpectedLatency(now time.Time, r *Request, work float64) time.Duration {
	way, wait, hold := s.expected(now, r)
	return way + wait + time.Duration(work*float64(hold))
}

// wait is how long until a slot falls free: what runs and waits there beyond the
// slots, at the pace at which slots fall free.
func (s *Stats) wait(now time.Time, hold time.Duration) time.Duration {
	slots := s.Slots
	ahead := s.open
	if now.Sub(s.loadAt) < reportAge {
		slots = s.load.Slots
		ahead = max(s.open, s.load.Running+s.load.Waiting+s.open-s.openThen)
		if s.load.Hold > 0 {
			hold = s.load.Hold
		}
	}
	if slots <= 0 || ahead < slots {
		return 0
	}
	return time.Duration(float64(ahead+1-slots) / float64(slots) * float64(hold))
}

// HasRoom reports whether the target is believed to have a free slot now.
func (s *Stats) HasFreeSlot(now time.Time) bool { return s.wait(now, time.Second) == 0 }

// Weights of the cost beside the chance of a late answer, as parts of the worth
// of an answer in time.
const (
	// lateWeight orders targets that would all be late by how late.
	lateWeight = 0.3
	// fullWeight keeps some room at each target: one that is nearly full is
	// slower, and a burst meets a queue there.
	fullWeight = 0.05
)

// Cost is what sending the request to the target costs, as a part of what an
// answer in time is worth: the chance that it is late or fails, the bytes that
// leave the failure domain, and how full the target is.
func (s *Stats) Cost(now time.Time, r *Request) float64 {
	way, wait, hold := s.expected(now, r)
	left := r.TimeLeft - way - wait
	cost := lateChance(left, hold)
	if left < hold {
		cost += lateWeight * float64(hold-left) / float64(max(r.TimeLeft, hold, time.Millisecond))
	}
	// Squared, since a small part of failures is mostly chance and costs less than as
	// many answers: another target may be asked, and the caller asks again. Weighed
	// in full, a target that lost a part of its answers got no work at all, and the
	// others more than they could do in time.
	failing := s.failing * math.Exp2(-now.Sub(s.failedAt).Seconds()/failHalfLife.Seconds())
	cost += failing * failing
	cost += r.outside(s.Distance)
	return cost + fullWeight*s.fullness(now)
}

func (s *Stats) fullness(now time.Time) float64 {
	slots, running := s.Slots, s.open
	if now.Sub(s.loadAt) < reportAge {
		slots, running = s.load.Slots, max(s.open, s.load.Running+s.open-s.openThen)
	}
	if slots <= 0 {
		return 0
	}
	return min(1, float64(running)/float64(slots))
}

// lateChance is the chance that work of a mean takes longer than what is left,
// by the logistic curve that is close to a log-normal one.
func lateChance(left, mean time.Duration) float64 {
	if left <= 0 {
		return 1
	}
	if mean <= 0 {
		return 0
	}
	sigmas := math.Log(float64(left)/float64(mean)) / spreadOfWork
	return 1 / (1 + math.Exp(logisticScale*sigmas))
}

// logisticScale makes the logistic curve closest to the normal one.
const logisticScale = 1.702
