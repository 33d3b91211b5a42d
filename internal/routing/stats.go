package routing

import (
	"math"
	"time"
)

// Parameters of the cost of a target.
const (
	// latencyFloor is the minimum latency used for the cost; differences below it
	// are noise.
	latencyFloor = time.Millisecond
	// latencySmoothing is the weight of a new observation in the moving average.
	latencySmoothing = 0.2
	// latencyHalfLife is the time without an observation in which the average
	// latency decays by half, so that a target that was slow is tried again.
	latencyHalfLife = 5 * time.Second
	// reportWeight is the weight of a running request that the target reports and
	// that this node did not send. A load report lags and may be wrong, so it
	// weighs less than the requests that the node counts itself.
	reportWeight = 0.25
	// maxReportAge is the age from which a load report is ignored.
	maxReportAge = 2 * time.Second
	// minWeight is the weight of a newly started target.
	minWeight = 0.1
)

// Outlier ejection: after ejectAfter consecutive failures a target gets no requests
// for baseEjectionTime, which doubles with each further ejection up to
// maxEjectionTime.
const (
	ejectAfter       = 5
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
)

// backOffTime is the time without requests for a target that has reported that it
// accepts no new work. By the end of it, membership has received the new state.
const backOffTime = 2 * time.Second

// Stats holds a node's own observations of one target. It is not safe for
// concurrent use.
type Stats struct {
	// FirstSeen is the time at which the target was first seen. It is zero for
	// targets that existed when the node started, which are treated as warm.
	FirstSeen time.Time

	inFlight int
	// pending is the number of attempts without a response yet. pendingStartSum is
	// the sum of their start times, in seconds since pendingBase.
	pending         int
	pendingStartSum float64
	pendingBase     time.Time

	latency          time.Duration
	observedAt       time.Time
	reported         float64
	reportedAt       time.Time
	failures         int
	ejections        int
	unavailableUntil time.Time
}

// Begin records that an attempt is sent at now.
func (s *Stats) Begin(now time.Time) {
	s.inFlight++
	if s.pending == 0 {
		s.pendingBase = now
		s.pendingStartSum = 0
	}
	s.pending++
	s.pendingStartSum += now.Sub(s.pendingBase).Seconds()
}

// EndWait records that the attempt started at start no longer waits for a
// response, because its response has started or it has failed. The response body
// may still be in transit.
func (s *Stats) EndWait(start time.Time) {
	s.pending--
	s.pendingStartSum -= start.Sub(s.pendingBase).Seconds()
}

// End records that an attempt has ended, including its response body.
func (s *Stats) End() { s.inFlight-- }

// InFlight returns the number of attempts that have not ended.
func (s *Stats) InFlight() int { return s.inFlight }

// RecordResponse records a response that arrived after the latency.
func (s *Stats) RecordResponse(now time.Time, latency time.Duration) {
	s.failures = 0
	s.ejections = 0
	s.observeLatency(now, latency)
}

func (s *Stats) observeLatency(now time.Time, latency time.Duration) {
	if s.observedAt.IsZero() {
		s.latency = latency
	} else {
		s.latency += time.Duration(latencySmoothing * float64(latency-s.latency))
	}
	s.observedAt = now
}

// RecordFailure records a failed attempt and reports whether the target is due for
// ejection. The caller then calls Eject if MayEject allows it.
func (s *Stats) RecordFailure() bool {
	s.failures++
	return s.failures >= ejectAfter
}

// Eject excludes the target for the ejection time.
func (s *Stats) Eject(now time.Time) {
	duration := min(baseEjectionTime<<min(s.ejections, 10), maxEjectionTime)
	s.ejections++
	// A single failure after the ejection time ejects the target again.
	s.failures = ejectAfter - 1
	s.unavailableUntil = now.Add(duration)
}

// BackOff excludes a target that has reported that it accepts no new work.
func (s *Stats) BackOff(now time.Time) { s.unavailableUntil = now.Add(backOffTime) }

// Available reports whether the target is neither ejected nor backed off from.
func (s *Stats) Available(now time.Time) bool { return !now.Before(s.unavailableUntil) }

// RecordLoad records the number of running requests that the target reports.
func (s *Stats) RecordLoad(now time.Time, running int) {
	s.reported = float64(running)
	s.reportedAt = now
}

// Cost returns the cost of one more request at the target: the number of requests
// there, this one included and other nodes' requests weighted by reportWeight, times
// the expected latency, divided by the target's weight. slowStart is the time in which
// a cold target reaches full weight.
func (s *Stats) Cost(now time.Time, slowStart time.Duration) float64 {
	ahead := float64(s.inFlight) + 1 + reportWeight*s.otherLoad(now)
	return ahead * s.expectedLatency(now) / s.weight(now, slowStart)
}

func (s *Stats) otherLoad(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	if age >= maxReportAge {
		return 0
	}
	others := max(0, s.reported-float64(s.inFlight))
	return others * float64(maxReportAge-age) / float64(maxReportAge)
}

// expectedLatency returns the observed latency or, if that is longer, the average
// time for which the pending attempts have waited. A hanging target sends no
// responses, so its observed latency never rises. If only its attempts in flight
// counted, it would look cheaper than the others until it held many times as many,
// each of which would wait until its deadline.
func (s *Stats) expectedLatency(now time.Time) float64 {
	if s.pending == 0 {
		return s.decayedLatency(now)
	}
	waited := now.Sub(s.pendingBase).Seconds() - s.pendingStartSum/float64(s.pending)
	return max(s.decayedLatency(now), waited*float64(time.Second))
}

func (s *Stats) decayedLatency(now time.Time) float64 {
	latency := float64(s.latency)
	if idle := now.Sub(s.observedAt); idle > time.Second {
		latency *= math.Exp2(-float64(idle) / float64(latencyHalfLife))
	}
	return max(latency, float64(latencyFloor))
}

func (s *Stats) weight(now time.Time, slowStart time.Duration) float64 {
	if s.FirstSeen.IsZero() || slowStart <= 0 {
		return 1
	}
	age := float64(now.Sub(s.FirstSeen)) / float64(slowStart)
	return min(1, max(minWeight, age))
}

// MayEject reports whether one more of a service's targets may be ejected. At least
// half of the targets stay in use: when most targets fail at once, the cause is
// probably the node or the service and not a single target.
func MayEject(total, ejected int) bool { return (ejected+1)*2 <= total }
