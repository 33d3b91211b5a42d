package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// disturbance describes the load of a service without calls whose targets shed, and what
// happens to its nodes meanwhile. Times are relative to the start.
type disturbance struct {
	length           time.Duration
	shedFrom, shedTo time.Duration
	// rate returns the requests per second at a node.
	rate func(node int, at time.Duration) float64
	// restarts holds when nodes restart. restarted returns whether a node takes part in the
	// restart with the given index; if it is nil, all nodes do.
	restarts  []time.Duration
	restarted func(node, restart int) bool
}

// disturbedSlack is the number of retries that the budget of all disturbedNodes allows in
// addition to the ratio.
const disturbedNodes, disturbedSlack = 12, 24

// newDisturbedFleet returns a fleet of one service whose targets shed nine in ten while the
// disturbance says so.
func newDisturbedFleet(seed uint64, d *disturbance) (*fleet, *fleetService) {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 8)), window: DefaultWindow, now: time.Unix(1_000_000, 0),
		limits: Limits{Ratio: 0.2, Slack: float64(disturbedSlack) / disturbedNodes},
	}
	s := &fleetService{name: "s"}
	for range disturbedNodes {
		node := &fleetNode{budget: NewFleetBudget(f.window, time.Time{}), service: s}
		s.nodes = append(s.nodes, node)
	}
	f.nodes, f.services = s.nodes, []*fleetService{s}
	f.schedule(d.shedFrom, func() { s.shedRate = 0.9 })
	f.schedule(d.shedTo, func() { s.shedRate = 0 })
	for i, at := range d.restarts {
		f.schedule(at, func() { f.restart(d, i) })
	}
	for i, node := range s.nodes {
		f.scheduleRequests(d, i, node)
	}
	return f, s
}

// restart replaces the budgets of the nodes that a restart affects.
func (f *fleet) restart(d *disturbance, restart int) {
	for i, node := range f.nodes {
		if d.restarted == nil || d.restarted(i, restart) {
			node.budget = NewFleetBudget(f.window, f.now)
		}
	}
}

// rateStep is the time for which the rate of requests is constant.
const rateStep = 100 * time.Millisecond

func (f *fleet) scheduleRequests(d *disturbance, i int, node *fleetNode) {
	for from := time.Duration(0); from < d.length; from += rateStep {
		rate := d.rate(i, from)
		if rate <= 0 {
			continue
		}
		next := func() time.Duration { return time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)) }
		for at := next(); at < rateStep; at += next() {
			f.schedule(from+at, func() {
				f.request(node, f.services[0], f.now.Add(2*time.Second), false, func(bool) {})
			})
		}
	}
}

func constantRate(perSecond float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return perSecond }
}

// rateWithin returns a rate within a span of time, and another one outside.
func rateWithin(from, to time.Duration, within, outside float64) func(int, time.Duration) float64 {
	return func(_ int, at time.Duration) float64 {
		if at >= from && at < to {
			return within
		}
		return outside
	}
}

// disturbedSeeds is how many seeds each disturbance is played with.
const disturbedSeeds = 3

func assertWithinBudget(t *testing.T, d *disturbance) {
	t.Helper()
	for seed := range uint64(disturbedSeeds) {
		f, s := newDisturbedFleet(seed, d)
		f.run()
		usage := f.maxUsage(s)
		assert.Assert(t, usage <= 1, "seed %d: %.3f of the budget", seed, usage)
		assert.Assert(t, len(s.retries) > 0)
	}
}

// A restarted process doesn't know what the one before it used of the same window.
func TestFleetBudgetHoldsWhileNodesRestart(t *testing.T) {
	for _, test := range []struct {
		desc string
		disturbance
	}{
		{"all at once", disturbance{length: 25 * time.Second, shedFrom: 12 * time.Second, shedTo: 25 * time.Second, rate: constantRate(30), restarts: []time.Duration{15 * time.Second}}},
		{"all at once, twice", disturbance{length: 25 * time.Second, shedFrom: 12 * time.Second, shedTo: 25 * time.Second, rate: constantRate(30), restarts: []time.Duration{14 * time.Second, 17 * time.Second}}},
		{"half of them in turn, again and again", disturbance{
			length: 30 * time.Second, shedFrom: 12 * time.Second, shedTo: 30 * time.Second, rate: constantRate(30),
			restarts:  []time.Duration{13 * time.Second, 15 * time.Second, 17 * time.Second, 19 * time.Second, 21 * time.Second},
			restarted: func(node, restart int) bool { return node%2 == restart%2 },
		}},
		{"again and again, with little load", disturbance{
			length: 25 * time.Second, shedFrom: 12 * time.Second, shedTo: 25 * time.Second, rate: constantRate(1),
			restarts: []time.Duration{14 * time.Second, 16 * time.Second, 18 * time.Second, 20 * time.Second},
		}},
		{"with little load", disturbance{length: 25 * time.Second, shedFrom: 12 * time.Second, shedTo: 25 * time.Second, rate: constantRate(3), restarts: []time.Duration{15 * time.Second, 18 * time.Second}}},
	} {
		t.Run(test.desc, func(t *testing.T) { assertWithinBudget(t, &test.disturbance) })
	}
}

// Requests before a retry count for it at its node, but lie outside the windows whose requests
// count for the fleet.
func TestFleetBudgetHoldsWhileLoadChanges(t *testing.T) {
	for _, test := range []struct {
		desc string
		disturbance
	}{
		{"load starts and ends with the shedding", disturbance{length: 22 * time.Second, shedFrom: 14500 * time.Millisecond, shedTo: 22 * time.Second, rate: rateWithin(12*time.Second, 22*time.Second, 60, 0)}},
		{"a burst ends after the shedding starts", disturbance{length: 30 * time.Second, shedFrom: 20 * time.Second, shedTo: 30 * time.Second, rate: rateWithin(12500*time.Millisecond, 22500*time.Millisecond, 80, 2)}},
		{"callers move to other nodes", disturbance{
			length: 30 * time.Second, shedFrom: 18 * time.Second, shedTo: 30 * time.Second,
			rate: func(node int, at time.Duration) float64 {
				if (node < disturbedNodes/2) == (at < 20500*time.Millisecond) {
					return 80
				}
				return 0
			},
		}},
	} {
		t.Run(test.desc, func(t *testing.T) { assertWithinBudget(t, &test.disturbance) })
	}
}

// Load, shedding and restarts overlap in any way. Whatever happens to the load and to the nodes,
// targets must not get more retries than the fleet's budget allows.
func TestFleetBudgetHoldsWhenDisturbancesOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		milliseconds := func(name string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
		}
		const phase = 2500 * time.Millisecond
		rates := rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, 15), 3, 3), 12, 12).Draw(t, "rates")
		restarting := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 4).Draw(t, "restarting")
		d := &disturbance{
			length: time.Duration(len(rates)) * phase,
			rate: func(node int, at time.Duration) float64 {
				return float64(rates[at/phase][node%3])
			},
			restarted: func(node, restart int) bool { return restarting[restart] == 3 || node%3 == restarting[restart] },
		}
		d.shedFrom = milliseconds("from", 0, 20_000)
		d.shedTo = d.shedFrom + milliseconds("for", 1000, 15_000)
		for i := range restarting {
			d.restarts = append(d.restarts, milliseconds(fmt.Sprint("restart ", i), 0, 30_000))
		}
		f, s := newDisturbedFleet(rapid.Uint64().Draw(t, "seed"), d)
		f.run()
		if usage := f.maxUsage(s); usage > 1 {
			t.Fatalf("%.3f of the budget", usage)
		}
	})
}
