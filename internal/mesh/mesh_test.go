package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func route(name, host, prefix string, shares ...Share) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Kind: Idempotent, Timeout: time.Second, MaxAttempts: 2, Shares: shares}
}

func config(version uint64, routes ...Route) *Config {
	return &Config{Version: version, Routes: routes}
}

func TestRouteOfTheLongestPrefix(t *testing.T) {
	table := NewTable(config(1, route("all", "A.example", "/"), route("deep", "a.example", "/x/y/"), route("x", "a.example", "/x/")))
	for _, test := range []struct{ desc, host, path, want string }{
		{"longest", "a.example", "/x/y/z", "deep"},
		{"host in another case and with a port", "A.EXAMPLE:80", "/x/1", "x"},
		{"a prefix ends with a slash", "a.example", "/xy", "all"},
		{"another host", "b.example", "/x/y/z", ""},
	} {
		t.Run(test.desc, func(t *testing.T) {
			got := ""
			if found := table.Route(test.host, test.path); found != nil {
				got = found.Name
			}
			assert.Equal(t, got, test.want)
		})
	}
}

func TestSplitKeepsWeightsAfterFewRequests(t *testing.T) {
	r := route("r", "h", "/", Share{"a", 90}, Share{"b", 10}, Share{"c", 0})
	current := config(1, r)
	var s Splitter
	count := map[string]int{}
	for range 30 {
		count[s.Pick(current, &r)]++
	}
	assert.DeepEqual(t, count, map[string]int{"a": 27, "b": 3})
}

// Guards against mixed or regressing versions if two neighbours send the same changes in
// different deltas and at different times. In any order, the node must end with the newest
// complete version, never go back, and never combine two versions.
func TestDeltasOfTwoNeighboursInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []*Config{nil}
		for v := uint64(1); v <= 5; v++ {
			var routes []Route
			for i := range rapid.IntRange(1, 6).Draw(t, "routes") {
				routes = append(routes, route(fmt.Sprint("r", i), "h", fmt.Sprintf("/%d/", i), Share{"s", rapid.IntRange(1, 2).Draw(t, "weight")}))
			}
			versions = append(versions, config(v, routes...))
		}
		view := NewView()
		last := [2]int{}
		for range 12 {
			from := rapid.IntRange(0, 1).Draw(t, "neighbour")
			if last[from] == 5 {
				continue
			}
			next := rapid.IntRange(last[from]+1, 5).Draw(t, "to")
			before := view.Version()
			err := view.Apply(start, &Update{Config: Diff(versions[last[from]], versions[next])})
			last[from] = next
			if err != nil {
				t.Fatal("delta refused although its base is held", err)
			}
			if view.Version() < before || view.Version() < uint64(next) {
				t.Fatal("version went back", before, view.Version())
			}
			want := NewTable(versions[view.Version()])
			for i := range 6 {
				got, wanted := view.Table().Route("h", fmt.Sprintf("/%d/", i)), want.Route("h", fmt.Sprintf("/%d/", i))
				if (got == nil) != (wanted == nil) || got != nil && !got.Equal(wanted) {
					t.Fatal("mixed versions", got, wanted)
				}
			}
		}
	})
}

// Guards against dropping live targets whose leases expired during a platform outage, so
// that they are missing from the platform's list after it. They stay in use for the time in
// which they renew, and are dropped afterwards if they don't.
func TestExpiredTargetsGetGracePeriod(t *testing.T) {
	view := NewView()
	target := Target{ID: "i", Service: "s", State: Ready, Revision: 5}
	assert.NilError(t, view.Apply(start, &Update{Targets: []Target{target}}))
	listing := &Update{Complete: true, Revision: 9}
	view.AddImplied(listing, SuspectGrace)
	assert.Equal(t, len(listing.Removed), 1)
	assert.NilError(t, view.Apply(start, listing))
	assert.Assert(t, view.Members()["i"].Usable(start.Add(time.Second)))
	assert.Assert(t, !view.Members()["i"].Usable(start.Add(SuspectGrace)))
	target.Revision = 12
	assert.NilError(t, view.Apply(start.Add(time.Second), &Update{Targets: []Target{target}}))
	assert.Assert(t, view.Members()["i"].Usable(start.Add(time.Hour)))
}

// Guards against a grace period that restarts on each node: the removal of an entry is
// forwarded through two nodes, late. The last node must not use the target for longer than
// the first.
func TestGracePeriodStartsAtFirstRemoval(t *testing.T) {
	views := []*View{NewView(), NewView(), NewView()}
	target := Target{ID: "i", Service: "s", State: Ready, Revision: 5}
	for _, view := range views {
		assert.NilError(t, view.Apply(start, &Update{Targets: []Target{target}}))
	}
	listing := &Update{Complete: true, Revision: 9}
	views[0].AddImplied(listing, SuspectGrace)
	assert.NilError(t, views[0].Apply(start, listing))
	now := start
	for i, view := range views[1:] {
		now = now.Add(SuspectGrace * 2 / 5)
		update, _ := views[i].Since(now, Position{})
		assert.NilError(t, view.Apply(now, update))
	}
	last := views[2].Members()["i"]
	assert.Assert(t, last.Usable(start.Add(SuspectGrace-time.Millisecond)))
	assert.Assert(t, !last.Usable(start.Add(SuspectGrace)))
	now = start.Add(SuspectGrace)
	update, _ := views[0].Since(now, Position{})
	view := NewView()
	assert.NilError(t, view.Apply(start, &Update{Targets: []Target{target}}))
	assert.NilError(t, view.Apply(now, update))
	assert.Equal(t, len(view.Members()), 0)
}

// Guards against restoring a departed target if its old entry arrives after its removal
// because they took different paths.
func TestReorderedUpdatesRestoreNoTarget(t *testing.T) {
	view := NewView()
	target := Target{ID: "i", State: Ready, Revision: 5}
	assert.NilError(t, view.Apply(start, &Update{Targets: []Target{target}}))
	assert.NilError(t, view.Apply(start, &Update{Removed: []Removal{{ID: "i", Revision: 7}}}))
	assert.NilError(t, view.Apply(start, &Update{Targets: []Target{target}}))
	assert.Equal(t, len(view.Members()), 0)
}

// Guards against sending a neighbour a change twice, or data that it already holds.
func TestNeighbourGetsOnlyMissingData(t *testing.T) {
	view := NewView()
	assert.NilError(t, view.Apply(start, &Update{Config: Diff(nil, config(1, route("a", "h", "/a/"))), Targets: []Target{{ID: "i", State: Ready, Revision: 1}}}))
	update, position := view.Since(start, Position{})
	assert.Equal(t, len(update.Config.Changed), 1)
	assert.Equal(t, len(update.Targets), 1)
	update, position = view.Since(start, position)
	assert.Assert(t, update.Empty())
	next := config(2, route("a", "h", "/a/"), route("b", "h", "/b/"))
	assert.NilError(t, view.Apply(start, &Update{Config: Diff(position.Config, next)}))
	update, _ = view.Since(start, position)
	assert.Equal(t, update.Config.Base, uint64(1))
	assert.Equal(t, len(update.Config.Changed), 1)
	assert.Equal(t, len(update.Targets), 0)
}

// Guards against requests to old entries after a power loss of a fleet: each address has
// the entry of the target that runs there now, and an old one whose lease has not expired.
// A target whose address now belongs to another service must not get requests either.
func TestStaleAddressEntryGetsNoRequests(t *testing.T) {
	view := NewView()
	assert.NilError(t, view.Apply(start, &Update{Targets: []Target{
		{ID: "old", Service: "s", Address: "a:1", State: Ready, Revision: 5},
		{ID: "new", Service: "s", Address: "a:1", State: Ready, Revision: 8},
		{ID: "other", Service: "s", Address: "b:1", State: Ready, Revision: 6},
		{ID: "reused", Service: "t", Address: "b:1", State: Draining, Revision: 9},
	}}))
	ready := view.ReadyByService()
	assert.Equal(t, len(ready["s"]), 1)
	assert.Equal(t, ready["s"][0].ID, "new")
	assert.Equal(t, len(ready["t"]), 0)
}

// Guards against requests to a target that drains, whatever the clock of its VM says of its start.
// A late write of an ended process keeps requests from the target only until it writes again.
func TestNewestEntryThatDrainsIsBelieved(t *testing.T) {
	view := NewView()
	for i, entry := range []struct {
		state   TargetState
		started int64
		usable  int
	}{
		{Ready, 100, 1},
		{Ready, 200, 1},
		{Draining, 100, 0},
		{Ready, 200, 1},
		{Ready, 150, 1},
		{Draining, 150, 0},
		{Draining, 200, 0},
	} {
		target := Target{ID: "i", Service: "s", Address: "a:1", State: entry.state, Started: entry.started, Revision: uint64(i) + 1}
		assert.NilError(t, view.Apply(start, &Update{Targets: []Target{target}}))
		assert.Equal(t, len(view.ReadyByService()["s"]), entry.usable, "%v", entry)
	}
}

// Guards against a late write of an ended process that changes what is known of the running one.
func TestLateReadyWriteIsIgnored(t *testing.T) {
	view := NewView()
	running := Target{ID: "i", Service: "s", Address: "a:1", Slots: 8, State: Ready, Started: 200, Revision: 8}
	late := Target{ID: "i", Service: "s", Address: "a:2", Slots: 4, State: Ready, Started: 100, Revision: 9}
	assert.NilError(t, view.Apply(start, &Update{Targets: []Target{running}}))
	assert.NilError(t, view.Apply(start, &Update{Targets: []Target{late}}))
	assert.Equal(t, view.Members()["i"].Target, running)
}

// Guards against a late write of an ended process under another id: it reaches the platform
// after the new process at the same address has registered. Requests go to the new one.
func TestLateWriteDoesNotTakeOverAddress(t *testing.T) {
	view := NewView()
	assert.NilError(t, view.Apply(start, &Update{Targets: []Target{
		{ID: "old", Service: "s", Address: "a:1", State: Ready, Started: 100, Revision: 9},
		{ID: "new", Service: "s", Address: "a:1", State: Ready, Started: 200, Revision: 8},
	}}))
	ready := view.ReadyByService()["s"]
	assert.Equal(t, len(ready), 1)
	assert.Equal(t, ready[0].ID, "new")
}

// Guards against treating a view that is old because its updates are late as a platform
// outage. Only a failed read indicates an outage.
func TestViewAgeAloneIsNoOutage(t *testing.T) {
	for _, test := range []struct {
		desc        string
		age, failed time.Duration
		want        bool
	}{
		{"late update", 4 * time.Second, 0, false},
		{"a failed read, and leases still run", time.Second, 500 * time.Millisecond, false},
		{"a failed read, and leases have run out", 4 * time.Second, time.Second, true},
		{"a read failed before the view was current", 4 * time.Second, 5 * time.Second, false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			view := NewView()
			assert.NilError(t, view.Apply(start, &Update{Age: test.age}))
			if test.failed > 0 {
				view.RecordFailedRead(start.Add(-test.failed))
			}
			assert.Equal(t, view.Outage(start), test.want)
			update, _ := view.Since(start, Position{})
			neighbour := NewView()
			assert.NilError(t, neighbour.Apply(start, update))
			assert.Equal(t, neighbour.Outage(start), test.want, "received from a neighbour")
		})
	}
}

// Guards against late requests to a target that had been draining long before a new node
// first received its entry.
func TestDrainingStartTime(t *testing.T) {
	ready := Target{ID: "i", State: Ready, Revision: 5}
	draining := Target{ID: "i", State: Draining, Revision: 6}
	dated := draining
	dated.DrainingFor = time.Second
	for _, test := range []struct {
		desc   string
		update []Target
		since  time.Duration
	}{
		{"it was ready before", []Target{ready, draining}, 0},
		{"a neighbour reports since when", []Target{ready, dated}, time.Second},
		{"unknown before, a neighbour reports since when", []Target{dated}, time.Second},
		{"unknown before", []Target{draining}, removalRetention},
	} {
		t.Run(test.desc, func(t *testing.T) {
			view := NewView()
			assert.NilError(t, view.Apply(start, &Update{Targets: test.update}))
			assert.Equal(t, start.Sub(view.Members()["i"].DrainingSince), test.since)
		})
	}
}

// Guards against feeds that resend data that a neighbour already holds, and against feeds
// that omit newer data.
func TestNeighbourGetsDataNewerThanCheckpoint(t *testing.T) {
	view := NewView()
	assert.NilError(t, view.Apply(start, &Update{
		Config:   Diff(nil, config(1, route("a", "h", "/a/"))),
		Targets:  []Target{{ID: "i", State: Ready, Revision: 3}, {ID: "j", State: Ready, Revision: 5}, {ID: "k", State: Ready, Revision: 6}},
		Revision: 6,
	}))
	assert.NilError(t, view.Apply(start, &Update{Removed: []Removal{{ID: "i", Revision: 7}}, Revision: 7}))
	for _, test := range []struct {
		desc             string
		held             Checkpoint
		targets, removed int
		config           bool
	}{
		{"holds nothing", Checkpoint{}, 2, 1, true},
		{"holds an older revision", Checkpoint{Version: 1, Revision: 5}, 1, 1, false},
		{"holds everything but the last change", Checkpoint{Version: 1, Revision: 6}, 0, 1, false},
		{"holds everything", view.Checkpoint(), 0, 0, false},
		{"holds more", Checkpoint{Version: 2, Revision: 9}, 0, 0, true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			update, position := view.Since(start, view.PositionFor(test.held))
			assert.Equal(t, len(update.Targets), test.targets)
			assert.Equal(t, len(update.Removed), test.removed)
			assert.Equal(t, update.Config != nil, test.config)
			assert.Equal(t, update.Revision, uint64(7))
			update, _ = view.Since(start, position)
			assert.Assert(t, update.Empty())
		})
	}
}

// Guards against a view that is marked complete up to a revision although a part of the
// update could not be applied.
func TestViewIsCompleteOnlyAfterFullUpdate(t *testing.T) {
	view := NewView()
	err := view.Apply(start, &Update{Config: &ConfigDelta{Base: 4, Version: 5}, Revision: 9})
	assert.ErrorIs(t, err, ErrUnknownBase)
	assert.Equal(t, view.Revision(), uint64(0))
	assert.NilError(t, view.Apply(start, &Update{Revision: 9}))
	assert.Equal(t, view.Revision(), uint64(9))
}
