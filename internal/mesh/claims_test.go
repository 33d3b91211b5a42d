package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// storeState is the platform's contents at one revision.
type storeState struct {
	targets     map[string]uint64
	evacuations map[string]uint64
	config      *Config
}

// modelRoutes holds the routes of a configuration that is sent whole, and of one that is sent in
// parts.
var modelRoutes = [][]Route{{route("r", "h", "/r/")}, manyRoutes(routesPerPart+1, "/")}

// claimsModel is a platform and views that read it and follow each other. Messages of a feed
// may be delivered late, and feeds, processes and the records of removals may end at any moment.
type claimsModel struct {
	now time.Time
	// states holds the platform's contents by revision, reachedAt the time of each revision.
	states    []storeState
	reachedAt []time.Time
	// compacted is the revision up to which the platform has dropped its history.
	compacted uint64
	views     []*View
	feeds     map[[2]int]*modelFeed
}

// modelFeed is the feed from one view to another, with the messages that are in transit.
type modelFeed struct {
	position Position
	messages []modelMessage
}

type modelMessage struct {
	sent   time.Time
	update *Update
}

func newClaimsModel(views int) *claimsModel {
	m := &claimsModel{now: start, feeds: map[[2]int]*modelFeed{}}
	m.commit(storeState{targets: map[string]uint64{}, evacuations: map[string]uint64{}, config: config(1)})
	for range views {
		m.views = append(m.views, NewView())
	}
	return m
}

func (m *claimsModel) revision() uint64 { return uint64(len(m.states)) }

// at returns the platform's contents at a revision, counted from 1.
func (m *claimsModel) at(revision uint64) storeState { return m.states[revision-1] }

func (m *claimsModel) commit(state storeState) {
	m.states = append(m.states, state)
	m.reachedAt = append(m.reachedAt, m.now)
}

// change makes one change at the platform.
func (m *claimsModel) change(t *rapid.T) {
	last, next := m.at(m.revision()), storeState{targets: map[string]uint64{}, evacuations: map[string]uint64{}}
	for id, revision := range last.targets {
		next.targets[id] = revision
	}
	for domain, revision := range last.evacuations {
		next.evacuations[domain] = revision
	}
	next.config = last.config
	id := fmt.Sprint("i", rapid.IntRange(0, 1).Draw(t, "item"))
	switch rapid.SampledFrom([]string{"put", "remove", "evacuate", "return", "configure"}).Draw(t, "change") {
	case "put":
		next.targets[id] = m.revision() + 1
	case "remove":
		delete(next.targets, id)
	case "evacuate":
		next.evacuations[id] = m.revision() + 1
	case "return":
		delete(next.evacuations, id)
	case "configure":
		next.config = config(last.config.Version+1, rapid.SampledFrom(modelRoutes).Draw(t, "routes")...)
	}
	m.commit(next)
}

// contents returns the platform's targets and evacuations for a complete update.
func (m *claimsModel) contents(revision uint64) *Update {
	state := m.at(revision)
	update := &Update{Config: Diff(nil, state.config), Revision: revision, Complete: true, RecordedSince: revision}
	for id, changed := range state.targets {
		update.Targets = append(update.Targets, Target{ID: id, State: Ready, Revision: changed})
	}
	for domain, changed := range state.evacuations {
		update.Evacuations = append(update.Evacuations, Evacuation{FailureDomain: domain, Active: true, Revision: changed})
	}
	return update
}

// changesAfter returns the changes of a watch.
func (m *claimsModel) changesAfter(revision uint64) *Update {
	update := &Update{Revision: m.revision()}
	for r := revision + 1; r <= m.revision(); r++ {
		before, after := m.at(r-1), m.at(r)
		if after.config != before.config {
			update.Config = Diff(nil, after.config)
		}
		for id, changed := range after.targets {
			if changed == r {
				update.Targets = append(update.Targets, Target{ID: id, State: Ready, Revision: r})
			}
		}
		for id := range before.targets {
			if _, ok := after.targets[id]; !ok {
				update.Removed = append(update.Removed, Removal{ID: id, Revision: r})
			}
		}
		for domain, changed := range after.evacuations {
			if changed == r {
				update.Evacuations = append(update.Evacuations, Evacuation{FailureDomain: domain, Active: true, Revision: r})
			}
		}
		for domain := range before.evacuations {
			if _, ok := after.evacuations[domain]; !ok {
				update.Evacuations = append(update.Evacuations, Evacuation{FailureDomain: domain, Revision: r})
			}
		}
	}
	return update
}

func (m *claimsModel) apply(i int, sent time.Time, update *Update) error {
	if update.Complete {
		m.views[i].AddImplied(update, 0)
	}
	return m.views[i].Apply(sent, update)
}

// read lists the platform, or watches it if the view allows.
func (m *claimsModel) read(t *rapid.T, i int) {
	view := m.views[i]
	if revision := view.Revision(); revision > m.compacted {
		assert.NilError(t, m.apply(i, m.now, m.changesAfter(revision)))
		return
	}
	assert.NilError(t, m.apply(i, m.now, m.contents(m.revision())))
}

// readStale lists the platform's contents of some time ago.
func (m *claimsModel) readStale(t *rapid.T, i int) {
	update := m.contents(rapid.Uint64Range(1, m.revision()).Draw(t, "stale revision"))
	update.Age = -1
	assert.NilError(t, m.apply(i, m.now, update))
}

func (m *claimsModel) send(from, to int) {
	feed := m.feeds[[2]int{from, to}]
	if feed == nil {
		feed = &modelFeed{position: m.views[from].PositionFor(m.views[to].Checkpoint())}
		m.feeds[[2]int{from, to}] = feed
	}
	var update *Update
	update, feed.position = m.views[from].Since(m.now, feed.position)
	feed.messages = append(feed.messages, modelMessage{m.now, update})
}

// deliver delivers the first message of a feed. The feed breaks if it can't be applied.
func (m *claimsModel) deliver(from, to int) {
	feed := m.feeds[[2]int{from, to}]
	if feed == nil || len(feed.messages) == 0 {
		return
	}
	message := feed.messages[0]
	feed.messages = feed.messages[1:]
	if m.apply(to, message.sent, message.update) != nil {
		delete(m.feeds, [2]int{from, to})
	}
}

func (m *claimsModel) restart(i int) {
	m.views[i] = NewView()
	for ends := range m.feeds {
		if slices.Contains(ends[:], i) {
			delete(m.feeds, ends)
		}
	}
}

// checkClaims fails if a view lacks a change that it claims to hold.
func (m *claimsModel) checkClaims(t *rapid.T) {
	for i, view := range m.views {
		m.checkHeld(t, fmt.Sprint("view ", i, " by its revision"), view, view.Revision())
		if view.Age(m.now) >= 0 {
			m.checkHeld(t, fmt.Sprint("view ", i, " by its age"), view, m.revisionAt(m.now.Add(-view.Age(m.now))))
		}
	}
}

// revisionAt returns the platform's revision before a time.
func (m *claimsModel) revisionAt(at time.Time) uint64 {
	revision := uint64(0)
	for i, reached := range m.reachedAt {
		if reached.Before(at) {
			revision = uint64(i) + 1
		}
	}
	return revision
}

func (m *claimsModel) checkHeld(t *rapid.T, claim string, view *View, revision uint64) {
	if revision == 0 {
		return
	}
	if view.Version() < m.at(revision).config.Version {
		t.Fatalf("%s holds %d, but has version %d and not %d", claim, revision, view.Version(), m.at(revision).config.Version)
	}
	for id, member := range view.Members() {
		if _, ok := m.at(revision).targets[id]; !ok && member.Revision <= revision {
			t.Fatalf("%s holds %d, but has target %s of revision %d, which is gone", claim, revision, id, member.Revision)
		}
	}
	for id, changed := range m.at(revision).targets {
		member := view.Members()[id]
		if member == nil && m.remains(revision, func(s storeState) bool { return s.targets[id] > 0 }) || member != nil && member.Revision < changed {
			t.Fatalf("%s holds %d, but lacks target %s of revision %d", claim, revision, id, changed)
		}
	}
	for _, domain := range view.Evacuations() {
		if _, ok := m.at(revision).evacuations[domain]; !ok && view.evacuations[domain].Revision <= revision {
			t.Fatalf("%s holds %d, but evacuates %s", claim, revision, domain)
		}
	}
	for domain := range m.at(revision).evacuations {
		if !view.Evacuated(domain) && m.remains(revision, func(s storeState) bool { return s.evacuations[domain] > 0 }) {
			t.Fatalf("%s holds %d, but doesn't evacuate %s", claim, revision, domain)
		}
	}
}

// remains reports whether a condition has held at the platform since a revision.
func (m *claimsModel) remains(since uint64, holds func(storeState) bool) bool {
	for r := since; r <= m.revision(); r++ {
		if !holds(m.at(r)) {
			return false
		}
	}
	return true
}

// A view claims to hold all changes up to a revision of the platform, or as of a time. Guards
// against targets, evacuations and versions that no longer exist staying in use in a view that
// counts as current, whatever restarts, dropped records, lost feeds and late messages there are.
func TestViewsHoldWhatTheyClaim(t *testing.T) {
	// Some of the faults need over a thousand sequences to show.
	const checks = 20
	for range checks {
		rapid.Check(t, checkSequence)
	}
}

// checkSequence checks the claims after each step of a random sequence.
func checkSequence(t *rapid.T) {
	m := newClaimsModel(rapid.IntRange(2, 3).Draw(t, "views"))
	node := func(label string) int { return rapid.IntRange(0, len(m.views)-1).Draw(t, label) }
	steps := map[string]func(){
		"change":     func() { m.change(t) },
		"read":       func() { m.read(t, node("reader")) },
		"read stale": func() { m.readStale(t, node("reader")) },
		"send":       func() { m.send(node("from"), node("to")) },
		"deliver":    func() { m.deliver(node("from"), node("to")) },
		"exchange": func() {
			from, to := node("from"), node("to")
			m.send(from, to)
			for feed := m.feeds[[2]int{from, to}]; feed != nil && len(feed.messages) > 0; feed = m.feeds[[2]int{from, to}] {
				m.deliver(from, to)
			}
		},
		"lose feed":    func() { delete(m.feeds, [2]int{node("from"), node("to")}) },
		"restart":      func() { m.restart(node("restarted")) },
		"compact":      func() { m.compacted = m.revision() },
		"drop records": func() { m.now = m.now.Add(removalRetention + time.Second) },
	}
	names := []string{"change", "change", "read", "read stale", "send", "deliver", "exchange", "exchange", "lose feed", "restart", "compact", "drop records"}
	for range rapid.IntRange(10, 60).Draw(t, "steps") {
		m.now = m.now.Add(10 * time.Millisecond)
		steps[rapid.SampledFrom(names).Draw(t, "step")]()
		m.checkClaims(t)
	}
}
