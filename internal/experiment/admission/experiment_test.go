package admission

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/experiment"
)

// gated is the run whose figures the tests below bound. Virtual time and the
// seed make it the same on every machine.
func gated(seconds float64) Config {
	config := DefaultConfig()
	config.Seconds = seconds
	return config
}

var deployments = []Deployment{CoOperative, LightingRecords}

// Every customer gets at least 0.99 of its contract whatever the others send, no
// slot is idle at a target where a request waits, and overload costs no goodput.
func TestContractsAreKeptUnderOverload(t *testing.T) {
	for _, deployment := range deployments {
		for _, load := range Loads {
			t.Run(fmt.Sprintf("%s at load %g", deployment.Name, load), func(t *testing.T) {
				t.Parallel()
				r := Overload(gated(8), deployment, load, PolicyShares)
				assert.Check(t, r.MinFulfilled() >= 0.99, "kept %s", r.keptText())
				assert.Check(t, r.Shortfall < 0.01, "taken %.4f", r.Shortfall)
				assert.Equal(t, r.IdleAtTarget, 0.0)
				assert.Check(t, r.IdleInFleet < 0.01, "idle %.4f", r.IdleInFleet)
				assert.Check(t, r.Goodput > 0.95*min(load, 1), "goodput %.3f", r.Goodput)
			})
		}
	}
}

// The baselines show what the policy is for: first come, first served lets one
// customer take what others are owed, and a fixed partition leaves slots idle
// while requests wait.
func TestBaselinesBreakContracts(t *testing.T) {
	t.Parallel()
	firstCome := Overload(gated(4), CoOperative, 3, PolicyFirstCome)
	assert.Check(t, firstCome.MinFulfilled() < 0.5, "kept %s", firstCome.keptText())
	partition := Overload(gated(4), CoOperative, 0.8, PolicyFixed)
	assert.Check(t, partition.IdleAtTarget > 0.05, "idle %.4f", partition.IdleAtTarget)
}

// Internal lookups go from none to twenty times the customer's share. The
// inspectors of the same contract wait less than one lookup takes, in 99 of 100
// cases, and the other customer keeps its contract.
func TestInspectorsAreNotCrowdedOut(t *testing.T) {
	for _, deployment := range deployments {
		for _, multiple := range []float64{0, 1, 5, 20} {
			t.Run(fmt.Sprintf("%s at %gx", deployment.Name, multiple), func(t *testing.T) {
				t.Parallel()
				r := Classes(gated(4), deployment, multiple, PolicyShares)
				inspectors := r.Stream("records", "inspector")
				assert.Check(t, inspectors.WaitP99 < lookupSeconds*1e3, "p99 wait %.1f ms", inspectors.WaitP99)
				assert.Equal(t, inspectors.Refused, 0)
				assert.Check(t, r.MinFulfilled() >= 0.99, "kept %s", r.keptText())
			})
		}
	}
}

// Requests that enter unevenly find idle slots best when two targets are tried
// before the request waits at one; that is why the placement was chosen.
func TestProbingLeavesFewestSlotsIdle(t *testing.T) {
	t.Parallel()
	idle := map[Placement]float64{}
	for _, placement := range Placements {
		idle[placement] = ComparePlacement(gated(4), CoOperative, 0.8, placement).IdleInFleet
	}
	assert.Check(t, idle[PlaceProbe] < 0.01)
	for _, loser := range []Placement{PlaceRandom, PlaceTwoChoices, PlaceCredits} {
		assert.Check(t, idle[loser] > 0.01, "%s left %.4f idle", loser, idle[loser])
	}
	next := ComparePlacement(gated(4), CoOperative, 1.2, PlaceTryNext)
	assert.Check(t, next.MinFulfilled() < 0.97, "waiting nowhere kept %s", next.keptText())
}

// All of a customer's demand comes from one of three regions while another
// customer overloads the whole fleet. Its guarantee holds if its requests may
// leave the region; if they may not, only that region's third can be had.
func TestGuaranteeOfOneRegion(t *testing.T) {
	t.Parallel()
	spilling := OneRegion(gated(4), CoOperative, PlaceNear)
	assert.Check(t, spilling.Customers[0].Fulfilled >= 0.99, "kept %s", spilling.keptText())
	bound := OneRegion(gated(4), CoOperative, PlaceInRegion)
	assert.Check(t, bound.Customers[0].Fulfilled > 0.32 && bound.Customers[0].Fulfilled < 0.36, "kept %s", bound.keptText())
}

// A limit holds over the whole fleet without any shared state, also when the
// fleet is cut in two, since each target keeps its part. The error is what the
// rounding to whole slots takes away, and never more than the limit.
func TestLimitHoldsOverTheFleet(t *testing.T) {
	t.Parallel()
	for _, cut := range []bool{false, true} {
		r := Limit(gated(4), CoOperative, cut)
		limited := r.Customers[0]
		assert.Check(t, float64(limited.MaxHeld) <= limited.LimitSlots)
		assert.Check(t, float64(limited.MaxHeld) > limited.LimitSlots-float64(CoOperative.Targets))
		assert.Check(t, limited.Fulfilled >= 0.99)
	}
}

func TestReportIsTheSameInEveryRun(t *testing.T) {
	t.Parallel()
	config := gated(4)
	config.Seconds = 1
	var texts, documents [2]bytes.Buffer
	for i := range 2 {
		report := Report{Config: config}
		report.add(Overload(config, CoOperative, 3, PolicyShares))
		report.add(Limit(config, CoOperative, true))
		assert.NilError(t, report.WriteText(&texts[i]))
		assert.NilError(t, json.NewEncoder(&documents[i]).Encode(report))
	}
	assert.Equal(t, texts[0].String(), texts[1].String())
	assert.Equal(t, documents[0].String(), documents[1].String())
	assert.Check(t, strings.Contains(texts[0].String(), "limited"))
}

func TestConfigIsChecked(t *testing.T) {
	for _, config := range []Config{{}, {Seconds: 1}, {Seconds: 4000, QueuePerSlot: 1}} {
		_, err := Run(t.Context(), config)
		assert.Check(t, err != nil)
	}
}

// Tallies pause, archives borrow their slots for a minute each, and the tallies
// come back at their full guarantee. With the bound they lose at most the part
// that archives may borrow; without it they lose most of what they were promised.
func TestArchivesBorrowABoundedPart(t *testing.T) {
	t.Parallel()
	kept := func(part float64) float64 { return LongRequests(gated(10), CoOperative, part).Customers[0].Fulfilled }
	none, quarter, all := kept(0), kept(0.25), kept(1)
	assert.Check(t, none >= 0.99, "kept %.3f with nothing lent", none)
	assert.Check(t, quarter >= 0.5, "kept %.3f with a quarter lent", quarter)
	assert.Check(t, all < 0.5, "kept %.3f with no bound", all)
}

// Each request calls the same service again while it holds its slot, and there
// is more demand than slots. Where inner calls are known as such they go first
// and find a slot kept for them, so that chains end. Outer calls hold their slot
// for both service times, so two thirds of the slots' time can be work at best.
// Where inner calls are not known, outer ones hold all slots until deadlines
// pass.
func TestCyclesKeepMoving(t *testing.T) {
	t.Parallel()
	marked := Cycle(gated(4), CoOperative, 1, 1.2, true, PolicyShares)
	unmarked := Cycle(gated(4), CoOperative, 1, 1.2, false, PolicyShares)
	assert.Check(t, marked.Goodput > 0.55, "goodput %.3f", marked.Goodput)
	assert.Check(t, unmarked.Goodput < 0.2, "goodput %.3f", unmarked.Goodput)
}

// BenchmarkReport prints the figures of docs/measurements/admission.md.
func BenchmarkReport(b *testing.B) {
	for b.Loop() {
		assert.NilError(b, Experiment{}.Run(b.Context(), os.Stdout, experiment.Options{Seed: 1}))
	}
}
