package mesh

import (
	"cmp"
	"slices"
	"time"
)

// Position is how far a neighbour has been updated: the configuration that it holds and the
// generation of this view up to which it has received changes.
type Position struct {
	Config     *Config
	Generation uint64
	// sending is the configuration that is being sent, nil for none, and sentParts the
	// number of its parts that were sent.
	sending   *Config
	sentParts int
	// Revision is the platform revision up to which the neighbour held all changes before
	// it received any update.
	Revision uint64
	// held is the platform revision up to which the neighbour holds all changes.
	held uint64
}

// Checkpoint is the state that a neighbour reports when it opens a feed.
type Checkpoint struct {
	// Version is the version of the neighbour's configuration, Revision the platform
	// revision up to which it holds all changes. Zero means none.
	Version, Revision uint64
}

// Checkpoint returns the checkpoint of this view.
func (v *View) Checkpoint() Checkpoint { return Checkpoint{Version: v.Version(), Revision: v.revision} }

// PositionFor returns the initial position of a neighbour that reported a checkpoint.
func (v *View) PositionFor(checkpoint Checkpoint) Position {
	position := Position{Revision: checkpoint.Revision, held: checkpoint.Revision}
	if v.table != nil && v.Version() == checkpoint.Version {
		position.Config = v.table.Config
	}
	return position
}

// covers reports whether the neighbour holds a change, given the view's generation and the
// platform's revision of the change.
func (p *Position) covers(generation, revision uint64) bool {
	return generation <= p.Generation || p.Revision > 0 && revision <= p.Revision
}

// Since returns the update that the neighbour lacks, and its position afterwards. A large
// configuration change is sent in parts, one per call. Other changes are sent before the
// next part, so that a departure doesn't wait for a configuration.
func (v *View) Since(now time.Time, position Position) (*Update, Position) {
	update := &Update{Age: v.MembersAge(now), RTT: v.rtt, Revision: v.revision, ConfigPending: v.membersCurrentAt.After(v.currentAt)}
	if v.ReadFailed() {
		update.FailedReadAge = max(1, now.Sub(v.failedReadAt))
	}
	if position.held < v.recordedSince {
		v.complete(update, position)
	}
	if position.Generation != v.generation || update.Complete {
		update.Targets = v.targetsSince(now, position)
		update.Removed = v.removedSince(now, position)
		update.Evacuations = v.evacuationsSince(position, update.Complete)
		position.Generation = v.generation
		position.Revision = 0
	}
	position.held = max(position.held, v.revision)
	update.Config, position = v.nextPart(position)
	update.ConfigPending = update.ConfigPending || position.Pending()
	return update, position
}

// complete prepares an update for a neighbour that may hold targets or evacuations of whose end
// this view has no record, because this process has read the platform only later, or has dropped
// the record since. Until the view itself is complete, the update claims nothing.
func (v *View) complete(update *Update, position Position) {
	if v.revision < v.recordedSince {
		update.Age, update.Revision = -1, 0
		return
	}
	update.Complete, update.RecordedSince = true, v.recordedSince
	for id, member := range v.members {
		if position.covers(member.generation, member.Revision) && member.UsableUntil.IsZero() {
			update.Unchanged = append(update.Unchanged, id)
		}
	}
	slices.Sort(update.Unchanged)
}

// Pending reports whether parts of a configuration remain to be sent.
func (p *Position) Pending() bool { return p.sending != nil }

// nextPart returns the next part of the configuration that the neighbour lacks, or nil. If
// the configuration was replaced before all its parts were sent, its remaining parts are
// skipped.
func (v *View) nextPart(position Position) (*ConfigDelta, Position) {
	if v.table == nil || v.table.Config == position.Config {
		position.sending = nil
		return nil, position
	}
	if position.sending != v.table.Config {
		position.sending, position.sentParts = v.table.Config, 0
	}
	parts := v.deltaFrom(position.Config)
	part := parts[position.sentParts]
	position.sentParts++
	if position.sentParts == len(parts) {
		position.Config, position.sending = v.table.Config, nil
	}
	return part, position
}

// targetsSince returns the targets that changed after a position, sorted by id.
func (v *View) targetsSince(now time.Time, position Position) []Target {
	var targets []Target
	for _, member := range v.members {
		if position.covers(member.generation, member.Revision) || !member.UsableUntil.IsZero() {
			continue
		}
		target := member.Target
		target.WarmupRemaining = max(0, member.WarmAt.Sub(now))
		target.UnconfirmedFor = max(0, member.UsableFrom.Sub(now))
		if target.State == Draining {
			target.DrainingFor = now.Sub(member.DrainingSince)
		}
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return targets
}

// removedSince returns the removals after a position, sorted by id.
func (v *View) removedSince(now time.Time, position Position) []Removal {
	var removals []Removal
	for _, removed := range v.removed {
		if position.covers(removed.generation, removed.Revision) {
			continue
		}
		// The grace period runs from the time at which the removal was first reported. When
		// each node restarted it on forwarding the removal, the last nodes used a departed
		// target for longer than operators allow.
		removal := removed.Removal
		removal.Grace = max(0, removal.Grace-now.Sub(removed.at))
		removals = append(removals, removal)
	}
	slices.SortFunc(removals, func(a, b Removal) int { return cmp.Compare(a.ID, b.ID) })
	return removals
}

// cachedDelta is the delta between two configurations, in parts.
type cachedDelta struct {
	from, to *Config
	parts    []*ConfigDelta
}

// maxCachedDeltas is how many deltas are cached: neighbours request a change at about the
// same time, from a few versions.
const maxCachedDeltas = 4

// deltaFrom returns the delta, in parts, from a configuration (nil for none) to the active
// one. The result is shared between neighbours and must not be modified.
func (v *View) deltaFrom(from *Config) []*ConfigDelta {
	to := v.table.Config
	for _, s := range v.deltas {
		if s.from == from && s.to == to {
			return s.parts
		}
	}
	if len(v.deltas) == maxCachedDeltas {
		v.deltas = slices.Delete(v.deltas, 0, 1)
	}
	parts := Diff(from, to).Split()
	v.deltas = append(v.deltas, cachedDelta{from, to, parts})
	return parts
}
