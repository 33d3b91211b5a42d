package placement

import (
	"time"

	"tamarackquay/internal/targetspeed"
)

// slowdown is the last report of how long work takes at a target. The zero value has no effect.
type slowdown struct {
	speed targetspeed.Speed
	// at is when the node received the report, and reportedAt when the target made it.
	at, reportedAt time.Time
}

// record records the slowdown of a load report. A load report without one ends the effect of
// earlier ones: the target or its node has restarted. Responses may overtake each other, so that
// an older report of the target may be received after a newer one; it is ignored.
func (s *slowdown) record(now time.Time, load *Load) {
	if load.Slowdown <= 0 {
		*s = slowdown{}
		return
	}
	reportedAt := now.Add(-load.SlowdownAge)
	if reportedAt.Before(s.reportedAt) {
		return
	}
	persistence := load.SlowdownPersistence
	if persistence <= 0 {
		persistence = s.speed.Persistence
	}
	if persistence <= 0 {
		persistence = targetspeed.DefaultPersistence
	}
	s.speed = targetspeed.Speed{Slowdown: load.Slowdown, Age: load.SlowdownAge, Persistence: persistence}
	s.at, s.reportedAt = now, reportedAt
}

// factor returns how long work takes now as a multiple of the target's mean.
func (s *slowdown) factor(now time.Time) float64 {
	if s.speed.Slowdown <= 0 {
		return 1
	}
	age := now.Sub(s.at)
	if age >= maxReportAge {
		return 1
	}
	return s.speed.At(age)
}

// scale multiplies a time by a factor.
func scale(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}
