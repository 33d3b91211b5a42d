package mesh

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times of entries that were removed.
const (
	// SuspectGrace is how long a target stays in use whose entry was gone when
	// the platform came back. Its lease may have run out while nobody could
	// renew it; a live target renews it within some two seconds. Dropping all
	// at once would leave a service without targets for that time.
	SuspectGrace = 2 * time.Second
	// lapseAfter is how long the platform must be away at least for a lease to run out.
	lapseAfter = 2500 * time.Millisecond
	// removalMemory is how long a removal is remembered, so that an older
	// entry that comes late on another path doesn't revive the target.
	removalMemory = time.Minute
)

// Member is a target as a node knows it.
type Member struct {
	Target
	// WarmAt is when it has its full speed.
	WarmAt time.Time
	// UsableUntil is set for a suspect removal; zero for entries that stand.
	UsableUntil time.Time
	// DrainingSince is when the first node learned that it drains.
	DrainingSince time.Time
	change        uint64
}

// Usable reports whether new work may go to the target.
func (m *Member) Usable(now time.Time) bool {
	return m.State == Ready && (m.UsableUntil.IsZero() || now.Before(m.UsableUntil))
}

// keptConfigs is how many configurations are kept as bases of deltas. During a
// storm of changes two neighbours send different steps (6 to 8, or 6 to 7 to 8),
// and a step whose base had been dropped would cost the whole configuration.
const keptConfigs = 6

type removed struct {
	Removal
	at     time.Time
	change uint64
}

// View is what a node knows of the mesh. Updates come on several paths, in any
// order and more than once; the highest version or revision wins, so a view
// never goes back. It is not safe for concurrent use.
type View struct {
	table *Table
	// recent holds the last configurations, the one in force included.
	recent  []*Config
	members map[string]*Member
	removed map[string]removed
	// change counts the view's own changes, and tells what a neighbour lacks.
	change uint64
	// membersChange counts the changes of members alone.
	membersChange uint64
	// latest holds the target of the latest start by address, as of latestChange.
	latest       map[string]*Member
	latestChange uint64
	// steps holds the last differences between configurations, assemblies those of
	// which parts have come.
	steps      []step
	assemblies []*assembly
	// verified is the latest time at which the platform is known to have held
	// nothing newer.
	verified time.Time
	// heard is the latest time at which the platform is known to have held nothing newer
	// but a configuration that is on its way here.
	heard time.Time
	// complete is the platform's counter up to which the view holds every change.
	complete uint64
	// rtt is the round trip to the platform of the node that verified it.
	rtt time.Duration
	// failed is the latest time at which a node's read of the platform is known to
	// have failed.
	failed time.Time
}

// NewView returns the view of a process that knows nothing.
func NewView() *View {
	return &View{members: map[string]*Member{}, removed: map[string]removed{}}
}

// Update is what one message or one read of the platform tells.
type Update struct {
	Config  *ConfigDelta `cbor:"c,omitempty"`
	Targets []Target     `cbor:"t,omitempty"`
	Removed []Removal    `cbor:"r,omitempty"`
	// Age is how long ago the sender's view was known to be current, but for a
	// configuration that it doesn't hold yet (More); negative when it never was. RTT is
	// the round trip to the platform of the node that knew it.
	Age time.Duration `cbor:"a"`
	RTT time.Duration `cbor:"w,omitempty"`
	// Failed is how long ago a read of the platform failed last, as far as the sender
	// knows; zero when none has since its view was current.
	FailedReadAge time.Duration `cbor:"f,omitempty"`
	// Revision is the platform's counter up to which the sender holds every change, be
	// its view current or not; zero where it doesn't know.
	Revision uint64 `cbor:"v,omitempty"`
	// More says that a configuration is on its way, to the sender or in parts from it,
	// without which no view is current.
	ConfigPending bool `cbor:"m,omitempty"`
	// Sent is when the message was made, counted from the beginning of its feed by
	// the sender's steady clock; zero where the sender doesn't say.
	SentOffset time.Duration `cbor:"s,omitempty"`
}

// Empty reports whether the update tells nothing but its age.
func (u *Update) Empty() bool { return u.Config == nil && len(u.Targets) == 0 && len(u.Removed) == 0 }

// Table returns the routes in force, nil before the first configuration.
func (v *View) Table() *Table { return v.table }

// Change is a number that grows with each change of the view.
func (v *View) Generation() uint64 { return v.change }

// MembersChange is a number that grows with each change of the known targets.
func (v *View) MembersGeneration() uint64 { return v.membersChange }

// Version is the configuration's version in force, 0 when there is none.
func (v *View) Version() uint64 {
	if v.table == nil {
		return 0
	}
	return v.table.Config.Version
}

// Revision is the platform's counter up to which the view holds every change; zero while
// it is not known to be whole.
func (v *View) Revision() uint64 { return v.complete }

// Age is how long ago the view was known to be current, or negative when it
// never was.
func (v *View) Age(now time.Time) time.Duration {
	if v.verified.IsZero() {
		return -1
	}
	return max(0, now.Sub(v.verified))
}

// Lag is the same, but that a configuration may be on its way here: parts of a large one
// take seconds on a full link, in which the sender is neither lost nor late.
func (v *View) Lag(now time.Time) time.Duration {
	if v.heard.IsZero() {
		return -1
	}
	return max(0, now.Sub(v.heard))
}

func (v *View) verify(at time.Time, rtt time.Duration) {
	if at.After(v.verified) {
		v.verified = at
		v.rtt = rtt
	}
}

func (v *View) hear(at time.Time) {
	if at.After(v.heard) {
		v.heard = at
	}
}

// NoteFailedRead keeps that a read of the platform failed at a time.
func (v *View) RecordFailedRead(at time.Time) {
	if at.After(v.failed) {
		v.failed = at
	}
}

// ReadFailed reports whether a read of the platform is known to have failed since the view
// was current.
func (v *View) ReadFailed() bool { return v.failed.After(v.heard) }

// Outage reports whether the platform has been away for so long that leases may have
// run out: no node has read it for that time, and a read failed. Age alone proves
// nothing: updates are late on a full link as well, and a target that left would then stay
// in use for the grace of a lapsed one.
func (v *View) Outage(now time.Time) bool {
	return v.Lag(now) > lapseAfter && v.ReadFailed()
}

// Members returns all known targets by id. The map belongs to the view.
func (v *View) Members() map[string]*Member { return v.members }

// Takers returns the targets that take work, by service. Of several entries with
// one address only that of the latest start counts: a target that started anew
// has a new entry, and the old one stands until its lease runs out. After a loss
// of power of a whole fleet every second offer would else go to a target that is
// gone.
func (v *View) ReadyByService() map[string][]*Member {
	takers := map[string][]*Member{}
	for _, member := range v.latestByAddress() {
		if member.State == Ready {
			takers[member.Service] = append(takers[member.Service], member)
		}
	}
	for _, members := range takers {
		slices.SortFunc(members, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return takers
}

// Apply takes an update that was sent at a time, from which all times in it count. Counted
// from their arrival, each step from the platform to the last node would lengthen the
// use of a target that left, and an old update would look fresh. It returns ErrBase if the
// configuration builds on a version that the view doesn't hold; the rest is taken all
// the same.
func (v *View) Apply(sent time.Time, update *Update) error {
	var err error
	if update.Config != nil {
		err = v.applyConfig(update.Config, !update.ConfigPending)
	}
	for i := range update.Targets {
		v.applyTarget(sent, &update.Targets[i])
	}
	for _, removal := range update.Removed {
		v.remove(sent, removal)
	}
	v.forget(sent)
	if update.FailedReadAge > 0 {
		v.RecordFailedRead(sent.Add(-update.FailedReadAge))
	}
	if err != nil {
		return err
	}
	if update.Age >= 0 {
		v.hear(sent.Add(-update.Age))
	}
	if update.ConfigPending {
		return nil
	}
	v.complete = max(v.complete, update.Revision)
	if update.Age >= 0 {
		v.verify(sent.Add(-update.Age), update.RTT)
	}
	return nil
}

// applyConfig takes a delta or a part of one; last says that no further part follows.
func (v *View) applyConfig(delta *ConfigDelta, last bool) error {
	if v.held(delta.Version) != nil {
		return nil
	}
	older := delta.Version <= v.Version()
	config, err := v.configOf(delta, last && !older)
	if err != nil && older {
		return nil
	}
	if config == nil {
		return err
	}
	v.recent = append(v.recent, config)
	if len(v.recent) > keptConfigs {
		v.recent = slices.Delete(v.recent, 0, 1)
	}
	if older {
		// Never in force, but the base of this neighbour's next step.
		return nil
	}
	v.change++
	v.table = NewTable(config)
	return nil
}

// configOf returns the configuration that a delta makes, or nil while parts are missing.
func (v *View) configOf(delta *ConfigDelta, last bool) (*Config, error) {
	delta, err := v.assemble(delta, last)
	if delta == nil {
		return nil, err
	}
	return delta.Apply(v.held(delta.Base))
}

// held returns the configuration of a version if it is still held.
func (v *View) held(version uint64) *Config {
	for _, config := range v.recent {
		if config.Version == version {
			return config
		}
	}
	return nil
}

func (v *View) applyTarget(sent time.Time, target *Target) {
	if gone, ok := v.removed[target.ID]; ok && gone.Revision >= target.Revision {
		return
	}
	known := v.members[target.ID]
	if known != nil && (known.Revision >= target.Revision || outlived(known, target)) {
		return
	}
	v.change++
	next := &Member{Target: *target, change: v.change}
	if target.WarmupRemaining > 0 {
		next.WarmAt = sent.Add(target.WarmupRemaining)
	}
	if target.State == Draining {
		next.DrainingSince = drainingSince(sent, known, target)
	}
	delete(v.removed, target.ID)
	v.setMember(target.ID, next)
}

// setMember replaces what is known of a target; nil drops it.
func (v *View) setMember(id string, member *Member) {
	v.membersChange++
	if member == nil {
		delete(v.members, id)
		return
	}
	v.members[id] = member
}

// drainingSince returns when a target began to drain, at the latest. One that is first
// seen draining, at an unknown time, may have drained for long.
func drainingSince(sent time.Time, known *Member, target *Target) time.Time {
	switch {
	case known != nil && known.State == Draining:
		return known.DrainingSince
	case known == nil && target.DrainingFor == 0:
		return sent.Add(-removalMemory)
	}
	return sent.Add(-target.DrainingFor)
}

// At returns the target of the latest start at an address, or nil.
func (v *View) MemberAt(address string) *Member { return v.latestByAddress()[address] }

// latestByAddress returns the target of the latest start at each address. It is
// made anew only when members have changed.
func (v *View) latestByAddress() map[string]*Member {
	if v.latest != nil && v.latestChange == v.membersChange {
		return v.latest
	}
	latest := make(map[string]*Member, len(v.members))
	for _, member := range v.members {
		if other := latest[member.Address]; other == nil || startedBefore(other, member) {
			latest[member.Address] = member
		}
	}
	v.latest, v.latestChange = latest, v.membersChange
	return latest
}

// startedBefore reports whether a's process started before b's, both at one
// address. Where a start isn't told, the entry written last is the later one.
func startedBefore(a, b *Member) bool {
	if a.Started != 0 && b.Started != 0 && a.Started != b.Started {
		return a.Started < b.Started
	}
	return a.Revision < b.Revision
}

// outlived reports whether an entry was written by an earlier start of the known
// target. A last word of the process that ended can reach the platform after the
// first of the one that took over its id. Taken for the newest, "draining" would
// keep a target without work until its next change, and "ready" would send work
// to one that drains. Nothing is lost by leaving it out: the process that runs
// writes again.
func outlived(known *Member, target *Target) bool {
	return target.Started != 0 && target.Started < known.Started
}

func (v *View) remove(sent time.Time, removal Removal) {
	known := v.members[removal.ID]
	if known != nil && known.Revision > removal.Revision {
		return
	}
	if gone, ok := v.removed[removal.ID]; ok && gone.Revision >= removal.Revision {
		return
	}
	v.change++
	v.removed[removal.ID] = removed{Removal: removal, at: sent, change: v.change}
	if known == nil {
		return
	}
	if removal.Grace <= 0 || known.State == Draining {
		v.setMember(removal.ID, nil)
		return
	}
	// Members are handed out and read elsewhere, so they are replaced.
	lapsed := *known
	lapsed.UsableUntil = sent.Add(removal.Grace)
	v.setMember(removal.ID, &lapsed)
}

func (v *View) forget(now time.Time) {
	for id, member := range v.members {
		if !member.UsableUntil.IsZero() && !now.Before(member.UsableUntil) {
			v.setMember(id, nil)
		}
	}
	for id, gone := range v.removed {
		if now.Sub(gone.at) > removalMemory {
			delete(v.removed, id)
		}
	}
}

// Listed returns the removals that a whole listing of the platform at a revision
// implies: known targets that it doesn't hold, which stay in use for a grace.
func (v *View) ImpliedRemovals(listed []Target, revision uint64, grace time.Duration) []Removal {
	held := make(map[string]bool, len(listed))
	for i := range listed {
		held[listed[i].ID] = true
	}
	var gone []Removal
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		member := v.members[id]
		if !held[id] && member.Revision <= revision && member.UsableUntil.IsZero() {
			gone = append(gone, Removal{ID: id, Revision: revision, Grace: grace})
		}
	}
	return gone
}
