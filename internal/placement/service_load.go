package placement

import (
	"math"
	"time"

	"tamarackquay/internal/link"
)

// ServiceLoad is the mean load of a service's targets by their latest reports. It stands for the
// load of a target without a recent report. A node that sends a service a few requests per second
// has recent reports of few targets. If the others counted as idle, a node would send its requests
// from one full target to the next during an overload. The zero value is no load.
type ServiceLoad struct {
	// mean is the moving average of the requests running and waiting per slot.
	mean float64
	at   time.Time
	// linkWait is the moving average of how long large responses wait for the targets' links.
	linkWait time.Duration
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
	// linkBoundWait is the mean wait for the targets' links from which a service counts as
	// bound by them. A link that carries one response of 100 kB at a time at 10 Mbit/s has
	// a mean wait below it.
	linkBoundWait = 100 * time.Millisecond
)

func (l *ServiceLoad) record(now time.Time, load Load) {
	if l == nil || load.Slots <= 0 {
		return
	}
	l.reportsSlowdown = l.reportsSlowdown || load.Slowdown > 0
	l.mean = l.perSlot(now)
	l.mean += serviceLoadWeight * (float64(load.Running+load.Waiting)/float64(load.Slots) - l.mean)
	l.linkWait = l.meanLinkWait(now)
	l.linkWait += time.Duration(serviceLoadWeight * float64(load.LinkWait-l.linkWait))
	l.at = now
}

// perSlot returns the mean number of requests running and waiting per slot.
func (l *ServiceLoad) perSlot(now time.Time) float64 {
	if l == nil || l.at.IsZero() {
		return 0
	}
	return l.mean * l.decay(now)
}

// decay returns the part of the means that is left since the last report.
func (l *ServiceLoad) decay(now time.Time) float64 {
	return math.Exp2(-now.Sub(l.at).Seconds() / serviceLoadHalfLife.Seconds())
}

func (l *ServiceLoad) meanLinkWait(now time.Time) time.Duration {
	if l == nil || l.at.IsZero() {
		return 0
	}
	return time.Duration(float64(l.linkWait) * l.decay(now))
}

// KeepsInRegion reports whether responses of the given size, in bytes, should stay in the region
// of the entry node while it has a usable target. It holds for large responses of services
// whose targets' links are the bottleneck: such a response would wait for a link in any region,
// so that another region gains its caller nothing and only adds to the traffic between regions.
func (l *ServiceLoad) KeepsInRegion(now time.Time, responseBytes float64) bool {
	return responseBytes >= link.LargeSize && l.meanLinkWait(now) >= linkBoundWait
}
