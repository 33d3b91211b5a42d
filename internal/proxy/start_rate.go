package proxy

import (
	"math"
	"time"

	"tamarackquay/internal/admission"
)

// updateStartRate applies the lowest of the start rates at the local target: the one that it
// tolerates while it warms up, and the one that it reports. It must be called with the mutex
// held.
func (p *Proxy) updateStartRate() {
	rate := p.warmup.rate
	if reported := p.localReports.tracker.Current(); reported.Limited {
		perSecond, burst := reported.Pace()
		rate = lowerRate(rate, admission.StartRate{PerSecond: perSecond, Burst: burst})
	}
	if rate != p.startRate {
		p.startRate = rate
		p.gate.SetStartRate(rate)
	}
}

// lowerRate returns the rate that starts fewer requests. A zero rate doesn't limit them.
func lowerRate(a, b admission.StartRate) admission.StartRate {
	switch {
	case a.PerSecond <= 0:
		return b
	case b.PerSecond <= 0:
		return a
	}
	return admission.StartRate{PerSecond: min(a.PerSecond, b.PerSecond), Burst: min(a.Burst, b.Burst)}
}

// usableSlots returns the number of slots that can be in use at a start rate, given the mean
// hold time.
func usableSlots(rate admission.StartRate, slots int, meanHold time.Duration) int {
	if rate.PerSecond <= 0 || meanHold <= 0 {
		return slots
	}
	return min(slots, max(1, int(math.Ceil(rate.PerSecond*meanHold.Seconds()))))
}
