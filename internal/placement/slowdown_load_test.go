package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/targetspeed"
)

// Parameters of the simulated service: VMs are shared with other work and are slow for a share of
// the time.
const (
	simTargets, simSlots, simEntries = 12, 6, 2
	simDuration                      = 30 * time.Second
	simWork                          = 200 * time.Millisecond
	simTargetLatency                 = 500 * time.Millisecond
	simSlow, simSlowShare            = 2.5, 0.15
	simMeanSlow                      = 600 * time.Millisecond
	// simUtilization is the demand as a part of what all targets serve.
	simUtilization = 0.8
)

type simRequest struct {
	stats         *Stats
	route         *RouteStats
	sent, started time.Time
	left          float64
	slowdown      float64
}

// simTarget is a target with its owner node: one queue, and reports with each response.
type simTarget struct {
	slow             bool
	running, waiting []*simRequest
	speed            targetspeed.Tracker
	hold             time.Duration
}

func (t *simTarget) factor() float64 {
	if t.slow {
		return simSlow
	}
	return 1
}

// step lets the target work for a millisecond, and returns the requests that have ended.
func (t *simTarget) step(now time.Time, random *rand.Rand) (ended []*simRequest) {
	leave := float64(time.Millisecond) / float64(simMeanSlow)
	if !t.slow {
		leave *= simSlowShare / (1 - simSlowShare)
	}
	if random.Float64() < leave {
		t.slow = !t.slow
	}
	for len(t.running) < simSlots && len(t.waiting) > 0 {
		r := t.waiting[0]
		t.waiting = t.waiting[1:]
		r.started, r.slowdown = now, t.speed.Speed(now).At(0)
		t.running = append(t.running, r)
	}
	kept := t.running[:0]
	for _, r := range t.running {
		if r.left -= float64(time.Millisecond) / t.factor(); r.left > 0 {
			kept = append(kept, r)
		} else {
			ended = append(ended, r)
		}
	}
	t.running = kept
	return ended
}

// report records the end of a request at the owner node, and the report at the entry node.
func (t *simTarget) report(now time.Time, r *simRequest, reported bool) {
	held := now.Sub(r.started)
	if reported {
		t.speed.Record(now, t.factor())
		held = targetspeed.AtMeanSpeed(held, r.slowdown, t.speed.Speed(now).At(0))
	}
	t.hold += (held - t.hold) / 10
	speed := t.speed.Speed(now)
	r.stats.End()
	r.stats.RecordResponse(now, r.route.Observe(held, r.stats.HoldFactor(), 0), time.Millisecond)
	r.stats.RecordLoad(now, Load{
		Running: len(t.running), Waiting: len(t.waiting), Slots: simSlots, Hold: t.hold,
		Slowdown: speed.Slowdown, SlowdownAge: speed.Age, SlowdownPersistence: speed.Persistence,
	})
}

// simEntry is an entry node.
type simEntry struct {
	stats [simTargets]Stats
	route RouteStats
}

func (e *simEntry) choose(now time.Time, random *rand.Rand) int {
	best, lowest := 0, math.Inf(1)
	for i := range e.stats {
		cost := e.stats[i].Cost(now, &Request{Route: e.route, TimeLeft: simTargetLatency}) + 0.02*random.Float64()
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// simulate returns the number of requests, and of those that were served in time. The demand and
// the speeds of the targets depend on the seed alone.
func simulate(seed uint64, reported bool) (total, inTime int) {
	demand, speeds, ties := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3))
	targets := make([]simTarget, simTargets)
	entries := make([]simEntry, simEntries)
	for e := range entries {
		entries[e].route.Hold = simWork
		for i := range entries[e].stats {
			entries[e].stats[i] = Stats{Distance: SameDomain, Slots: simSlots}
		}
	}
	meanFactor := 1 + simSlowShare*(simSlow-1)
	perStep := simUtilization * simTargets * simSlots / simWork.Seconds() / meanFactor * time.Millisecond.Seconds()
	for now := start; now.Before(start.Add(simDuration)); now = now.Add(time.Millisecond) {
		for i := range targets {
			for _, r := range targets[i].step(now, speeds) {
				targets[i].report(now, r, reported)
				if now.Sub(r.sent) <= simTargetLatency {
					inTime++
				}
			}
		}
		if demand.Float64() < perStep {
			e := &entries[demand.IntN(simEntries)]
			work := float64(simWork) * math.Exp(holdSpread*demand.NormFloat64()-holdSpread*holdSpread/2)
			i := e.choose(now, ties)
			e.stats[i].Begin()
			targets[i].waiting = append(targets[i].waiting, &simRequest{stats: &e.stats[i], route: &e.route, sent: now, left: work})
			total++
		}
	}
	return total, inTime
}

// Guards against a slowdown that doesn't help: with it, more requests must be served in time on VMs
// that are slow now and then.
func TestMoreInTimeWithSlowdown(t *testing.T) {
	var total, late, lateWith int
	for seed := range uint64(5) {
		requests, without := simulate(seed, false)
		_, with := simulate(seed, true)
		t.Logf("seed %d: %d requests, late %d without and %d with the slowdown", seed, requests, requests-without, requests-with)
		total, late, lateWith = total+requests, late+requests-without, lateWith+requests-with
	}
	assert.Assert(t, float64(lateWith) < 0.9*float64(late), "%d and %d late of %d", late, lateWith, total)
}
