// Package placement decides to which target of a service an entry node sends a request.
// Targets of a service differ in speed and distance, and some are full, cold or failing.
// Near targets are preferred as long as the response is likely to arrive in time;
// farther ones are chosen if the gain is worth the bytes sent across failure domains.
// The package is pure: the caller passes time and random numbers.
package placement

import (
	"math"
	"time"

	"tamarackquay/internal/link"
)

// Distance is the network distance between a target and the entry node.
type Distance uint8

// Distances, nearest first.
const (
	SameVM Distance = iota
	SameDomain
	SameRegion
	OtherRegion
	// NumDistances is the number of distances.
	NumDistances
)

// DefaultHalfBytes is the default of Request.HalfBytes.
const DefaultHalfBytes = 20e3

// byteCost returns the cost of the bytes of a request that leave the failure domain, as
// a fraction of the value of a response in time. Links between domains are shared and billed
// by volume, at prices unknown to the node, so all distances outside the domain cost the
// same and a farther target is chosen only for the caller's benefit. The cost stays
// below one: a target that is failing or certainly late is never preferred, however
// large the response.
func (r *Request) byteCost(distance Distance) float64 {
	if distance <= SameDomain || r.HalfBytes <= 0 {
		return 0
	}
	bytes := r.Route.ResponseBytes + r.RequestBytes + RoundTripHeaderBytes
	return bytes / (bytes + r.HalfBytes)
}

// MinCost returns a lower bound of the cost of all targets at a distance. If a nearer
// target costs no more than that, the targets at the distance need not be evaluated.
func (r *Request) MinCost(distance Distance) float64 { return r.byteCost(distance) }

// HeaderBytes is the approximate size of the headers of a message between nodes,
// RoundTripHeaderBytes that of the headers of a request and its response.
const (
	HeaderBytes          = 600
	RoundTripHeaderBytes = 2 * HeaderBytes
)

// defaultRTT is the round-trip time assumed until one has been measured.
var defaultRTT = [NumDistances]time.Duration{0, 500 * time.Microsecond, 2 * time.Millisecond, 40 * time.Millisecond}

// Parameters of the observations.
const (
	// holdFactorWeight is the weight of a new sample of a target's speed.
	holdFactorWeight = 0.1
	// minHoldFactor and maxHoldFactor bound how much faster or slower than the mean of
	// its service a target is assumed to be.
	minHoldFactor, maxHoldFactor = 0.2, 20
	// routeWeight is the weight of a new sample of a route's hold time and response
	// size.
	routeWeight = 0.05
	// rttWeight is the weight of a new sample of the round-trip time.
	rttWeight = 0.2
	// maxReportAge is how long a target's load report is used.
	maxReportAge = 2 * time.Second
	// coldHoldFactor is the hold factor assumed for a target that has just started,
	// until its own responses have been measured.
	coldHoldFactor = 2
	// failureWeight is the weight of one outcome in the failure rate. failureHalfLife is
	// the time in which the failure rate halves without new outcomes.
	failureWeight   = 0.15
	failureHalfLife = 3 * time.Second
	// holdSpread is the standard deviation of the logarithm of the time that requests of
	// one route take: two in three take 0.6 to 1.65 times the median.
	holdSpread = 0.5
)

// Pauses of the backoff from a target.
const (
	// minBackoff is the pause after the first refusal to accept any work. It doubles
	// with each further refusal, up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// maxRestartBackoff is the longest pause for a target whose node is stopping, not
	// ready or unreachable.
	maxRestartBackoff = 500 * time.Millisecond
)

// Load is the load report of a target, as counted by its node.
type Load struct {
	Running, Waiting, Slots int
	// Hold is the mean time for which a request holds a slot.
	Hold time.Duration
	// FailureRate is the fraction of its responses that were failures, 0 to 1.
	FailureRate float64
	// LinkWait is how long a large response waits for the VM's link, and LinkRate the
	// bytes per second that it then gets; 0 for links that need no pacing.
	LinkWait time.Duration
	LinkRate float64
	// Slowdown is how long work takes at the target now, as a multiple of the target's own
	// mean; 0 if the target doesn't report it. A deviation from 1 decays with the time
	// constant SlowdownPersistence; if that is 0, with the last known one.
	Slowdown            float64
	SlowdownPersistence time.Duration
	// SlowdownAge is the time since the target reported it. The decay over that time is
	// part of Slowdown; the age orders reports.
	SlowdownAge time.Duration
}

// Stats holds the measurements that an entry node has of one target. It is not safe for
// concurrent use.
type Stats struct {
	Distance Distance
	// Slots is the number of slots according to the platform. Load reports take
	// precedence.
	Slots int
	// WarmAt is the time at which a target that has just started reaches its full speed.
	WarmAt time.Time
	// Service is shared by all targets of the service; it may be nil.
	Service *ServiceLoad

	openAttempts   int
	openAtReport   int
	load           Load
	loadReportedAt time.Time
	slowdown       slowdown
	rtt            time.Duration
	holdFactor     float64
	failureRate    float64
	failureRateAt  time.Time
	backoffUntil   time.Time
	pause          time.Duration
}

// Begin counts an attempt that was sent.
func (s *Stats) Begin() { s.openAttempts++ }

// End counts an attempt that has ended.
func (s *Stats) End() { s.openAttempts-- }

// RecordLoad records a load report of the target.
func (s *Stats) RecordLoad(now time.Time, load Load) {
	s.load = load
	s.loadReportedAt = now
	s.openAtReport = s.openAttempts
	s.slowdown.record(now, &load)
	s.Service.record(now, load)
	s.decayFailureRate(now)
	s.failureRate = max(s.failureRate, load.FailureRate)
}

// LastLoad returns the last load report of the target and its age.
func (s *Stats) LastLoad(now time.Time) (Load, time.Duration) {
	if s.loadReportedAt.IsZero() {
		return Load{}, 0
	}
	return s.load, now.Sub(s.loadReportedAt)
}

// RecordResponse records a response: for how long the target held the request, relative
// to the mean of its route, and the round-trip time. Of a target that reports its Slowdown, the
// relative time is that at its mean speed: the slowdown of the moment is not part of it.
func (s *Stats) RecordResponse(now time.Time, relative float64, rtt time.Duration) {
	if s.holdFactor == 0 {
		s.holdFactor = 1
	}
	s.holdFactor += holdFactorWeight * (min(max(relative, minHoldFactor), maxHoldFactor) - s.holdFactor)
	if s.rtt == 0 {
		s.rtt = rtt
	}
	s.rtt += time.Duration(rttWeight * float64(rtt-s.rtt))
	s.recordOutcome(now, 0)
	s.pause = 0
}

// RecordFailure records an attempt that ended with a failure or without a response.
func (s *Stats) RecordFailure(now time.Time) { s.recordOutcome(now, 1) }

func (s *Stats) recordOutcome(now time.Time, failed float64) {
	s.decayFailureRate(now)
	s.failureRate += failureWeight * (failed - s.failureRate)
}

func (s *Stats) decayFailureRate(now time.Time) {
	if !s.failureRateAt.IsZero() {
		s.failureRate *= math.Exp2(-now.Sub(s.failureRateAt).Seconds() / failureHalfLife.Seconds())
	}
	s.failureRateAt = now
}

// BackOff pauses requests to a target that accepts no work. Consecutive pauses double,
// up to maxBackoff; a call during a pause has no effect.
func (s *Stats) BackOff(now time.Time) { s.backOff(now, maxBackoff) }

// BackOffRestart is BackOff for a target whose node restarts. A restart takes a second
// or two; a longer pause would leave the target idle after it.
func (s *Stats) BackOffRestart(now time.Time) { s.backOff(now, maxRestartBackoff) }

func (s *Stats) backOff(now time.Time, longest time.Duration) {
	if now.Before(s.backoffUntil) {
		return
	}
	s.pause = min(max(2*s.pause, minBackoff), longest)
	s.backoffUntil = now.Add(s.pause)
}

// Available reports whether no backoff from the target is in progress.
func (s *Stats) Available(now time.Time) bool { return !now.Before(s.backoffUntil) }

// RouteStats holds the moving averages, over all targets, of how long the requests of a
// route hold a slot and of the size of their responses.
type RouteStats struct {
	// Hold is for how long a request holds a slot; zero until one has been measured.
	Hold          time.Duration
	ResponseBytes float64
}

// Observe records a response of a target with the given hold factor, and returns its
// hold time as a multiple of the mean.
func (r *RouteStats) Observe(hold time.Duration, factor float64, bytes int) float64 {
	r.ResponseBytes += routeWeight * (float64(bytes) - r.ResponseBytes)
	if r.Hold <= 0 {
		r.Hold = hold
	}
	relative := float64(hold) / float64(max(r.Hold, time.Microsecond))
	r.Hold += time.Duration(routeWeight * (float64(hold)/max(factor, minHoldFactor) - float64(r.Hold)))
	return relative
}

// HoldFactor returns the target's hold time relative to the mean of all targets.
func (s *Stats) HoldFactor() float64 {
	if s.holdFactor == 0 {
		return 1
	}
	return s.holdFactor
}

// Hold returns for how long the target holds a request with the given mean hold time, if the
// request starts now.
func (s *Stats) Hold(now time.Time, usual time.Duration) time.Duration {
	return scale(s.meanHold(now, usual), s.slowdown.factor(now))
}

// meanHold returns for how long the target holds a request at its own mean speed.
func (s *Stats) meanHold(now time.Time, usual time.Duration) time.Duration {
	factor := s.HoldFactor()
	if s.holdFactor == 0 && now.Before(s.WarmAt) {
		factor = coldHoldFactor
	}
	return time.Duration(float64(usual) * factor)
}

// Request holds the properties of a request that the choice of a target depends on.
type Request struct {
	Route RouteStats
	// TimeLeft is the time within which the response is still useful.
	TimeLeft time.Duration
	// LateWait is the maximum wait for a slot of a request whose response can't be in time, and
	// Late is true if that is already so.
	LateWait time.Duration
	Late     bool
	// RequestBytes is the size of the request itself.
	RequestBytes float64
	// ReceiveTime is how long the response takes over the link of the entry node's own VM,
	// together with all others on their way there; 0 if it isn't large.
	ReceiveTime time.Duration
	// HalfBytes is the size at which leaving the failure domain costs half as much as a
	// late response; 0 if bytes don't matter.
	HalfBytes float64
}

// expectedTimes returns the components of the time until a response: network, queue and
// hold time.
func (s *Stats) expectedTimes(now time.Time, r *Request) (network, wait, hold time.Duration) {
	network = s.rtt
	if network == 0 {
		network = defaultRTT[s.Distance]
	}
	slowdown := s.slowdown.factor(now)
	hold = s.meanHold(now, r.Route.Hold)
	wait = scale(s.expectedWait(now, hold), slowdown)
	return network + s.transferTime(now, r), wait, scale(hold, slowdown)
}

// transferTime returns how long a large response takes over the links of the target's VM and
// of the entry node's VM, which it crosses at the same time. Responses to callers on the same
// VM cross neither.
func (s *Stats) transferTime(now time.Time, r *Request) time.Duration {
	if s.Distance == SameVM {
		return 0
	}
	return max(r.ReceiveTime, s.sendTime(now, r.Route.ResponseBytes))
}

// sendTime returns how long a large response takes over the link of the target's VM.
func (s *Stats) sendTime(now time.Time, bytes float64) time.Duration {
	if bytes < link.LargeSize || s.load.LinkRate <= 0 {
		return 0
	}
	took := time.Duration(bytes / s.load.LinkRate * float64(time.Second))
	return took + max(0, s.load.LinkWait-now.Sub(s.loadReportedAt))
}

// ExpectedLatency returns the expected time until the response to a request that takes
// the given multiple of its route's mean hold time.
func (s *Stats) ExpectedLatency(now time.Time, r *Request, multiple float64) time.Duration {
	network, wait, hold := s.expectedTimes(now, r)
	return network + wait + time.Duration(multiple*float64(hold))
}

// expectedWait returns the time until a slot becomes free at the target's mean speed: the number of
// requests running and waiting at the target beyond its slots, divided by the rate at which slots
// become free. hold is the mean time for which the target holds a request.
func (s *Stats) expectedWait(now time.Time, hold time.Duration) time.Duration {
	slots := s.Slots
	ahead := s.openAttempts
	if now.Sub(s.loadReportedAt) < maxReportAge {
		slots = s.load.Slots
		ahead = max(s.openAttempts, s.load.Running+s.load.Waiting+s.openAttempts-s.openAtReport)
		if s.load.Hold > 0 {
			hold = s.load.Hold
		}
	}
	if now.Sub(s.loadReportedAt) >= maxReportAge {
		ahead += int(s.Service.perSlot(now) * float64(slots))
	}
	if slots <= 0 || ahead < slots {
		return 0
	}
	return time.Duration(float64(ahead+1-slots) / float64(slots) * float64(hold))
}

// HasFreeSlot reports whether the target is expected to have a free slot now.
func (s *Stats) HasFreeSlot(now time.Time) bool { return s.expectedWait(now, time.Second) == 0 }

// Weights of the cost components other than the probability of a late response, as parts
// of the value of a response in time.
const (
	// lateWeight orders targets that would all be late by how late they would be.
	lateWeight = 0.3
	// utilizationWeight keeps some slots free at each target: a nearly full target is
	// slower, and bursts would be queued there.
	utilizationWeight = 0.05
)

// Cost returns the cost of sending the request to the target, as a fraction of the value
// of a response in time: the probabilities that the response is late or a failure and that the
// request is refused, the bytes that leave the failure domain, and the utilization of the target.
func (s *Stats) Cost(now time.Time, r *Request) float64 {
	network, wait, hold := s.expectedTimes(now, r)
	timeLeft := r.TimeLeft - network - wait
	cost := lateProbability(timeLeft, hold)
	if timeLeft < hold {
		cost += lateWeight * float64(hold-timeLeft) / float64(max(r.TimeLeft, hold, time.Millisecond))
	}
	cost += s.refusalProbability(r, wait, hold)
	// Squared, since a low failure rate is mostly chance, and a failure costs less than
	// the value of a response: another target may be tried, and the caller may retry.
	// With the plain rate, a target that lost a part of its responses got no work at
	// all, and the other targets got more than they could handle in time.
	failureRate := s.currentFailureRate(now)
	cost += failureRate * failureRate
	cost += r.byteCost(s.Distance)
	return cost + utilizationWeight*s.utilization(now)
}

func (s *Stats) currentFailureRate(now time.Time) float64 {
	return s.failureRate * math.Exp2(-now.Sub(s.failureRateAt).Seconds()/failureHalfLife.Seconds())
}

// Failing reports whether most requests at the target fail.
func (s *Stats) Failing(now time.Time) bool { return s.currentFailureRate(now) > failingRate }

// failingRate is the failure rate above which a target counts as failing.
const failingRate = 0.5

func (s *Stats) utilization(now time.Time) float64 {
	slots, running := s.Slots, s.openAttempts
	if now.Sub(s.loadReportedAt) < maxReportAge {
		slots, running = s.load.Slots, max(s.openAttempts, s.load.Running+s.openAttempts-s.openAtReport)
	}
	if slots <= 0 {
		return 0
	}
	return min(1, float64(running)/float64(slots))
}

// lateProbability returns the probability that work with the given mean takes longer
// than timeLeft. It uses the logistic curve closest to the log-normal distribution.
func lateProbability(timeLeft, mean time.Duration) float64 {
	if timeLeft <= 0 {
		return 1
	}
	if mean <= 0 {
		return 0
	}
	sigmas := math.Log(float64(timeLeft)/float64(mean)) / holdSpread
	return 1 / (1 + math.Exp(logisticScale*sigmas))
}

// logisticScale is the scale at which the logistic curve is closest to the normal one.
const logisticScale = 1.702
