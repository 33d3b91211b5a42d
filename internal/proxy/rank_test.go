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

// flightTo makes a request of a route whose work is usually 200 ms, wanted within
// 600 ms, and a target that takes so many times as long.
func flightTo(now time.Time, usual time.Duration, slowness float64) (*flight, *mesh.Member) {
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
	p.work["r"] = &placement.RouteStats{Hold: usual}
	return &flight{proxy: p, route: route, began: now, first: now, deadline: now.Add(2 * time.Second)}, member
}

func TestWaitLeavesTimeForTheWork(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		desc     string
		usual    time.Duration
		slowness float64
		want     time.Duration
	}{
		{"a usual target", 200 * time.Millisecond, 1, 300 * time.Millisecond},
		{"a slow one", 200 * time.Millisecond, 1.5, 150 * time.Millisecond},
		{"a fast one waits no longer", 200 * time.Millisecond, 0.7, 300 * time.Millisecond},
		{"work that nobody has seen", 0, 1, 300 * time.Millisecond},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f, member := flightTo(now, test.usual, test.slowness)
			got := f.terms(now, member)
			assert.Assert(t, (got.wait-test.want).Abs() < 2*time.Millisecond, "%s", got.wait)
		})
	}
}

// playSlowTarget offers a target that is 1.6 times as slow as the mean 1.3 times
// what it can do, for a minute, with the waits that terms grants for a target of a
// believed slowness. It returns the part of the served requests that was in time.
func playSlowTarget(believed float64) float64 {
	const slots, slowness, demand, spread = 12, 1.6, 1.3, 0.5
	const usual = 200 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	hold := func() time.Duration {
		return time.Duration(slowness * float64(usual) * math.Exp(spread*random.NormFloat64()-spread*spread/2))
	}
	start := time.Now()
	queue := admission.NewQueue(ownTerms(slots), 1)
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
		f, member := flightTo(now, usual, believed)
		t := f.terms(now, member)
		id := fmt.Sprint(i)
		arrived[id] = now
		_, changes := queue.Offer(now, admission.Request{ID: id, Customer: meshCustomer, Deadline: now.Add(t.wait)})
		begin(now, slices.Clone(changes.Started))
	}
	return float64(inTime) / float64(served)
}

// A target that is slower than the others is offered more than it can do. Waits
// by its own speed let callers have more of its answers in time than waits by the
// mean of all targets, and it serves as many.
func TestWaitsByTheTargetsOwnSpeedAreInTime(t *testing.T) {
	byMean, byOwn := playSlowTarget(1), playSlowTarget(1.6)
	t.Logf("in time: %.3f by the mean of all targets, %.3f by its own speed", byMean, byOwn)
	assert.Assert(t, byOwn > byMean+0.1)
}
