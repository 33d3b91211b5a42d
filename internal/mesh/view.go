package mesh

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// SuspectGrace is how long a target stays in use if its entry was missing when the
	// platform recovered from an outage. Its lease may have expired while it could not be
	// renewed; a live target renews it within some two seconds. Dropping all such targets
	// at once would leave a service without targets for that time.
	SuspectGrace = 2 * time.Second
	// outageAfter is the shortest platform outage in which a lease may expire.
	outageAfter = 2500 * time.Millisecond
	// removalRetention is how long a removal is retained, so that an older entry that
	// arrives late from another neighbour doesn't restore the target.
	removalRetention = time.Minute
)

// maxRecentConfigs is how many configurations are kept as bases of deltas. In a burst of
// changes, two neighbours may send different deltas (6 to 8, or 6 to 7 and 7 to 8); a delta
// whose base has been dropped would require a transfer of the complete configuration.
const maxRecentConfigs = 6

type removedTarget struct {
	Removal
	at         time.Time
	generation uint64
}

// View is a node's view of the mesh. Updates may arrive from several neighbours, in any
// order and more than once; the highest version or revision wins, so that a view never goes
// back. It is not safe for concurrent use.
type View struct {
	table *Table
	// recent holds the latest configurations, including the active one.
	recent  []*Config
	members map[string]*Member
	removed map[string]removedTarget
	// evacuations holds the last known request for each failure domain that was ever
	// evacuated.
	evacuations map[string]evacuationState
	// generation counts the changes of the view. Neighbours' positions refer to it.
	generation uint64
	// membersGeneration counts the changes of members, evacuations and named services alone.
	membersGeneration uint64
	// latest maps each address to the target that started last there, as of
	// latestGeneration.
	latest           map[string]*Member
	latestGeneration uint64
	// deltas caches the latest deltas between configurations; assemblies holds the deltas
	// of which some parts have arrived.
	deltas     []cachedDelta
	assemblies []*assembly
	// currentAt is the latest time at which the platform is known to have held nothing newer
	// than the view.
	currentAt time.Time
	// membersCurrentAt is the latest time at which the platform is known to have held
	// nothing newer than the view, except for a configuration that is still being received.
	membersCurrentAt time.Time
	// revision is the platform revision up to which the view holds all changes.
	revision uint64
	// membersRevision is like revision for targets and evacuations alone, which arrive before a
	// configuration that is sent in parts.
	membersRevision uint64
	// recordedSince is the platform revision after which the view knows every removal and every
	// end of an evacuation. Earlier ones may have been dropped, or have happened before this
	// process read the platform.
	recordedSince uint64
	// rtt is the round trip to the platform, measured by the node whose read set currentAt.
	rtt time.Duration
	// failedReadAt is the latest time at which a read of the platform, by any node, is
	// known to have failed.
	failedReadAt time.Time
	// reportInterval is the time between two writes of a target's entry.
	reportInterval time.Duration
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		members: map[string]*Member{}, removed: map[string]removedTarget{}, evacuations: map[string]evacuationState{},
		reportInterval: DefaultReportInterval,
	}
}

// SetReportInterval sets the time between two writes of a target's entry.
func (v *View) SetReportInterval(interval time.Duration) { v.reportInterval = interval }

// Update holds the changes from one message of a neighbour or one read of the platform.
type Update struct {
	Config  *ConfigDelta `cbor:"c,omitempty"`
	Targets []Target     `cbor:"t,omitempty"`
	Removed []Removal    `cbor:"r,omitempty"`
	// Evacuations holds the evacuations that were requested or withdrawn.
	Evacuations []Evacuation `cbor:"e,omitempty"`
	// Age is how long ago the sender's view was known to be current, except for a
	// configuration that it doesn't hold yet (ConfigPending); negative if it never was. RTT
	// is the round trip to the platform of the node that read it.
	Age time.Duration `cbor:"a"`
	RTT time.Duration `cbor:"w,omitempty"`
	// FailedReadAge is how long ago a read of the platform last failed, as far as the
	// sender knows; zero if none has failed since its view was current.
	FailedReadAge time.Duration `cbor:"f,omitempty"`
	// Revision is the platform revision up to which the sender holds all changes, whether
	// or not its view is current; zero if unknown.
	Revision uint64 `cbor:"v,omitempty"`
	// Complete is set if the update names everything that existed at Revision: Targets and
	// Unchanged all targets, Evacuations all active ones. What else the receiver holds up to
	// that revision is gone.
	Complete bool `cbor:"k,omitempty"`
	// Unchanged holds the ids of the targets of a complete update that the receiver holds.
	Unchanged []string `cbor:"u,omitempty"`
	// RecordedSince is the platform revision after which the sender of a complete update knows
	// every removal and every end of an evacuation.
	RecordedSince uint64 `cbor:"l,omitempty"`
	// ConfigPending is set if a configuration is still being sent, to the sender or in
	// parts by it. The receiver's view isn't current without it.
	ConfigPending bool `cbor:"m,omitempty"`
	// SentOffset is when the message was created, relative to the start of its feed by the
	// sender's monotonic clock; zero if the sender doesn't report it.
	SentOffset time.Duration `cbor:"s,omitempty"`
}

// Empty reports whether the update contains no changes.
func (u *Update) Empty() bool {
	return u.Config == nil && len(u.Targets) == 0 && len(u.Removed) == 0 && len(u.Evacuations) == 0
}

// Table returns the active routes, or nil before the first configuration.
func (v *View) Table() *Table { return v.table }

// Generation returns a number that grows with each change of the view.
func (v *View) Generation() uint64 { return v.generation }

// MembersGeneration returns a number that grows with each change of the known targets, of
// evacuated failure domains and of the services that the configuration names.
func (v *View) MembersGeneration() uint64 { return v.membersGeneration }

// Version returns the version of the active configuration, or 0 if there is none.
func (v *View) Version() uint64 {
	if v.table == nil {
		return 0
	}
	return v.table.Config.Version
}

// Revision returns the platform revision up to which the view holds all changes, or zero
// while it isn't known to be complete.
func (v *View) Revision() uint64 { return v.revision }

// Age returns how long ago the view was known to be current, or a negative value if it
// never was.
func (v *View) Age(now time.Time) time.Duration {
	if v.currentAt.IsZero() {
		return -1
	}
	return max(0, now.Sub(v.currentAt))
}

// MembersAge is like Age, but disregards a configuration that is still being received. The
// parts of a large one take seconds on a saturated link, during which the sender is neither
// lost nor late.
func (v *View) MembersAge(now time.Time) time.Duration {
	if v.membersCurrentAt.IsZero() {
		return -1
	}
	return max(0, now.Sub(v.membersCurrentAt))
}

func (v *View) setCurrent(at time.Time, rtt time.Duration) {
	if at.After(v.currentAt) {
		v.currentAt = at
		v.rtt = rtt
	}
}

func (v *View) setMembersCurrent(at time.Time) {
	if at.After(v.membersCurrentAt) {
		v.membersCurrentAt = at
	}
}

// RecordFailedRead records that a read of the platform failed at the given time.
func (v *View) RecordFailedRead(at time.Time) {
	if at.After(v.failedReadAt) {
		v.failedReadAt = at
	}
}

// ReadFailed reports whether a read of the platform is known to have failed since the view
// was current.
func (v *View) ReadFailed() bool { return v.failedReadAt.After(v.membersCurrentAt) }

// Outage reports whether the platform has been unavailable for so long that leases may have
// expired: no node has read it for that time, and a read has failed. Age alone is not
// sufficient: updates are also late on a saturated link, and a departed target would then
// stay in use for the grace period of an expired lease.
func (v *View) Outage(now time.Time) bool {
	return v.MembersAge(now) > outageAfter && v.ReadFailed()
}

// Members returns all known targets by id. The map belongs to the view: it changes with the
// view, and callers must not modify it.
func (v *View) Members() map[string]*Member { return v.members }

// ReadyByService returns the ready targets outside evacuated failure domains, by service.
// Of several entries with the same address, only that of the latest start counts: a
// restarted target has a new entry, and the old one remains until its lease expires.
// Otherwise, after a power loss of a whole fleet, every second attempt would go to a target
// that no longer runs.
func (v *View) ReadyByService() map[string][]*Member {
	ready := map[string][]*Member{}
	for _, member := range v.latestByAddress() {
		if member.State == Ready && !v.Evacuated(member.FailureDomain) {
			ready[member.Service] = append(ready[member.Service], member)
		}
	}
	for _, members := range ready {
		slices.SortFunc(members, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return ready
}

// Apply applies an update that was sent at the given time, to which all times in it are
// relative. If they were relative to the time of arrival, each hop from the platform to the
// last node would prolong the use of a departed target, and an old update would look
// recent. It returns ErrUnknownBase if the view doesn't hold the base version of the
// configuration, and ErrInvalidParts if its parts don't form one; the targets and removals
// are applied all the same, but the view doesn't become more current.
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
	for _, evacuation := range update.Evacuations {
		v.applyEvacuation(evacuation)
	}
	v.expire(sent)
	v.membersRevision = max(v.membersRevision, update.Revision)
	v.recordedSince = max(v.recordedSince, update.RecordedSince)
	if update.FailedReadAge > 0 {
		v.RecordFailedRead(sent.Add(-update.FailedReadAge))
	}
	if err != nil {
		return err
	}
	if update.Age >= 0 {
		v.setMembersCurrent(sent.Add(-update.Age))
	}
	if update.ConfigPending {
		return nil
	}
	v.revision = max(v.revision, update.Revision)
	if update.Age >= 0 {
		v.setCurrent(sent.Add(-update.Age), update.RTT)
	}
	return nil
}

// applyConfig applies a delta or a part of one; last means that no further part follows.
func (v *View) applyConfig(delta *ConfigDelta, last bool) error {
	if v.recentConfig(delta.Version) != nil {
		return nil
	}
	older := delta.Version <= v.Version()
	config, err := v.buildConfig(delta, last && !older)
	if err != nil && older {
		return nil
	}
	if config == nil {
		return err
	}
	v.recent = append(v.recent, config)
	if len(v.recent) > maxRecentConfigs {
		v.recent = slices.Delete(v.recent, 0, 1)
	}
	if older {
		// It is never active, but this neighbour's next delta builds on it.
		return nil
	}
	v.generation++
	table := NewTable(config)
	if v.table == nil || !table.namesSameServices(v.table) {
		v.membersGeneration++
	}
	v.table = table
	return nil
}

// Names reports whether the active configuration names a service. An entry of any other service is of
// another writer, or of a target that nothing is sent to. Before the first configuration, all services
// count as named.
func (v *View) Names(service string) bool { return v.table == nil || v.table.Service(service) != nil }

// buildConfig returns the configuration that results from a delta, or nil while parts are
// missing.
func (v *View) buildConfig(delta *ConfigDelta, last bool) (*Config, error) {
	delta, err := v.assemble(delta, last)
	if delta == nil {
		return nil, err
	}
	return delta.Apply(v.recentConfig(delta.Base))
}

// recentConfig returns the configuration of a version, or nil if it is no longer held.
func (v *View) recentConfig(version uint64) *Config {
	for _, config := range v.recent {
		if config.Version == version {
			return config
		}
	}
	return nil
}

func (v *View) remove(sent time.Time, removal Removal) {
	known := v.members[removal.ID]
	if known != nil && known.Revision > removal.Revision {
		return
	}
	if previous, ok := v.removed[removal.ID]; ok && previous.Revision >= removal.Revision {
		return
	}
	v.generation++
	v.removed[removal.ID] = removedTarget{Removal: removal, at: sent, generation: v.generation}
	if known == nil {
		return
	}
	if removal.Grace <= 0 || known.State == Draining {
		v.setMember(removal.ID, nil)
		return
	}
	// Callers may still read a member that was returned to them, so it is replaced, not
	// modified.
	lapsed := *known
	lapsed.UsableUntil = sent.Add(removal.Grace)
	v.setMember(removal.ID, &lapsed)
}

func (v *View) expire(now time.Time) {
	for id, member := range v.members {
		if !member.UsableUntil.IsZero() && !now.Before(member.UsableUntil) {
			v.setMember(id, nil)
		}
	}
	for id, removed := range v.removed {
		if now.Sub(removed.at) > removalRetention {
			delete(v.removed, id)
			v.recordedSince = max(v.recordedSince, removed.Revision)
		}
	}
}

// AddImplied adds to a complete update the removals and the ends of evacuations that it implies:
// those of the known targets and evacuated failure domains that it doesn't name. The targets
// stay in use for the grace period.
func (v *View) AddImplied(update *Update, grace time.Duration) {
	named := make(map[string]bool, len(update.Targets)+len(update.Unchanged))
	for i := range update.Targets {
		named[update.Targets[i].ID] = true
	}
	for _, id := range update.Unchanged {
		named[id] = true
	}
	for i := range update.Removed {
		// An older removal is of an earlier entry under the same id.
		removal := &update.Removed[i]
		if member := v.members[removal.ID]; member != nil && member.Revision <= removal.Revision {
			named[removal.ID] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		member := v.members[id]
		if !named[id] && member.Revision <= update.Revision && member.UsableUntil.IsZero() {
			update.Removed = append(update.Removed, Removal{ID: id, Revision: update.Revision, Grace: grace})
		}
	}
	update.Evacuations = append(update.Evacuations, v.impliedEvacuationEnds(update.Evacuations, update.Revision)...)
}
