package routing

import (
	"math"
	"time"
)

// Weights and times of the cost of a target.
const (
	// latencyFloor is what faster targets are taken for; differences below it
	// are noise.
	latencyFloor = time.Millisecond
	// latencyGain is the weight of one new observation.
	latencyGain = 0.2
	// latencyHalfLife is the time without an observation in which the
	// remembered latency halves, so that a target that was slow is tried again.
	latencyHalfLife = 5 * time.Second
	// reportWeight is what a running request counts that the target reports
	// and this node did not send. A report lags and may lie, so it weighs less
	// than what the node counts itself.
	reportWeight = 0.25
	// reportAge is when a report counts nothing any more.
	reportAge = 2 * time.Second
	// minWeight is the weight of a target that has just started.
	minWeight = 0.1
)

// Ejection: after so many failures in a row a target is left alone for a time
// that doubles with each further ejection.
const (
	ejectAfter   = 5
	ejectFor     = time.Second
	ejectForMost = 30 * time.Second
)

// avoidFor is how long a target is left alone that said it takes no new work;
// by then membership has the news.
const avoidFor = 2 * time.Second

// Stats is what a node itself saw of one target. It is not safe for concurrent
// use.
type Stats struct {
	// Since is when the target was first seen; zero for targets that were there
	// when the node started, which are taken for warm.
	FirstSeen time.Time

	open int
	// silent counts the attempts that no answer has come to, and silentSince
	// adds up when they began, in seconds since base.
	silent      int
	silentSince float64
	base        time.Time

	latency    time.Duration
	observed   time.Time
	reported   float64
	reportedAt time.Time
	failures   int
	ejections  int
	outUntil   time.Time
}

// Begin counts an attempt that is sent at now.
func (s *Stats) Begin(now time.Time) {
	s.open++
	if s.silent == 0 {
		s.base = now
		s.silentSince = 0
	}
	s.silent++
	s.silentSince += now.Sub(s.base).Seconds()
}

// Heard takes the attempt that began at start as answered or failed; its body
// may still be on the way.
func (s *Stats) EndWait(start time.Time) {
	s.silent--
	s.silentSince -= start.Sub(s.base).Seconds()
}

// End counts an attempt that is over, its body included.
func (s *Stats) End() { s.open-- }

// Open is the number of attempts that run.
func (s *Stats) InFlight() int { return s.open }

// Answered takes an answer that came after the latency.
func (s *Stats) RecordResponse(now time.Time, latency time.Duration) {
	s.failures = 0
	s.ejections = 0
	s.observe(now, latency)
}

func (s *Stats) observe(now time.Time, latency time.Duration) {
	if s.observed.IsZero() {
		s.latency = latency
	} else {
		s.latency += time.Duration(latencyGain * float64(latency-s.latency))
	}
	s.observed = now
}

// Failed takes an attempt that failed. It reports whether the target is due
// for ejection; Eject then puts it out, if the cap allows.
func (s *Stats) RecordFailure() bool {
	s.failures++
	return s.failures >= ejectAfter
}

// Eject leaves the target alone for a while.
func (s *Stats) Eject(now time.Time) {
	away := min(ejectFor<<min(s.ejections, 10), ejectForMost)
	s.ejections++
	// One more failure after the return ejects it again.
	s.failures = ejectAfter - 1
	s.outUntil = now.Add(away)
}

// Avoid leaves a target alone that said it takes no new work.
func (s *Stats) BackOff(now time.Time) { s.outUntil = now.Add(avoidFor) }

// Available reports whether the target is neither ejected nor avoided.
func (s *Stats) Available(now time.Time) bool { return !now.Before(s.outUntil) }

// Reported takes the load that the target told: requests that it runs.
func (s *Stats) RecordLoad(now time.Time, running int) {
	s.reported = float64(running)
	s.reportedAt = now
}

// Cost is what one more request costs at the target: the requests ahead of it
// times the time that each takes. slowStart is how long a cold target takes to
// reach full weight.
func (s *Stats) Cost(now time.Time, slowStart time.Duration) float64 {
	ahead := float64(s.open) + 1 + reportWeight*s.reportedLoad(now)
	return ahead * s.expected(now) / s.weight(now, slowStart)
}

func (s *Stats) reportedLoad(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	if age >= reportAge {
		return 0
	}
	others := max(0, s.reported-float64(s.open))
	return others * float64(reportAge-age) / float64(reportAge)
}

// expected is how long an answer is expected to take: what was observed or, if
// that is longer, how long the unanswered attempts have waited on average. A
// target that hangs answers nothing, so its observed latency never rises; by
// its open attempts alone it would look cheaper than the others until it held
// many times as many, each of which waits until its deadline.
func (s *Stats) expected(now time.Time) float64 {
	if s.silent == 0 {
		return s.agedLatency(now)
	}
	waited := now.Sub(s.base).Seconds() - s.silentSince/float64(s.silent)
	return max(s.agedLatency(now), waited*float64(time.Second))
}

func (s *Stats) agedLatency(now time.Time) float64 {
	latency := float64(s.latency)
	if silence := now.Sub(s.observed); silence > time.Second {
		latency *= math.Exp2(-float64(silence) / float64(latencyHalfLife))
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

// MayEject reports whether one more of a service's targets may be put out when
// so many already are. At least half stay: failures of most targets at once say
// more about the node or the service than about any one target.
func MayEject(total, out int) bool { return (out+1)*2 <= total }
