package mesh

import (
	"cmp"
	"slices"
	"time"
)

// Position is how far a neighbour has been told: what it holds of the
// configuration, and up to which change of this view.
type Position struct {
	Config     *Config
	Generation uint64
	// sending is the configuration of which so many parts were sent; nil for none.
	sending *Config
	parts   int
	// Revision is the platform's counter up to which the neighbour held every change
	// before it was told anything.
	Revision uint64
}

// Held is what a neighbour says that it holds when it opens a feed.
type Checkpoint struct {
	// Version is that of its configuration, Revision the platform's counter up to which
	// it holds every change; zero where it holds none.
	Version, Revision uint64
}

// Held returns what this view holds.
func (v *View) Checkpoint() Checkpoint { return Checkpoint{Version: v.Version(), Revision: v.complete} }

// After returns the position of a neighbour that holds so much and was told nothing yet.
func (v *View) PositionFor(held Checkpoint) Position {
	position := Position{Revision: held.Revision}
	if v.table != nil && v.Version() == held.Version {
		position.Config = v.table.Config
	}
	return position
}

// told reports whether the neighbour knows of a change of the view that the platform
// counted as a revision.
func (p *Position) told(change, revision uint64) bool {
	return change <= p.Generation || p.Revision > 0 && revision <= p.Revision
}

// Since returns what the neighbour lacks, and its position after that. A large change of
// the configuration comes in parts, one each time: what else changes goes before the next
// one, so that no departure waits for a configuration.
func (v *View) Since(now time.Time, position Position) (*Update, Position) {
	update := &Update{Age: v.Lag(now), RTT: v.rtt, Revision: v.complete, ConfigPending: v.heard.After(v.verified)}
	if v.ReadFailed() {
		update.FailedReadAge = max(1, now.Sub(v.failed))
	}
	if position.Generation != v.change {
		update.Targets = v.targetsSince(now, position)
		update.Removed = v.removedSince(now, position)
		position.Generation = v.change
		position.Revision = 0
	}
	update.Config, position = v.nextPart(position)
	update.ConfigPending = update.ConfigPending || position.Pending()
	return update, position
}

// Pending reports whether parts of a configuration are still to be sent.
func (p *Position) Pending() bool { return p.sending != nil }

// nextPart returns the next part of the configuration that the neighbour lacks, or nil. A
// configuration that was replaced before all its parts were sent is given up.
func (v *View) nextPart(position Position) (*ConfigDelta, Position) {
	if v.table == nil || v.table.Config == position.Config {
		position.sending = nil
		return nil, position
	}
	if position.sending != v.table.Config {
		position.sending, position.parts = v.table.Config, 0
	}
	parts := v.stepFrom(position.Config)
	part := parts[position.parts]
	position.parts++
	if position.parts == len(parts) {
		position.Config, position.sending = v.table.Config, nil
	}
	return part, position
}

// targetsSince returns the targets that changed after a position, by id.
func (v *View) targetsSince(now time.Time, position Position) []Target {
	var targets []Target
	for _, member := range v.members {
		if position.told(member.change, member.Revision) || !member.UsableUntil.IsZero() {
			continue
		}
		target := member.Target
		target.WarmupRemaining = max(0, member.WarmAt.Sub(now))
		if target.State == Draining {
			target.DrainingFor = now.Sub(member.DrainingSince)
		}
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return targets
}

// removedSince returns the removals after a position, by id.
func (v *View) removedSince(now time.Time, position Position) []Removal {
	var removals []Removal
	for _, gone := range v.removed {
		if position.told(gone.change, gone.Revision) {
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
	parts    []*ConfigDelta
}

// keptSteps is how many differences are kept: neighbours ask for a change at about
// the same time, from a few versions.
const keptSteps = 4

// stepFrom returns what turns a configuration, nil for none, into the one in force, in
// parts. Neighbours share the result, which must not be changed.
func (v *View) stepFrom(from *Config) []*ConfigDelta {
	to := v.table.Config
	for _, s := range v.steps {
		if s.from == from && s.to == to {
			return s.parts
		}
	}
	if len(v.steps) == keptSteps {
		v.steps = slices.Delete(v.steps, 0, 1)
	}
	parts := Diff(from, to).Split()
	v.steps = append(v.steps, step{from, to, parts})
	return parts
}
