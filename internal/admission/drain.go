package admission

import "time"

// Times of leaving a draining target alone.
const (
	// drainAfter is how many calls in a row a target must shed, each while it
	// ran nothing else of ours, before it counts as draining.
	drainAfter = 2
	// drainPause is the pause before a first trial; it doubles with each trial
	// that is shed too, up to drainPauseMost.
	drainPause     = time.Second
	drainPauseMost = 30 * time.Second
)

// Drain decides whether a target that sheds still takes work. A target may leave
// by itself, long before the VM list names it, and its health may lie or lag: it
// would be offered every call and shed it, and each caller would pay for the
// detour. A shed while nothing of ours runs there can't be our own load, so two
// in a row are taken for a departure. A trial now and then finds out when the
// target is back, so that a wrong judgement costs a pause and no more.
//
// It is not safe for concurrent use.
type Breaker struct {
	sheds int
	pause time.Duration
	until time.Time
}

// Offer reports whether a call may go to the target now. If not, it says how
// long until the next trial. The call that is let through as a trial keeps
// others back until its result is known or the pause is over again.
func (d *Breaker) Allow(now time.Time) (wait time.Duration, ok bool) {
	if d.sheds < drainAfter {
		return 0, true
	}
	if now.Before(d.until) {
		return d.until.Sub(now), false
	}
	d.until = now.Add(d.pause)
	return 0, true
}

// Shed takes a call that the target shed; alone says that it ran no other call
// of ours.
func (d *Breaker) RecordShed(now time.Time, alone bool) {
	if !alone {
		return
	}
	d.sheds++
	if d.sheds < drainAfter {
		return
	}
	d.pause = min(max(2*d.pause, drainPause), drainPauseMost)
	d.until = now.Add(d.pause)
}

// Took takes a call that the target did not shed.
func (d *Breaker) RecordAccepted() { *d = Breaker{} }
