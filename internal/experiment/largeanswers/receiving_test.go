package largeanswers

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/link"
	"tamarackquay/internal/placement"
)

// receiver is an entry node with a link of 10 Mbit/s and a target on its own VM. Other
// targets have free links; their responses share the entry node's link.
type receiver struct {
	inbound *link.Inbound
	// counts is set if the entry node counts the downloads on their way to it.
	counts bool
	own    *placement.Stats
	others *placement.Stats
	// freeAt is when the link has carried all responses so far.
	freeAt time.Time
	ends   []func(now time.Time) bool

	ownChosen int
	result    DownloadResult
}

func (r *receiver) arrive(now time.Time, size float64, work time.Duration) {
	open := r.ends[:0]
	for _, end := range r.ends {
		if !end(now) {
			open = append(open, end)
		}
	}
	r.ends = open
	request := &placement.Request{
		Route:    placement.RouteStats{Hold: SixLinks.Work, ResponseBytes: SixLinks.Size},
		TimeLeft: SixLinks.TargetLatency, HalfBytes: placement.DefaultHalfBytes,
	}
	if r.counts {
		request.ReceiveTime = r.inbound.Time(SixLinks.Size)
	}
	for _, stats := range []*placement.Stats{r.own, r.others} {
		stats.RecordLoad(now, placement.Load{Slots: stats.Slots, Hold: SixLinks.Work})
	}
	if r.own.Cost(now, request) <= r.others.Cost(now, request) {
		r.ownChosen++
		r.own.Begin()
		r.ends = append(r.ends, func(at time.Time) bool {
			if at.Before(now.Add(work)) {
				return false
			}
			r.own.End()
			return true
		})
		r.result.InTime++
		return
	}
	if r.counts {
		if _, ok := r.inbound.Begin(SixLinks.Size, SixLinks.Timeout); !ok {
			r.result.Refused++
			return
		}
	}
	ready := now.Add(work)
	if r.freeAt.Before(ready) {
		r.freeAt = ready
	}
	r.freeAt = r.freeAt.Add(time.Duration(size / link.NewPacer(SixLinks.LinkRate).Rate() * float64(time.Second)))
	arrived := r.freeAt
	if r.counts {
		r.ends = append(r.ends, func(at time.Time) bool {
			if at.Before(arrived) {
				return false
			}
			r.inbound.End(SixLinks.Size)
			return true
		})
	}
	switch took := arrived.Sub(now); {
	case took <= SixLinks.TargetLatency:
		r.result.InTime++
	case took <= SixLinks.Timeout:
		r.result.Late++
	default:
		r.result.Lost++
	}
}

// Callers of a node request 24 downloads per second. Its link carries 13, and the target on its
// own VM can run as many, but is hardly better than others while the link is free. Guards against a node that goes
// on requesting downloads from other VMs while its own link is full.
func TestSaturatedReceivingLinkIsKnown(t *testing.T) {
	run := func(counts bool) *receiver {
		random := rand.New(rand.NewPCG(1, 4))
		logNormal := func(s float64) float64 { return math.Exp(s*random.NormFloat64() - s*s/2) }
		r := &receiver{
			inbound: link.NewInbound(SixLinks.LinkRate), counts: counts,
			own: &placement.Stats{Distance: placement.SameVM, Slots: 4}, others: &placement.Stats{Distance: placement.SameDomain, Slots: 200},
		}
		now := start
		for range 3000 {
			now = now.Add(time.Duration(random.ExpFloat64() / 24 * float64(time.Second)))
			r.arrive(now, SixLinks.Size*logNormal(sizeStdDev), time.Duration(float64(SixLinks.Work)*logNormal(logStdDev)))
		}
		return r
	}
	blind, counting := run(false), run(true)
	t.Logf("not counted: %+v, %d from the own VM; counted: %+v, %d from the own VM", blind.result, blind.ownChosen, counting.result, counting.ownChosen)
	assert.Assert(t, counting.ownChosen > blind.ownChosen)
	assert.Assert(t, counting.result.InTime > blind.result.InTime)
	assert.Assert(t, counting.result.Late+counting.result.Lost <= blind.result.Late+blind.result.Lost)
}
