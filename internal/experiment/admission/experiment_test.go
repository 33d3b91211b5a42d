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

// testConfig returns the configuration of a run of the given length. Virtual time and
// the seed make its results the same on every machine.
func testConfig(seconds float64) Config {
	config := DefaultConfig()
	config.Seconds = seconds
	return config
}

var deployments = []Deployment{CoOperative, LightingRecords}

// Guards against a policy that breaks contracts under overload. Every customer must get
// at least 0.99 of its contract regardless of the load of others, no slot may be idle
// at a target where a request waits, and overload must not reduce goodput.
func TestContractsAreKeptUnderOverload(t *testing.T) {
	for _, deployment := range deployments {
		for _, load := range Loads {
			t.Run(fmt.Sprintf("%s at load %g", deployment.Name, load), func(t *testing.T) {
				t.Parallel()
				r := Overload(testConfig(8), deployment, load, PolicyShares)
				assert.Check(t, r.MinFulfilled() >= 0.99, "fulfilled %s", r.fulfilledText())
				assert.Check(t, r.Shortfall < 0.01, "shortfall %.4f", r.Shortfall)
				assert.Equal(t, r.IdleAtTarget, 0.0)
				assert.Check(t, r.IdleInFleet < 0.01, "idle %.4f", r.IdleInFleet)
				assert.Check(t, r.Goodput > 0.95*min(load, 1), "goodput %.3f", r.Goodput)
			})
		}
	}
}

// Guards against a simulation in which the baselines look as good as the policy. First
// come, first served must let one customer use capacity that others are guaranteed, and
// a fixed partition must leave slots idle while requests wait.
func TestBaselinesBreakContracts(t *testing.T) {
	t.Parallel()
	firstCome := Overload(testConfig(4), CoOperative, 3, PolicyFirstCome)
	assert.Check(t, firstCome.MinFulfilled() < 0.5, "fulfilled %s", firstCome.fulfilledText())
	partition := Overload(testConfig(4), CoOperative, 0.8, PolicyFixed)
	assert.Check(t, partition.IdleAtTarget > 0.05, "idle %.4f", partition.IdleAtTarget)
}

// Guards against a class that displaces another class of its contract. Internal lookups
// vary from none to twenty times the customer's share. In 99 of 100 cases, inspectors of
// the same contract must wait less than one lookup takes, and the other customer must
// get its contract.
func TestLookupsDoNotStarveInspectors(t *testing.T) {
	for _, deployment := range deployments {
		for _, multiple := range []float64{0, 1, 5, 20} {
			t.Run(fmt.Sprintf("%s at %gx", deployment.Name, multiple), func(t *testing.T) {
				t.Parallel()
				r := Classes(testConfig(4), deployment, multiple, PolicyShares)
				inspectors := r.Stream("records", "inspector")
				assert.Check(t, inspectors.WaitP99 < lookupSeconds*1e3, "p99 wait %.1f ms", inspectors.WaitP99)
				assert.Equal(t, inspectors.Refused, 0)
				assert.Check(t, r.MinFulfilled() >= 0.99, "fulfilled %s", r.fulfilledText())
			})
		}
	}
}

// Guards the choice of placement. If requests enter unevenly, the fewest slots are idle
// when two targets are tried before the request waits at one.
func TestProbingLeavesFewestSlotsIdle(t *testing.T) {
	t.Parallel()
	idle := map[Placement]float64{}
	for _, placement := range Placements {
		idle[placement] = ComparePlacement(testConfig(4), CoOperative, 0.8, placement).IdleInFleet
	}
	assert.Check(t, idle[PlaceProbe] < 0.01)
	for _, other := range []Placement{PlaceRandom, PlaceTwoChoices, PlaceCredits} {
		assert.Check(t, idle[other] > 0.01, "%s: idle %.4f", other, idle[other])
	}
	next := ComparePlacement(testConfig(4), CoOperative, 1.2, PlaceTryNext)
	assert.Check(t, next.MinFulfilled() < 0.97, "without waiting, fulfilled %s", next.fulfilledText())
}

// All demand of a customer enters in one of three regions while another customer
// overloads the whole fleet. Guards against a lost guarantee if requests may leave the
// region. If they may not, the customer must get that region's third only.
func TestGuaranteeWithDemandInOneRegion(t *testing.T) {
	t.Parallel()
	spilling := OneRegion(testConfig(4), CoOperative, PlaceNear)
	assert.Check(t, spilling.Customers[0].Fulfilled >= 0.99, "fulfilled %s", spilling.fulfilledText())
	confined := OneRegion(testConfig(4), CoOperative, PlaceInRegion)
	assert.Check(t, confined.Customers[0].Fulfilled > 0.32 && confined.Customers[0].Fulfilled < 0.36, "fulfilled %s", confined.fulfilledText())
}

// Guards against a customer that exceeds its limit over the whole fleet. No state is
// shared: each target enforces its part of the limit, also when the fleet is
// partitioned. Rounding to whole slots may reduce the limit but never raise it.
func TestLimitHoldsOverTheFleet(t *testing.T) {
	t.Parallel()
	for _, partitioned := range []bool{false, true} {
		r := Limit(testConfig(4), CoOperative, partitioned)
		limited := r.Customers[0]
		assert.Check(t, float64(limited.MaxHeld) <= limited.LimitSlots)
		assert.Check(t, float64(limited.MaxHeld) > limited.LimitSlots-float64(CoOperative.Targets))
		assert.Check(t, limited.Fulfilled >= 0.99)
	}
}

func TestReportIsTheSameInEveryRun(t *testing.T) {
	t.Parallel()
	config := testConfig(4)
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

// Guards against long requests that block borrowed slots. Tallies pause, archives borrow
// their slots for a minute each, and the tallies resume at their full guarantee. With
// the limit they lose at most the fraction that archives may borrow; without it they
// lose most of their guarantee.
func TestArchivesBorrowABoundedFraction(t *testing.T) {
	t.Parallel()
	fulfilled := func(fraction float64) float64 {
		return LongRequests(testConfig(10), CoOperative, fraction).Customers[0].Fulfilled
	}
	none, quarter, all := fulfilled(0), fulfilled(0.25), fulfilled(1)
	assert.Check(t, none >= 0.99, "fulfilled %.3f with no borrowing", none)
	assert.Check(t, quarter >= 0.5, "fulfilled %.3f with a quarter borrowable", quarter)
	assert.Check(t, all < 0.5, "fulfilled %.3f with no limit", all)
}

// Guards against a deadlock of call chains. Each request calls the same service again
// while it holds its slot, and demand exceeds the slots. Marked inner calls go first and
// have a slot reserved for them, so that chains end. Outer calls hold their slot for
// both service times, so goodput can be at most two thirds of the slots' time. With
// unmarked inner calls, outer calls hold all slots until their deadlines pass.
func TestCallCyclesComplete(t *testing.T) {
	t.Parallel()
	marked := Cycle(testConfig(4), CoOperative, 1, 1.2, true, PolicyShares)
	unmarked := Cycle(testConfig(4), CoOperative, 1, 1.2, false, PolicyShares)
	assert.Check(t, marked.Goodput > 0.55, "goodput %.3f", marked.Goodput)
	assert.Check(t, unmarked.Goodput < 0.2, "goodput %.3f", unmarked.Goodput)
}

// BenchmarkReport prints the results in docs/measurements/admission.md.
func BenchmarkReport(b *testing.B) {
	for b.Loop() {
		assert.NilError(b, Experiment{}.Run(b.Context(), os.Stdout, experiment.Options{Seed: 1}))
	}
}
