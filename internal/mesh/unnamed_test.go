package mesh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a target that gets no requests, because another writer's entry of an unnamed service has
// its address.
func TestEntryOfUnnamedServiceTakesNoAddress(t *testing.T) {
	view := NewView()
	named := Target{ID: "i-1", Service: "s", Address: "10.0.0.1:80", FailureDomain: "a1", Slots: 1, State: Ready, Revision: 1, Started: 1}
	foreign := named
	foreign.ID, foreign.Service, foreign.Revision, foreign.Started = "x-1", "ledger", 2, 2
	now := time.Now()
	assert.NilError(t, view.Apply(now, &Update{Targets: []Target{named, foreign}}))
	config := &Config{Version: 1, Services: []Service{{Name: "s"}}}
	assert.NilError(t, view.Apply(now, &Update{Config: Diff(nil, config)}))
	assert.Equal(t, view.MemberAt(named.Address).ID, named.ID)
	assert.Equal(t, len(view.ReadyByService()["s"]), 1)

	both := &Config{Version: 2, Services: []Service{{Name: "s"}, {Name: "ledger"}}}
	assert.NilError(t, view.Apply(now, &Update{Config: Diff(config, both)}))
	assert.Equal(t, view.MemberAt(named.Address).ID, foreign.ID)
}
