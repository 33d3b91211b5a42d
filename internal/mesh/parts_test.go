package mesh

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func manyRoutes(count int, prefix string) []Route {
	made := make([]Route, count)
	for i := range made {
		made[i] = route(fmt.Sprint("r", i), "h", fmt.Sprintf("/%s%d/", prefix, i))
	}
	return made
}

// Guards against a partially applied configuration, or one assembled from parts of
// different deltas: several neighbours send the parts of several deltas at the same time,
// each in order.
func TestPartsApplyCompletelyOrNotAtAll(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		versions := []*Config{
			config(1, manyRoutes(random.IntN(600), "a")...),
			config(2, manyRoutes(random.IntN(600), "b")...),
			config(3, manyRoutes(random.IntN(600), "c")...),
		}
		var feeds [][]*ConfigDelta
		for range 2 {
			feeds = append(feeds, Diff(versions[0], versions[1]).Split(), Diff(versions[0], versions[2]).Split(), Diff(nil, versions[2]).Split())
		}
		view := NewView()
		assert.NilError(t, view.Apply(start, &Update{Config: Diff(nil, versions[0])}))
		for len(feeds) > 0 {
			i := random.IntN(len(feeds))
			part := feeds[i][0]
			feeds[i] = feeds[i][1:]
			assert.NilError(t, view.Apply(start, &Update{Config: part, ConfigPending: len(feeds[i]) > 0}))
			if len(feeds[i]) == 0 {
				feeds = slices.Delete(feeds, i, i+1)
			}
			active := view.Table().Config
			complete := versions[active.Version-1]
			assert.Equal(t, len(active.Routes), len(complete.Routes))
			want := map[string]Route{}
			for _, route := range complete.Routes {
				want[route.Name] = route
			}
			for _, route := range active.Routes {
				other := want[route.Name]
				assert.Assert(t, route.Equal(&other))
			}
		}
		assert.Equal(t, view.Version(), uint64(3))
	}
}

// Guards against a departure that is not sent until a large configuration has been sent.
func TestDepartureIsSentBetweenParts(t *testing.T) {
	view := NewView()
	assert.NilError(t, view.Apply(start, &Update{
		Config: Diff(nil, config(1, manyRoutes(1400, "a")...)), Targets: []Target{{ID: "i", State: Ready, Revision: 3}}, Revision: 3,
	}))
	update, position := view.Since(start, view.PositionFor(Checkpoint{}))
	assert.Equal(t, len(update.Targets), 1)
	assert.Assert(t, update.ConfigPending && position.Pending())
	assert.Assert(t, len(update.Config.Changed) <= routesPerPart)
	assert.NilError(t, view.Apply(start, &Update{Removed: []Removal{{ID: "i", Revision: 4}}, Revision: 4}))
	update, position = view.Since(start, position)
	assert.Equal(t, len(update.Removed), 1)
	for position.Pending() {
		update, position = view.Since(start, position)
		assert.Equal(t, len(update.Removed), 0)
	}
	assert.Assert(t, !update.ConfigPending)
	assert.Equal(t, update.Config.Part+1, update.Config.Parts)
}

// Guards against a view that counts as current although parts of the configuration are
// missing.
func TestViewIsNotCurrentBeforeTheLastPart(t *testing.T) {
	from, to := NewView(), NewView()
	assert.NilError(t, from.Apply(start, &Update{Config: Diff(nil, config(1, manyRoutes(300, "a")...)), Revision: 7}))
	position := from.PositionFor(Checkpoint{})
	for {
		update, next := from.Since(start, position)
		assert.NilError(t, to.Apply(start, update))
		position = next
		if !position.Pending() {
			break
		}
		assert.Assert(t, to.Age(start) < 0)
		assert.Equal(t, to.Revision(), uint64(0))
	}
	assert.Equal(t, to.Age(start), from.Age(start))
	assert.Equal(t, to.Checkpoint(), from.Checkpoint())
}

// Guards against a new version that is not sent until the rest of the one it replaces has
// been sent.
func TestNewVersionInterruptsOldTransfer(t *testing.T) {
	view := NewView()
	assert.NilError(t, view.Apply(start, &Update{Config: Diff(nil, config(1, manyRoutes(1400, "a")...))}))
	_, position := view.Since(start, view.PositionFor(Checkpoint{}))
	assert.NilError(t, view.Apply(start, &Update{Config: Diff(nil, config(2, manyRoutes(3, "b")...))}))
	update, position := view.Since(start, position)
	assert.Equal(t, update.Config.Version, uint64(2))
	assert.Assert(t, !position.Pending() && !update.ConfigPending)
}

// Guards against a faulty neighbour that makes this node allocate memory for an unbounded
// number of parts.
func TestTooManyPartsAreRefused(t *testing.T) {
	view := NewView()
	assert.ErrorIs(t, view.Apply(start, &Update{Config: &ConfigDelta{Version: 1, Parts: 1 << 30}}), ErrInvalidParts)
	for version := range uint64(20) {
		assert.NilError(t, view.Apply(start, &Update{Config: &ConfigDelta{Version: version + 1, Parts: 2}, ConfigPending: true}))
	}
	assert.Equal(t, len(view.assemblies), maxAssemblies)
	assert.NilError(t, view.Apply(start, &Update{Config: &ConfigDelta{Version: 20, Parts: 2, Part: -1}, ConfigPending: true}))
}

// Guards against a configuration that lacks routes, for which callers get 404: two
// neighbours hold the routes of one version in different orders, one as listed by the
// platform and one as assembled from deltas, and each sends some of the parts.
func TestPartsOfTwoNeighboursCombine(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		first := config(1, manyRoutes(600, "a")...)
		listed := config(2, manyRoutes(700, "b")...)
		shuffled := config(2, append([]Route(nil), listed.Routes...)...)
		random.Shuffle(len(shuffled.Routes), func(i, j int) {
			shuffled.Routes[i], shuffled.Routes[j] = shuffled.Routes[j], shuffled.Routes[i]
		})
		view := NewView()
		assert.NilError(t, view.Apply(start, &Update{Config: Diff(nil, first)}))
		one, other := Diff(first, listed).Split(), Diff(first, shuffled).Split()
		for i := range one {
			if part := one[i]; random.IntN(2) == 0 {
				assert.NilError(t, view.Apply(start, &Update{Config: part, ConfigPending: true}))
			} else {
				assert.NilError(t, view.Apply(start, &Update{Config: other[i], ConfigPending: true}))
			}
		}
		assert.Equal(t, view.Version(), uint64(2))
		for _, route := range listed.Routes {
			assert.Assert(t, view.Table().Route(route.Host, route.Prefix) != nil, "%s", route.Name)
		}
	}
}

// Guards against a view that counts as current without the configuration, because parts
// were lost or belong to another split.
func TestMissingPartsCauseFeedError(t *testing.T) {
	delta := Diff(nil, config(1, manyRoutes(300, "a")...))
	parts := delta.Split()
	assert.Equal(t, len(parts), 3)
	for _, test := range []struct {
		desc string
		sent []*ConfigDelta
	}{
		{"the first is missing", parts[1:]},
		{"the last alone", parts[2:]},
		{"one belongs to another split", []*ConfigDelta{parts[0], {Version: 1, Part: 1, Parts: 3, Changed: parts[0].Changed}, parts[2]}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			view := NewView()
			var err error
			for i, part := range test.sent {
				err = view.Apply(start, &Update{Config: part, ConfigPending: i+1 < len(test.sent), Revision: 5})
			}
			assert.ErrorIs(t, err, ErrInvalidParts)
			assert.Assert(t, view.Age(start) < 0 && view.Table() == nil)
			assert.Equal(t, view.Revision(), uint64(0))
			for i, part := range parts {
				assert.NilError(t, view.Apply(start, &Update{Config: part, ConfigPending: i < 2}))
			}
			assert.Equal(t, view.Version(), uint64(1))
		})
	}
}
