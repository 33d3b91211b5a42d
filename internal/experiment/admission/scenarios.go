package admission

import "fmt"

// Overload runs a total demand of load times the capacity. One customer, "surge",
// sends up to twenty times its contract; the others share the rest.
func Overload(config Config, deployment Deployment, load float64, policy Policy) Result {
	surge := min(20*surgeShare, max(load-0.9*min(load, 1), surgeShare*load))
	others := (load - surge) / (1 - surgeShare)
	demands := []demand{
		{customer: "large", share: 0.4, limit: 1, load: 0.4 * others},
		{customer: "middle", share: 0.3, limit: 1, load: 0.3 * others},
		{customer: "small", share: 0.2, limit: 1, load: 0.2 * others},
		{customer: "surge", share: surgeShare, limit: 1, load: surge},
	}
	return run(scenario{
		config: config, name: "overload", detail: fmt.Sprintf("load %g", load),
		deployment: deployment, policy: policy, placement: PlaceProbe, demands: demands,
	})
}

// QueueBound measures the cost of the bound of the queues: a short queue drops
// requests that would have got a slot a moment later, a long one makes them wait.
func QueueBound(config Config, deployment Deployment, bound int) Result {
	config.QueuePerSlot = bound
	r := Overload(config, deployment, 1.2, PolicyShares)
	r.Experiment = "queue-bound"
	r.Detail = fmt.Sprintf("%d a slot", bound)
	return r
}

// surgeShare is the guaranteed share of the customer that sends too much.
const surgeShare = 0.1

// Classes runs internal lookups of one customer at multiple times its share, while
// the load of its inspectors and of another customer is constant.
func Classes(config Config, deployment Deployment, multiple float64, policy Policy) Result {
	const share = 0.7
	demands := []demand{
		{customer: "records", class: "inspector", share: share, limit: 1, load: 0.1},
		{customer: "records", class: "internal", rank: 1, share: share, limit: 1, load: share * multiple},
		{customer: "other", class: "other", share: 1 - share, limit: 1, load: 0.25},
	}
	return run(scenario{
		config: config, name: "classes", detail: fmt.Sprintf("lookups %gx", multiple),
		deployment: deployment, policy: policy, placement: PlaceProbe, demands: demands,
	})
}

// ComparePlacement runs one placement. Requests enter unevenly, as those of real
// callers do.
func ComparePlacement(config Config, deployment Deployment, load float64, placement Placement) Result {
	demands := []demand{
		{customer: "one", share: 0.6, limit: 1, load: 0.6 * load},
		{customer: "two", share: 0.4, limit: 1, load: 0.4 * load},
	}
	return run(scenario{
		config: config, name: "placement", detail: fmt.Sprintf("load %g", load),
		deployment: deployment, policy: PolicyShares, placement: placement, demands: demands, skewed: true,
	})
}

// OneRegion runs one customer whose requests all enter in one region, at its full
// guarantee, while another customer sends three times the capacity in all regions.
func OneRegion(config Config, deployment Deployment, placement Placement) Result {
	demands := []demand{
		{customer: "local", share: 0.5, limit: 1, load: 0.5, entries: entriesOfRegion},
		{customer: "everywhere", share: 0.5, limit: 1, load: 3},
	}
	return run(scenario{
		config: config, name: "one-region", detail: "local demand 1x its guarantee",
		deployment: deployment, policy: PolicyShares, placement: placement, demands: demands,
	})
}

// Limit runs one customer that sends twice the capacity and has a limit of 0.3. If
// partitioned is set, the fleet is partitioned into two halves.
func Limit(config Config, deployment Deployment, partitioned bool) Result {
	demands := []demand{
		{customer: "limited", share: 0.2, limit: 0.3, load: 2},
		{customer: "other", share: 0.5, limit: 1, load: 0.4},
	}
	detail := "whole fleet"
	if partitioned {
		detail = "fleet cut in two"
	}
	return run(scenario{
		config: config, name: "limit", detail: detail, deployment: deployment,
		policy: PolicyShares, placement: PlaceProbe, demands: demands, partitioned: partitioned,
	})
}

// longSeconds is the mean service time of an archive.
const longSeconds = 60

// LongRequests runs one customer's archives, at ten times the capacity, with another
// customer's short tallies, which pause and resume at their full guarantee. Fraction
// is the fraction of the slots guaranteed to others that archives may borrow. Archives
// take minutes, so this run lasts eight times as long as the others.
func LongRequests(config Config, deployment Deployment, fraction float64) Result {
	config.Seconds *= 8
	demands := []demand{
		{customer: "tallies", class: "crew", share: 0.6, limit: 1, load: 0.6, pause: 15},
		{customer: "archives", class: "download", share: 0.3, limit: 1, load: 10, service: longSeconds, long: true},
	}
	return run(scenario{
		config: config, name: "long", detail: fmt.Sprintf("long_lent %g", fraction), deployment: deployment,
		policy: PolicyShares, placement: PlaceProbe, demands: demands, longBorrowLimit: fraction,
	})
}

// Cycle runs requests that call the same service again, inner calls deep, while they
// hold their slot. If marked is set, the inner calls carry their depth and revisits,
// by which admission recognizes the cycle. The fleet must not stay in the state in which outer calls hold all
// slots while their inner calls wait.
func Cycle(config Config, deployment Deployment, inner int, load float64, marked bool, policy Policy) Result {
	detail := fmt.Sprintf("%d inner, load %g", inner, load)
	if !marked {
		detail += ", unmarked"
	}
	demands := []demand{{customer: "chains", share: 1, limit: 1, load: load, inner: inner, unmarked: !marked}}
	return run(scenario{
		config: config, name: "cycle", detail: detail, deployment: deployment, policy: policy,
		placement: PlaceProbe, demands: demands,
	})
}
