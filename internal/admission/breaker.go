package admission

import "time"

// Parameters of Breaker.
const (
	// breakerThreshold is the number of consecutive sheds, each while the target ran no
	// other call of this node, that opens the breaker.
	breakerThreshold = 2
	// minBreakerPause is the pause before the first probe. It doubles with each probe
	// that is shed, up to maxBreakerPause.
	minBreakerPause = time.Second
	maxBreakerPause = 30 * time.Second
)

// Breaker is a circuit breaker for a target that sheds all calls. A target may start to
// drain on its own, long before the VM list marks it as leaving, and its health check
// may be wrong or late. Without the breaker it would be offered every call and shed
// each, and every caller would pay for the detour. A shed while no other call of this
// node runs at the target can't be caused by the node's own load, so two in a row are
// taken as draining. Occasional probes detect when the target is back, so a wrong
// decision costs no more than a pause.
//
// It is not safe for concurrent use.
type Breaker struct {
	sheds int
	pause time.Duration
	until time.Time
}

// Allow reports whether a call may be sent to the target now and, if not, the time until
// the next probe. A call let through as a probe blocks others until its result is known
// or another pause has passed.
func (b *Breaker) Allow(now time.Time) (wait time.Duration, ok bool) {
	if b.sheds < breakerThreshold {
		return 0, true
	}
	if now.Before(b.until) {
		return b.until.Sub(now), false
	}
	b.until = now.Add(b.pause)
	return 0, true
}

// RecordShed records a call that the target shed. alone means that the target ran no
// other call of this node.
func (b *Breaker) RecordShed(now time.Time, alone bool) {
	if !alone {
		return
	}
	b.sheds++
	if b.sheds < breakerThreshold {
		return
	}
	b.pause = min(max(2*b.pause, minBreakerPause), maxBreakerPause)
	b.until = now.Add(b.pause)
}

// RecordAccepted records a call that the target did not shed, and closes the breaker.
func (b *Breaker) RecordAccepted() { *b = Breaker{} }
