package admission

import "fmt"

// Overload offers load times the capacity. One customer, "surge", sends up to
// twenty times its contract; the others share the rest.
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

// QueueBound shows what the bound of the queues costs: a short queue drops
// requests that a moment later would have had a slot, a long one lets them wait.
func QueueBound(config Config, deployment Deployment, bound int) Result {
	config.QueuePerSlot = bound
	r := Overload(config, deployment, 1.2, PolicyShares)
	r.Experiment = "queue-bound"
	r.Detail = fmt.Sprintf("%d a slot", bound)
	return r
}

// surgeShare is the guaranteed share of the customer that sends too much.
const surgeShare = 0.1

// Classes lets one customer's internal lookups grow to multiple times its
// share, while its inspectors and another customer go on as before.
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

// Placed compares where requests wait. Requests enter unevenly, as callers do.
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

// OneRegion lets all demand of one customer enter in one region, at its full
// guarantee, while another customer sends three times the capacity everywhere.
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

// Limit lets one customer send twice the capacity against a limit of 0.3, with
// the fleet whole or cut into two halves that can't reach each other.
func Limit(config Config, deployment Deployment, cut bool) Result {
	demands := []demand{
		{customer: "limited", share: 0.2, limit: 0.3, load: 2},
		{customer: "other", share: 0.5, limit: 1, load: 0.4},
	}
	detail := "whole fleet"
	if cut {
		detail = "fleet cut in two"
	}
	return run(scenario{
		config: config, name: "limit", detail: detail, deployment: deployment,
		policy: PolicyShares, placement: PlaceProbe, demands: demands, cut: cut,
	})
}

// longSeconds is the mean service time of an archive.
const longSeconds = 60

// Long lets one customer's archives, ten times the capacity, meet another's
// short tallies that pause and come back at their full guarantee. Part is how
// much of what others are guaranteed archives may borrow. Archives take
// minutes, so this run lasts eight times as long as the others.
func LongRequests(config Config, deployment Deployment, part float64) Result {
	config.Seconds *= 8
	demands := []demand{
		{customer: "tallies", class: "crew", share: 0.6, limit: 1, load: 0.6, pause: 15},
		{customer: "archives", class: "download", share: 0.3, limit: 1, load: 10, service: longSeconds, long: true},
	}
	return run(scenario{
		config: config, name: "long", detail: fmt.Sprintf("long_lent %g", part), deployment: deployment,
		policy: PolicyShares, placement: PlaceProbe, demands: demands, longLent: part,
	})
}

// Cycle lets each request call the same service again, inner calls deep, while
// it holds its slot. All slots held by outer calls whose inner calls wait is
// the state that must not last.
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
