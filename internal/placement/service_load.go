package placement

import (
	"math"
	"time"
)

// ServiceLoad is the mean load of a service's targets by their latest reports. It stands for the
// load of a target without a recent report. A node that sends a service a few requests per second
// has recent reports of few targets. If the others counted as idle, a node would send its requests
// from one full target to the next during an overload. The zero value is no load.
type ServiceLoad struct {
	// mean is the moving average of the requests running and waiting per slot.
	mean float64
	at   time.Time
	// reportsSlowdown is set once a target of the service has reported its Slowdown.
	reportsSlowdown bool
}

// ReportsSlowdown reports whether targets of the service report how long work takes at the
// moment.
func (l *ServiceLoad) ReportsSlowdown() bool { return l != nil && l.reportsSlowdown }

const (
	// serviceLoadWeight is the weight of one report in the mean.
	serviceLoadWeight = 0.1
	// serviceLoadHalfLife is the time in which the mean halves without reports, so that
	// targets are tried again.
	serviceLoadHalfLife = time.Second
)

func (l *ServiceLoad) record(now time.Time, load Load) {
	if l == nil || load.Slots <= 0 {
		return
	}
	l.reportsSlowdown = l.reportsSlowdown || load.Slowdown > 0
	l.mean = l.perSlot(now)
	l.mean += serviceLoadWeight * (float64(load.Running+load.Waiting)/float64(load.Slots) - l.mean)
	l.at = now
}

// perSlot returns the mean number of requests running and waiting per slot.
func (l *ServiceLoad) perSlot(now time.Time) float64 {
	if l == nil || l.at.IsZero() {
		return 0
	}
	return l.mean * math.Exp2(-now.Sub(l.at).Seconds()/serviceLoadHalfLife.Seconds())
}
