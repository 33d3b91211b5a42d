package mesh

import (
	"cmp"
	"maps"
	"slices"
)

// evacuationState is the last known request to evacuate a failure domain.
type evacuationState struct {
	Evacuation
	generation uint64
}

// Evacuated reports whether nothing may be sent to the targets of a failure domain.
func (v *View) Evacuated(domain string) bool { return v.evacuations[domain].Active }

// Evacuations returns the evacuated failure domains, sorted.
func (v *View) Evacuations() []string {
	var domains []string
	for domain, state := range v.evacuations {
		if state.Active {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// applyEvacuation applies a request unless a newer one for the domain is known.
func (v *View) applyEvacuation(evacuation Evacuation) {
	known, ok := v.evacuations[evacuation.FailureDomain]
	if ok && known.Revision >= evacuation.Revision {
		return
	}
	v.generation++
	v.evacuations[evacuation.FailureDomain] = evacuationState{Evacuation: evacuation, generation: v.generation}
	if known.Active != evacuation.Active {
		v.membersGeneration++
	}
}

// evacuationsSince returns the evacuations that changed after a position, sorted by domain.
func (v *View) evacuationsSince(position Position) []Evacuation {
	var evacuations []Evacuation
	for _, state := range v.evacuations {
		if !position.covers(state.generation, state.Revision) {
			evacuations = append(evacuations, state.Evacuation)
		}
	}
	slices.SortFunc(evacuations, func(a, b Evacuation) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return evacuations
}

// ImpliedEvacuationEnds returns the withdrawals implied by a complete listing of the platform at
// a revision: the active evacuations that it doesn't contain.
func (v *View) ImpliedEvacuationEnds(listed []Evacuation, revision uint64) []Evacuation {
	isListed := func(domain string) bool {
		return slices.ContainsFunc(listed, func(e Evacuation) bool { return e.FailureDomain == domain })
	}
	var ends []Evacuation
	for _, domain := range slices.Sorted(maps.Keys(v.evacuations)) {
		state := v.evacuations[domain]
		if state.Active && state.Revision < revision && !isListed(domain) {
			ends = append(ends, Evacuation{FailureDomain: domain, Revision: revision})
		}
	}
	return ends
}
