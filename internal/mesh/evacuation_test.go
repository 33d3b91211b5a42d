package mesh

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an evacuation that is forgotten or revived because neighbours send its changes
// in different order, more than once, or only by a listing.
func TestNewestEvacuationWinsInAnyOrder(t *testing.T) {
	domains := []string{"a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		// history holds the state of each domain after each revision.
		history := []map[string]Evacuation{{}}
		for revision := uint64(1); revision <= 8; revision++ {
			next := map[string]Evacuation{}
			for domain, state := range history[revision-1] {
				next[domain] = state
			}
			domain := rapid.SampledFrom(domains).Draw(t, "domain")
			next[domain] = Evacuation{FailureDomain: domain, Active: rapid.Bool().Draw(t, "active"), Revision: revision}
			history = append(history, next)
		}
		view := NewView()
		newest := uint64(0)
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			revision := rapid.Uint64Range(1, 8).Draw(t, "revision")
			update := &Update{Age: -1, Complete: true, Revision: revision}
			for _, domain := range domains {
				if state, ok := history[revision][domain]; ok && state.Active {
					update.Evacuations = append(update.Evacuations, state)
				}
			}
			view.AddImplied(update, 0)
			assert.NilError(t, view.Apply(start, update))
			newest = max(newest, revision)
		}
		update := &Update{Age: -1}
		for _, state := range history[newest] {
			update.Evacuations = append(update.Evacuations, state)
		}
		assert.NilError(t, view.Apply(start, update))
		for _, domain := range domains {
			assert.Equal(t, view.Evacuated(domain), history[newest][domain].Active, domain)
		}
	})
}

// Guards against a node that goes on sending requests to an evacuated failure domain, or that
// doesn't return to it.
func TestEvacuatedTargetsAreNotReady(t *testing.T) {
	view := NewView()
	assert.NilError(t, view.Apply(start, &Update{Targets: []Target{
		{ID: "i", Service: "s", Address: "a:1", FailureDomain: "a", State: Ready, Revision: 1},
		{ID: "j", Service: "s", Address: "b:1", FailureDomain: "b", State: Ready, Revision: 2},
	}}))
	ready := func() int { return len(view.ReadyByService()["s"]) }
	before := view.MembersGeneration()
	assert.NilError(t, view.Apply(start, &Update{Evacuations: []Evacuation{{FailureDomain: "a", Active: true, Revision: 3}}}))
	assert.Equal(t, ready(), 1)
	assert.Assert(t, view.MembersGeneration() > before)
	update, position := view.Since(start, Position{})
	assert.Equal(t, len(update.Evacuations), 1)
	update, _ = view.Since(start, position)
	assert.Assert(t, update.Empty())
	assert.NilError(t, view.Apply(start, &Update{Evacuations: []Evacuation{{FailureDomain: "a", Revision: 4}}}))
	assert.Equal(t, ready(), 2)
}
