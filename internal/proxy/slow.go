package proxy

import (
	"context"
	"sync"
	"time"

	"tamarackquay/internal/placement"
)

// A target that hangs, or whose answer was lost, would use up all the time of a
// request that another target could still answer. So an attempt is given up
// after slowFactor times the usual work, but only if another target has room for
// it and the fleet's budget grants another attempt: work that was begun is wasted
// otherwise, and the caller left without an answer. Of requests whose work is
// log-normal with a spread of 0.5, 3 in 1,000 take four times the mean.
const slowFactor = 4

// giveUpWhenSlow cancels an attempt that takes far longer than usual. The
// returned function must be called when the attempt is over. A node that stops
// gives up nothing that a target works on.
func (f *flight) giveUpWhenSlow(now time.Time, stats *placement.Stats, cancel context.CancelFunc) (over func()) {
	if !f.route.Kind.Repeatable() || f.arrivals+1 >= f.route.MaxAttempts || !f.body.IsKept() {
		return func() {}
	}
	p := f.proxy
	p.mu.Lock()
	usual := stats.Expected(now, &placement.Request{Work: *p.workOf(f.route)}, slowFactor)
	p.mu.Unlock()
	attempt := &slowAttempt{}
	timer := time.AfterFunc(max(usual, f.route.TargetLatency), func() {
		attempt.mu.Lock()
		defer attempt.mu.Unlock()
		now := p.ports.Clock.Now()
		if attempt.over || p.stopping.Load() || f.offers >= maxOffers || f.full >= fullMost || !f.hasRoomElsewhere(now) {
			return
		}
		if f.grantRepeat(now, f.arrivals+1) {
			f.granted = true
			cancel()
		}
	})
	return func() {
		timer.Stop()
		attempt.mu.Lock()
		defer attempt.mu.Unlock()
		attempt.over = true
	}
}

// hasRoomElsewhere reports whether the target that would be asked next is believed
// to have a free slot.
func (f *flight) hasRoomElsewhere(now time.Time) bool {
	next := f.choose(now)
	if next == nil {
		return false
	}
	p := f.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats[next.ID]
	return stats != nil && stats.HasRoom(now)
}

// slowAttempt keeps the timer of an attempt from touching the flight after the
// attempt is over: until then nothing else does.
type slowAttempt struct {
	mu   sync.Mutex
	over bool
}
