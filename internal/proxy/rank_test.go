package proxy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/admission"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
)

// newRankForwarder returns a request of a route with the given usual work and a target
// latency of 600 ms, and a target that is slower by the given factor.
func newRankForwarder(now time.Time, usual time.Duration, slowness float64) (*forwarder, *mesh.Member) {
	p := New(Config{}, Ports{})
	route := &mesh.Route{Name: "r", Kind: mesh.Idempotent, TargetLatency: 600 * time.Millisecond}
	member := &mesh.Member{Target: mesh.Target{ID: "t", Slots: 12}}
	stats := &placement.Stats{Slots: 12}
	if slowness != 1 {
		for range 100 {
			stats.RecordResponse(now, slowness, time.Millisecond)
		}
	}
	p.stats["t"] = stats
	p.routeStats["r"] = &placement.RouteStats{Hold: usual}
	return &forwarder{proxy: p, route: route, began: now, firstAt: now, deadline: now.Add(2 * time.Second)}, member
}

func TestMaxWaitLeavesProcessingTime(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		desc     string
		usual    time.Duration
		slowness float64
		want     time.Duration
	}{
		{"an average target", 200 * time.Millisecond, 1, 300 * time.Millisecond},
		{"a slow target", 200 * time.Millisecond, 1.5, 150 * time.Millisecond},
		{"a fast target gets no longer wait", 200 * time.Millisecond, 0.7, 300 * time.Millisecond},
		{"work not yet observed", 0, 1, 300 * time.Millisecond},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f, member := newRankForwarder(now, test.usual, test.slowness)
			got := f.newMeta(now, member)
			assert.Assert(t, (got.maxWait-test.want).Abs() < 2*time.Millisecond, "%s", got.maxWait)
		})
	}
}

// simulateSlowTarget sends a target that is 1.6 times as slow as the mean 1.3 times the
// requests that it can process, for a minute. Their waits are those of newMeta for a
// target of the assumed slowness. It returns the fraction of served requests that were in
// time.
func simulateSlowTarget(assumed float64) float64 {
	const slots, slowness, demand, spread = 12, 1.6, 1.3, 0.5
	const usual = 200 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	hold := func() time.Duration {
		return time.Duration(slowness * float64(usual) * math.Exp(spread*random.NormFloat64()-spread*spread/2))
	}
	start := time.Now()
	queue := admission.NewQueue(admissionTerms(slots), 1)
	type running struct {
		id  string
		end time.Time
	}
	var ends []running
	arrived := map[string]time.Time{}
	served, inTime := 0, 0
	begin := func(now time.Time, requests []admission.Request) {
		for _, r := range requests {
			ends = append(ends, running{r.ID, now.Add(hold())})
		}
		slices.SortFunc(ends, func(a, b running) int { return a.end.Compare(b.end) })
	}
	between := float64(time.Second) / (demand * slots / (slowness * usual.Seconds()))
	now := start
	for i := 0; now.Before(start.Add(time.Minute)); i++ {
		now = now.Add(time.Duration(random.ExpFloat64() * between))
		for len(ends) > 0 && ends[0].end.Before(now) {
			done := ends[0]
			ends = ends[1:]
			served++
			if done.end.Sub(arrived[done.id]) <= 600*time.Millisecond {
				inTime++
			}
			begin(done.end, slices.Clone(queue.Release(done.end, done.id).Started))
		}
		f, member := newRankForwarder(now, usual, assumed)
		meta := f.newMeta(now, member)
		id := fmt.Sprint(i)
		arrived[id] = now
		_, changes := queue.Offer(now, admission.Request{ID: id, Customer: meshCustomer, Deadline: now.Add(meta.maxWait)})
		begin(now, slices.Clone(changes.Started))
	}
	return float64(inTime) / float64(served)
}

// A target that is slower than the others gets more requests than it can process. With
// waits based on its own speed, more of its responses are in time than with waits based
// on the mean of all targets, and it serves as many.
func TestWaitsByTargetSpeedMissFewerDeadlines(t *testing.T) {
	byMean, byOwn := simulateSlowTarget(1), simulateSlowTarget(1.6)
	t.Logf("in time: %.3f by the mean of all targets, %.3f by its own speed", byMean, byOwn)
	assert.Assert(t, byOwn > byMean+0.1)
}
