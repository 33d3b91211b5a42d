package proxy

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
)

// A target that hangs, or whose answer was lost, would use up all the time of a
// request that another target could still answer. So a second one is asked after
// slowFactor times the usual work, where it is believed to have room and the fleet's
// budget grants another attempt. The first runs on meanwhile: given up for a target
// that then had no room, its work was wasted and the caller got no answer at all. Of
// requests whose work is log-normal with a spread of 0.5, 3 in 1,000 take four times
// the mean.
const slowFactor = 4

// attempt offers the request to a target, and to a second one if that is slow, and
// returns the first good answer. Where a target answered that it failed, and another
// may be asked, the answer comes with an error.
func (f *flight) attempt(ctx context.Context, now time.Time, member *mesh.Member) (*answer, error) {
	first := f.begin(ctx, now, member)
	if !f.mayAskSecond() {
		return f.settle(first.run())
	}
	ended := make(chan outcome, 2)
	go func() { ended <- first.run() }()
	timer := time.NewTimer(f.slowAfter(now, first.stats))
	defer timer.Stop()
	select {
	case o := <-ended:
		return f.settle(o)
	case <-first.answering:
		return f.settle(<-ended)
	case <-timer.C:
	}
	second := f.beginSecond(ctx)
	if second == nil {
		return f.settle(<-ended)
	}
	go func() { ended <- second.run() }()
	return f.settleEither(first, second, ended)
}

func (f *flight) mayAskSecond() bool {
	return f.route.Kind.Repeatable() && f.arrivals+1 < f.route.MaxAttempts && f.body.IsKept() && f.mayRepeat()
}

// slowAfter is the time after which an attempt takes far longer than usual.
func (f *flight) slowAfter(now time.Time, stats *placement.Stats) time.Duration {
	p := f.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := stats.ExpectedLatency(now, &placement.Request{Route: *p.workOf(f.route)}, slowFactor)
	return max(usual, f.route.TargetLatency)
}

// beginSecond begins an attempt beside one that is slow; nil where there is no room
// for it. A node that stops begins none.
func (f *flight) beginSecond(ctx context.Context) *attempt {
	p := f.proxy
	now := p.ports.Clock.Now()
	if p.stopping.Load() || f.offers >= maxOffers || f.full >= fullMost {
		return nil
	}
	next := f.choose(now)
	if next == nil || !p.hasRoom(now, next) || !f.grantRepeat(now, f.arrivals+1) {
		return nil
	}
	f.second = true
	return f.begin(ctx, now, next)
}

func (p *Proxy) hasRoom(now time.Time, member *mesh.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats[member.ID]
	return stats != nil && stats.HasFreeSlot(now)
}

var errSlow = errors.New("another target answered first")

// settleEither waits for the first good answer of two attempts. One that fails is
// counted, and the other one's end is that of both.
func (f *flight) settleEither(first, second *attempt, ended chan outcome) (*answer, error) {
	o := <-ended
	a, err := f.settle(o)
	if err != nil {
		f.failedOnce(a, err)
		return f.settle(<-ended)
	}
	other := first
	if o.attempt == first {
		other = second
	} else {
		f.proxy.noteFailure(first.stats, loadWord{}, errSlow)
	}
	other.cancel()
	go func() {
		if late := <-ended; late.answer != nil && late.answer.rest != nil {
			// It is read no further, which ends the connection.
			_ = late.answer.rest.Close()
		}
	}()
	return a, nil
}
