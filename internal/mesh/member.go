package mesh

import "time"

const (
	// DefaultReportInterval is the time between two writes of a target's entry if the settings
	// name none.
	DefaultReportInterval = 1500 * time.Millisecond
	// confirmIntervals is how many report intervals a ready entry must stand before it ends the
	// draining of a target. A running process writes its entry in each interval, and the platform
	// removes that of a silent one after three.
	confirmIntervals = 3
)

// Member is a target in a node's view.
type Member struct {
	Target
	// WarmAt is when the target reaches its full speed.
	WarmAt time.Time
	// UsableUntil is set if the entry was removed and its target stays in use for a grace
	// period; zero otherwise.
	UsableUntil time.Time
	// UsableFrom is set if a ready entry followed a draining one and may be a late write: when it
	// counts, unless the target drains again before; zero otherwise.
	UsableFrom time.Time
	// DrainingSince is when the first node learned that the target drains.
	DrainingSince time.Time
	// latestStart is the latest start of all processes known under the target's id, as in Target.
	latestStart int64
	generation  uint64
}

// Usable reports whether the target may receive new requests.
func (m *Member) Usable(now time.Time) bool {
	return m.State == Ready && !now.Before(m.UsableFrom) && (m.UsableUntil.IsZero() || now.Before(m.UsableUntil))
}

func (v *View) applyTarget(sent time.Time, target *Target) {
	if target.Revision <= v.membersRevision {
		// The view holds the entry, or a later change of it: also if that is a removal whose
		// record was dropped.
		return
	}
	if removed, ok := v.removed[target.ID]; ok && removed.Revision >= target.Revision {
		return
	}
	known := v.members[target.ID]
	if known != nil && (known.Revision >= target.Revision || isLateWrite(known, target)) {
		return
	}
	v.generation++
	next := &Member{Target: *target, latestStart: target.Started, generation: v.generation}
	if known != nil {
		next.latestStart = max(next.latestStart, known.latestStart)
	}
	if target.WarmupRemaining > 0 {
		next.WarmAt = sent.Add(target.WarmupRemaining)
	}
	if target.State == Draining {
		next.DrainingSince = drainingSince(sent, known, target)
	} else {
		next.UsableFrom = v.usableFrom(sent, known, target)
	}
	delete(v.removed, target.ID)
	v.setMember(target.ID, next)
}

// setMember replaces a target; nil removes it.
func (v *View) setMember(id string, member *Member) {
	v.membersGeneration++
	if member == nil {
		delete(v.members, id)
		return
	}
	v.members[id] = member
}

// drainingSince returns the latest time at which a target may have begun to drain. A target
// that is first seen draining, or whose late ready entry is replaced, without a time, may have
// been draining for a long time, so the result is removalRetention before the time of the
// update.
func drainingSince(sent time.Time, known *Member, target *Target) time.Time {
	switch {
	case known != nil && known.State == Draining:
		return known.DrainingSince
	case target.DrainingFor == 0 && (known == nil || sent.Before(known.UsableFrom)):
		return sent.Add(-removalRetention)
	}
	return sent.Add(-target.DrainingFor)
}

// usableFrom returns when a ready entry counts, or zero if it does at once. A process that drains
// doesn't become ready again. After it, a ready entry is that of a later start, a late write, or that of
// a later start whose clock lies behind. The latter two can't be told apart until the running process
// writes again, or the platform would have removed the entry.
func (v *View) usableFrom(sent time.Time, known *Member, target *Target) time.Time {
	var from time.Time
	if known != nil && target.Started <= known.latestStart {
		from = known.UsableFrom
		if known.State == Draining {
			from = sent.Add(confirmIntervals * v.reportInterval)
		}
	}
	if target.UnconfirmedFor > 0 {
		// The sender may have received the entry earlier than this node.
		if reported := sent.Add(target.UnconfirmedFor); from.IsZero() || reported.Before(from) {
			from = reported
		}
	}
	return from
}

// MemberAt returns the target that started last at an address, or nil.
func (v *View) MemberAt(address string) *Member { return v.latestByAddress()[address] }

// latestByAddress returns the target of a named service that started last at each address. The
// result is recomputed only after a change of members or named services.
func (v *View) latestByAddress() map[string]*Member {
	if v.latest != nil && v.latestGeneration == v.membersGeneration {
		return v.latest
	}
	latest := make(map[string]*Member, len(v.members))
	for _, member := range v.members {
		if !v.Names(member.Service) {
			continue
		}
		if other := latest[member.Address]; other == nil || startedBefore(other, member) {
			latest[member.Address] = member
		}
	}
	v.latest, v.latestGeneration = latest, v.membersGeneration
	return latest
}

// startedBefore reports whether a's process started before b's, both at one address. If a
// start time isn't reported, the entry that was written last counts as the later start.
func startedBefore(a, b *Member) bool {
	if a.Started != 0 && b.Started != 0 && a.Started != b.Started {
		return a.Started < b.Started
	}
	return a.Revision < b.Revision
}

// isLateWrite reports whether an entry that says the same as the known one, that the target is ready,
// seems to be written by an earlier process. The last write of an ended process can reach the platform
// after the first write of the process that reuses its id. A draining entry is never taken for a late
// one: the clock of its VM may have stepped back before the process started. If it is late all the
// same, the target gets no requests until the running process writes again, one report interval later
// at most.
func isLateWrite(known *Member, target *Target) bool {
	return target.State == Ready && known.State == Ready && target.Started != 0 && target.Started < known.Started
}
