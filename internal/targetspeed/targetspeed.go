// Package targetspeed forecasts how long work takes at a target, from what the target reports about
// itself. It is made for targets on VMs shared with other work, where the speed changes several
// times within the time of one request: from reports up to a few per request, one node knows how
// slow its target is now, and learns from the past how long that is likely to last. The package is
// pure: the caller passes the current time.
package targetspeed

import (
	"math"
	"time"
)

// Parameters of the mean of a target's factors.
const (
	// meanWindow is the time over which the long-term mean is formed: many times a
	// deviation, and short enough to follow a target that is moved to another VM.
	meanWindow = time.Minute
	// initialWindow is the time that the usual factor, 1, counts for at the first report.
	initialWindow = 3 * time.Second
	// maxInterval is the longest time for which one report counts in the mean. After a pause
	// without reports, the first one says nothing about the pause.
	maxInterval = time.Second
)

// Parameters of the persistence.
const (
	// DefaultPersistence is assumed until a target's own deviations have been observed.
	DefaultPersistence = 500 * time.Millisecond
	// MinPersistence and MaxPersistence bound the learned time constant. Below the lower
	// bound, a deviation has passed before a request can be sent; above the upper one, it is
	// a matter of the mean.
	MinPersistence = 50 * time.Millisecond
	MaxPersistence = 10 * time.Second
	// minLag and maxLag bound the time between two reports that are compared: reports closer
	// to each other differ by rounding and by their order alone, those further apart are no
	// longer related.
	minLag = 150 * time.Millisecond
	maxLag = 2 * time.Second
	// priorEvidence is the weight of DefaultPersistence, as a sum of squared deviations: that
	// of two deviations by half the usual time.
	priorEvidence = 0.5
)

// Bounds of a slowdown and of a factor. Reports beyond them are ignored.
const (
	MinSlowdown = 0.01
	MaxSlowdown = 100
)

// Speed is how long work takes at a target now. The zero value is a target that reports nothing.
type Speed struct {
	// Slowdown is the forecast as a multiple of the target's own long-term mean; 0 if the
	// target has reported nothing.
	Slowdown float64
	// Age is the time since the target's last report.
	Age time.Duration
	// Persistence is the time constant with which a deviation from the mean decays.
	Persistence time.Duration
}

// At returns the forecast for a later time, as a multiple of the target's mean: 1 if the target
// reports nothing.
func (s Speed) At(later time.Duration) float64 {
	if s.Slowdown <= 0 || s.Persistence <= 0 {
		return 1
	}
	return 1 + (s.Slowdown-1)*math.Exp(-max(0, later.Seconds())/s.Persistence.Seconds())
}

// AtMeanSpeed returns how long work that took the given time would have taken at the target's mean
// speed, given the slowdowns at its start and at its end. The speed in between is unknown.
func AtMeanSpeed(took time.Duration, atStart, atEnd float64) time.Duration {
	mean := (atStart + atEnd) / 2
	if mean == 1 {
		return took
	}
	return time.Duration(float64(took) / mean)
}

// Tracker holds the reports of one target. The zero value is a target that has reported nothing.
type Tracker struct {
	factor float64
	at     time.Time
	mean   float64
	// observed is the total time that the mean was formed over.
	observed time.Duration

	// anchor is an earlier report, at anchorAt, with which later ones are compared.
	anchor   float64
	anchorAt time.Time
	// product, square and lag are weighted sums over pairs of reports: of the product of
	// their deviations, of the square of the earlier deviation, and of the seconds between
	// them by that square.
	product, square, lag float64
}

// Record records that work took the given multiple of the usual time at a target. Reports that are
// older than the last one and those out of bounds are ignored.
func (t *Tracker) Record(at time.Time, factor float64) {
	if !(factor >= MinSlowdown && factor <= MaxSlowdown) || at.Before(t.at) {
		return
	}
	if t.at.IsZero() {
		*t = Tracker{factor: factor, at: at, mean: 1, anchor: factor, anchorAt: at}
		return
	}
	interval := min(at.Sub(t.at), maxInterval)
	t.observed += interval
	// The previous factor counts for the interval: the new one holds from now on.
	window := min(initialWindow+t.observed, meanWindow)
	t.mean += (t.factor - t.mean) * (1 - math.Exp(-interval.Seconds()/window.Seconds()))
	t.factor, t.at = factor, at
	t.compare()
}

// compare compares the last report with the anchor, and replaces the anchor.
func (t *Tracker) compare() {
	lag := t.at.Sub(t.anchorAt)
	if lag < minLag {
		return
	}
	if lag <= maxLag {
		earlier, later := t.anchor-t.mean, t.factor-t.mean
		keep := math.Exp(-lag.Seconds() / meanWindow.Seconds())
		t.product = keep*t.product + earlier*later
		t.square = keep*t.square + earlier*earlier
		t.lag = keep*t.lag + earlier*earlier*lag.Seconds()
	}
	t.anchor, t.anchorAt = t.factor, t.at
}

// persistence returns the time constant with which the correlation of the compared reports decays
// over the time between them.
func (t *Tracker) persistence() time.Duration {
	lag := DefaultPersistence.Seconds() / 2
	if t.square > 0 {
		lag = t.lag / t.square
	}
	usual := math.Exp(-lag / DefaultPersistence.Seconds())
	correlation := (t.product + priorEvidence*usual) / (t.square + priorEvidence)
	if correlation >= 1 {
		return MaxPersistence
	}
	if correlation <= 0 {
		return MinPersistence
	}
	seconds := -lag / math.Log(correlation)
	return time.Duration(min(max(seconds, MinPersistence.Seconds()), MaxPersistence.Seconds()) * float64(time.Second))
}

// Speed returns the forecast for now.
func (t *Tracker) Speed(now time.Time) Speed {
	if t.at.IsZero() {
		return Speed{}
	}
	speed := Speed{Slowdown: t.factor / t.mean, Age: max(0, now.Sub(t.at)), Persistence: t.persistence()}
	speed.Slowdown = min(max(speed.At(speed.Age), MinSlowdown), MaxSlowdown)
	return speed
}

// Mean returns the long-term mean of the reported factors, or 0 if nothing has been reported.
func (t *Tracker) Mean() float64 { return t.mean }
