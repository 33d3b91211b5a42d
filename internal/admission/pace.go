package admission

import (
	"time"

	"tamarackquay/internal/targetspeed"
)

// pace is how long work takes at the target at the moment. Hold times are measured at the target's
// mean speed, and estimates scaled by the slowdown of the moment. The zero value has no effect.
type pace struct {
	speed targetspeed.Speed
	// at is the time for which speed was forecast.
	at time.Time
}

// slowdown returns how long work takes now, as a multiple of the target's mean.
func (p *pace) slowdown(now time.Time) float64 {
	if p.speed.Slowdown <= 0 {
		return 1
	}
	return p.speed.At(now.Sub(p.at))
}

// atMeanSpeed returns how long a request that ends now would have held its slot at the target's
// mean speed, given the slowdown at its start.
func (p *pace) atMeanSpeed(now time.Time, held time.Duration, atStart float64) time.Duration {
	return targetspeed.AtMeanSpeed(held, atStart, p.slowdown(now))
}

// SetSpeed sets the speed of the target, as forecast for now. The zero value ends the effect of
// earlier ones.
func (q *Queue) SetSpeed(now time.Time, speed targetspeed.Speed) {
	q.pace = pace{speed: speed, at: now}
}
