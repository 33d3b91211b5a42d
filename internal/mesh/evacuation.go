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

// applyEvacuation applies a request unless the view holds it, or a later one for the domain.
func (v *View) applyEvacuation(evacuation Evacuation) {
	known, ok := v.evacuations[evacuation.FailureDomain]
	if evacuation.Revision <= v.membersRevision || ok && known.Revision >= evacuation.Revision {
		return
	}
	v.generation++
	v.evacuations[evacuation.FailureDomain] = evacuationState{Evacuation: evacuation, generation: v.generation}
	if known.Active != evacuation.Active {
		v.membersGeneration++
	}
}

// evacuationsSince returns the evacuations that changed after a position, sorted by domain. If
// complete is set, it returns all active ones as well.
func (v *View) evacuationsSince(position Position, complete bool) []Evacuation {
	var evacuations []Evacuation
	for _, state := range v.evacuations {
		if complete && state.Active || !position.covers(state.generation, state.Revision) {
			evacuations = append(evacuations, state.Evacuation)
		}
	}
	slices.SortFunc(evacuations, func(a, b Evacuation) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return evacuations
}

// impliedEvacuationEnds returns the withdrawals implied by a complete list at a revision: those of
// the active evacuations that it doesn't contain.
func (v *View) impliedEvacuationEnds(listed []Evacuation, revision uint64) []Evacuation {
	var ends []Evacuation
	for _, domain := range slices.Sorted(maps.Keys(v.evacuations)) {
		state := v.evacuations[domain]
		isListed := slices.ContainsFunc(listed, func(e Evacuation) bool {
			// An older end is of an earlier evacuation.
			return e.FailureDomain == domain && (e.Active || e.Revision >= state.Revision)
		})
		if state.Active && state.Revision < revision && !isListed {
			ends = append(ends, Evacuation{FailureDomain: domain, Revision: revision})
		}
	}
	return ends
}
