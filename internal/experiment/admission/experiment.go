// Package admission measures the decisions of internal/admission in virtual
// time: the targets of one service, a seeded stream of requests, and a choice
// of target at the entry. It has no network and no nodes, and every run with
// the same seed gives the same figures.
//
// Each experiment is paired: all policies and placements see the same requests.
package admission

import (
	"fmt"

	"github.com/pkg/errors"
)

// Config chooses what to run.
type Config struct {
	// Seed starts all random numbers.
	Seed uint64
	// Seconds is the measured virtual time of each run; a tenth of it runs
	// before as warm-up.
	Seconds float64
	// QueuePerSlot bounds the queues of all policies alike.
	QueuePerSlot int
}

// DefaultConfig gives the figures of docs/measurements/admission.md.
func DefaultConfig() Config { return Config{Seed: 1, Seconds: 30, QueuePerSlot: 6} }

// Deployment is one of the sizes of today: targets of one service.
type Deployment struct {
	Name    string `json:"name"`
	Targets int    `json:"targets"`
	Slots   int    `json:"slots"`
}

// capacity is the number of slots of all targets.
func (d Deployment) capacity() int { return d.Targets * d.Slots }

// The deployments that the brief names.
var (
	CoOperative     = Deployment{Name: "co-operative", Targets: 6, Slots: 12}
	LightingRecords = Deployment{Name: "lighting-records", Targets: 6, Slots: 18}
)

// Loads are the total demands that are measured, as multiples of the capacity.
var Loads = []float64{0.8, 1.2, 3, 10}

// lookupSeconds is the mean service time of a short request.
const lookupSeconds = 0.05

// Run makes every experiment and returns the report.
func Run(config Config) (Report, error) {
	if config.Seconds <= 0 || config.Seconds > 3600 {
		return Report{}, errors.Errorf("seconds is %v, give more than 0 and at most 3600", config.Seconds)
	}
	if config.QueuePerSlot < 1 {
		return Report{}, errors.Errorf("queue per slot is %d, give at least 1", config.QueuePerSlot)
	}
	report := Report{Config: config}
	for _, deployment := range []Deployment{CoOperative, LightingRecords} {
		for _, load := range Loads {
			for _, policy := range Policies {
				report.add(Overload(config, deployment, load, policy))
			}
		}
		for _, bound := range []int{2, 4, 6, 8, 12} {
			report.add(QueueBound(config, deployment, bound))
		}
		for _, multiple := range []float64{0, 1, 5, 20} {
			for _, policy := range Policies {
				report.add(Classes(config, deployment, multiple, policy))
			}
		}
		for _, load := range Loads {
			for _, placement := range Placements {
				report.add(Placed(config, deployment, load, placement))
			}
		}
		for _, placement := range []Placement{PlaceNear, PlaceRegion} {
			report.add(OneRegion(config, deployment, placement))
		}
		for _, part := range []float64{0, 0.25, 0.5, 1} {
			report.add(Long(config, deployment, part))
		}
		for _, cut := range []bool{false, true} {
			report.add(Limit(config, deployment, cut))
		}
	}
	return report, nil
}

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
func Placed(config Config, deployment Deployment, load float64, placement Placement) Result {
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
func Long(config Config, deployment Deployment, part float64) Result {
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
