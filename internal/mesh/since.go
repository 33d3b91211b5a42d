package mesh

import (
	"cmp"
	"slices"
	"time"
)

// Position is how far a neighbour has been told: what it holds of the
// configuration, and up to which change of this view.
type Position struct {
	Config *Config
	Change uint64
}

// Since returns what the neighbour lacks, and its position after that.
func (v *View) Since(now time.Time, position Position) (*Update, Position) {
	update := &Update{Age: v.Age(now), RTT: v.rtt}
	if v.failed.After(v.verified) {
		update.Failed = max(1, now.Sub(v.failed))
	}
	if position.Change == v.change {
		return update, position
	}
	if v.table != nil && v.configChange > position.Change && v.table.Config != position.Config {
		update.Config = v.stepFrom(position.Config)
		position.Config = v.table.Config
	}
	update.Targets = v.targetsSince(now, position.Change)
	update.Removed = v.removedSince(now, position.Change)
	position.Change = v.change
	return update, position
}

// targetsSince returns the targets that changed after a change of the view, by id.
func (v *View) targetsSince(now time.Time, change uint64) []Target {
	var targets []Target
	for _, member := range v.members {
		if member.change <= change || !member.UsableUntil.IsZero() {
			continue
		}
		target := member.Target
		target.Cold = max(0, member.WarmAt.Sub(now))
		if target.State == Draining {
			target.Draining = now.Sub(member.DrainingSince)
		}
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return targets
}

// removedSince returns the removals after a change of the view, by id.
func (v *View) removedSince(now time.Time, change uint64) []Removal {
	var removals []Removal
	for _, gone := range v.removed {
		if gone.change <= change {
			continue
		}
		// The grace runs from the first word of it. Begun anew by each node
		// that passes the word on, it let the last ones use a target that had
		// left for longer than operators allow.
		removal := gone.Removal
		removal.Grace = max(0, removal.Grace-now.Sub(gone.at))
		removals = append(removals, removal)
	}
	slices.SortFunc(removals, func(a, b Removal) int { return cmp.Compare(a.ID, b.ID) })
	return removals
}

// step is the difference of two configurations.
type step struct {
	from, to *Config
	delta    *ConfigDelta
}

// keptSteps is how many differences are kept: neighbours ask for a change at about
// the same time, from a few versions.
const keptSteps = 4

// stepFrom returns what turns a configuration, nil for none, into the one in force.
// Neighbours share the result, which must not be changed.
func (v *View) stepFrom(from *Config) *ConfigDelta {
	to := v.table.Config
	for _, s := range v.steps {
		if s.from == from && s.to == to {
			return s.delta
		}
	}
	if len(v.steps) == keptSteps {
		v.steps = slices.Delete(v.steps, 0, 1)
	}
	delta := Diff(from, to)
	v.steps = append(v.steps, step{from, to, delta})
	return delta
}
