package membership

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// member is the state of one VM in the table.
type member struct {
	record Record
	// positions are the VM's positions on the hash rings.
	positions [rings]uint64
	// changed is the time of the last change of the record. listed is the time
	// when the platform's list last named the VM.
	changed, listed time.Time
	// unlisted is the time when the list was first read without the VM. It is
	// zero while the list names the VM.
	unlisted time.Time
	// markedIncarnation is the incarnation that the platform's list names as
	// departing, until markedUntil. It is 0 while the VM is unconfirmed.
	markedIncarnation uint64
	isMarked          bool
	markedUntil       time.Time
	// dormant members are left out of digests and syncs, see Sweep.
	dormant bool
}

// confirmed reports whether a record from a process on the VM was received.
// Unconfirmed members are known only from the platform's list.
func (m *member) confirmed() bool { return m.record.Incarnation > 0 }

// listedDeparting reports whether a valid mark of the list applies to the known
// incarnation. The mark of a previous process does not apply to a VM that has
// restarted since.
func (m *member) listedDeparting(now time.Time) bool {
	return m.isMarked && now.Before(m.markedUntil) && (m.markedIncarnation == 0 || m.record.Incarnation <= m.markedIncarnation)
}

// Table is the membership as known to one node. It is not safe for concurrent
// use; only the node's control loop may call it, and it publishes Views.
type Table struct {
	config  Config
	random  *rand.Rand
	self    *member
	members map[string]*member
	// ordered are all members sorted by VM id. Views are built often while the
	// whole fleet restarts, and sorting was most of their cost.
	ordered []*member
	domains map[string]*domain
	// addresses holds the member with the newest incarnation for each peer
	// address.
	addresses map[string]*member
	marks     map[string]*member
	queue     gossipQueue

	// lastContact is when a message was last received directly from any peer.
	lastContact time.Time
	isolated    bool
	// graceUntil is the end of the grace period after a pause or an isolation,
	// in which the node marks no VM as suspect and no domain as unreachable.
	graceUntil  time.Time
	ticks       uint64
	crossCredit float64
	probeIndex  int
	extraProbes int

	// lastListRead is when the platform's list was last read.
	lastListRead time.Time
	lastRaise    time.Time
	lastSync     time.Time
	nextSync     time.Time
	synced       bool
	// syncInterval is the current mean time between exchanges, in heartbeats.
	syncInterval int

	changes        []Change
	view           *View
	neighbourCache neighbours
	// viewStale and neighboursStale are set when the cached view and the cached
	// neighbours must be recomputed.
	viewStale, neighboursStale bool
}

// NewTable returns a table that contains only the node itself.
func NewTable(config Config, self Record, now time.Time, random *rand.Rand) *Table {
	t := &Table{
		config: config, random: random, lastContact: now, viewStale: true, neighboursStale: true,
		members: map[string]*member{}, domains: map[string]*domain{},
		addresses: map[string]*member{}, marks: map[string]*member{},
	}
	// Random initial values keep nodes that started together from all probing
	// in the same ticks.
	t.crossCredit = random.Float64()
	t.probeIndex = random.IntN(rings)
	t.self = t.add(now, self)
	t.queue.push(self)
	return t
}

// Self returns the node's own record.
func (t *Table) Self() Record { return t.self.record }

// invalidate marks the cached view and neighbours as stale.
func (t *Table) invalidate() { t.viewStale, t.neighboursStale = true, true }

// add adds an unknown VM.
func (t *Table) add(now time.Time, record Record) *member {
	m := &member{record: record, changed: now}
	for ring := range m.positions {
		m.positions[ring] = xxhash.Sum64String(strconv.Itoa(ring) + record.VM.ID)
	}
	t.members[record.VM.ID] = m
	i, _ := slices.BinarySearchFunc(t.ordered, record.VM.ID, byID)
	t.ordered = slices.Insert(t.ordered, i, m)
	t.ensureDomain(now, record.VM.FailureDomain).add(m)
	t.updateAddress(m)
	t.invalidate()
	return m
}

func byID(m *member, id string) int { return strings.Compare(m.record.VM.ID, id) }

// replace updates a known VM with a newer record.
func (t *Table) replace(now time.Time, m *member, record Record) {
	old := m.record
	t.ensureDomain(now, old.VM.FailureDomain).remove(m)
	t.addChange(old, record)
	m.record = record
	m.changed = now
	if m.isMarked && m.markedIncarnation == 0 && m.confirmed() {
		// The list named the VM before it was confirmed: the mark applies to
		// the first incarnation received.
		m.markedIncarnation = record.Incarnation
		t.queue.pushMark(record.VM.ID)
	}
	m.dormant = false
	t.ensureDomain(now, record.VM.FailureDomain).add(m)
	t.dropEmptyDomain(old.VM.FailureDomain)
	t.updateAddress(m)
	t.invalidate()
}

// updateAddress keeps the newest process at each address. Otherwise a VM that
// was replaced by one with another id at the same address would stay a target
// until it becomes suspect, and its requests would reach its successor.
func (t *Table) updateAddress(m *member) {
	address := m.record.VM.PeerAddress
	if address == "" || !m.confirmed() {
		return
	}
	holder := t.addresses[address]
	if holder == nil || holder.record.VM.PeerAddress != address || m.startedAfter(holder) {
		t.addresses[address] = m
	}
}

// startedAfter orders processes of different VMs by incarnation, then by id.
func (m *member) startedAfter(other *member) bool {
	if m.record.Incarnation != other.record.Incarnation {
		return m.record.Incarnation > other.record.Incarnation
	}
	return m.record.VM.ID > other.record.VM.ID
}

// superseded reports whether a newer process uses the VM's address.
func (t *Table) superseded(m *member) bool {
	holder := t.addresses[m.record.VM.PeerAddress]
	return holder != nil && holder != m && holder.record.VM.PeerAddress == m.record.VM.PeerAddress
}

// RecordReceived processes a record received by gossip or from the VM itself. It
// reports whether the record was newer than the known one; if so, the record is
// forwarded by gossip. A record about this node that is newer than its own is
// refuted.
func (t *Table) RecordReceived(now time.Time, record Record) bool {
	if !t.merge(now, record) {
		return false
	}
	if record.VM.ID != t.self.record.VM.ID {
		t.queue.push(record)
	}
	return true
}

// SyncReceived processes the records of an anti-entropy exchange. Most nodes
// have these already, so they are not forwarded: otherwise a new node would
// gossip the records of the whole fleet. Departures of known VMs are forwarded:
// after a partition, the first node that syncs with another domain must inform
// its own domain of the VMs that left in the meantime.
func (t *Table) SyncReceived(now time.Time, records []Record) {
	for _, record := range records {
		_, known := t.members[record.VM.ID]
		if t.merge(now, record) && known && record.State.departureRank() > 0 {
			t.queue.push(record)
		}
	}
}

func (t *Table) merge(now time.Time, record Record) bool {
	if record.Check(now) != nil {
		return false
	}
	m, ok := t.members[record.VM.ID]
	switch {
	case !ok:
		t.addChange(Record{}, record)
		t.add(now, record)
	case !record.newer(&m.record):
		return false
	case m == t.self:
		return t.refute(now, record)
	default:
		t.replace(now, m, record)
	}
	return true
}

// refute replaces a record about this node that is newer than its own by a newer
// record with its actual state. Only the process itself knows its state, but
// peers accept the newest record. A suspicion is refuted by a higher sequence. A
// departure that this process did not start, or a higher incarnation (from a
// start while the clock was ahead of the current time), is refuted only by a
// higher incarnation; without that, a VM whose clock stepped back would never be
// chosen as a target again.
//
// Incarnations are raised at most once per heartbeat. If two processes are
// started with the same VM id by mistake, they raise their incarnations against
// each other, which must not flood the fleet.
func (t *Table) refute(now time.Time, claim Record) bool {
	own := t.self.record
	sameStart := claim.Incarnation == own.Incarnation && claim.Sequence+1 < maxSequence
	if sameStart && claim.State.departureRank() <= own.State.departureRank() {
		own.Sequence = claim.Sequence + 1
	} else {
		if now.Sub(t.lastRaise) < t.config.heartbeat() {
			return false
		}
		t.lastRaise = now
		own.Incarnation = claim.Incarnation + 1
		own.Sequence = 0
		t.changes = append(t.changes, Change{VM: own.VM, From: own.State, To: own.State, IncarnationRaised: true})
	}
	t.replace(now, t.self, own)
	t.queue.push(own)
	return true
}

// Depart sets the state of this node's own record to a departure state, so that
// it gets no new work.
func (t *Table) Depart(now time.Time, state State) {
	own := t.self.record
	own.State = state
	own.Sequence++
	t.replace(now, t.self, own)
	t.queue.push(own)
}

// NewerRecord returns the known record of a VM if it is newer than the VM's own
// record, so that it can be sent to the VM, which refutes it.
func (t *Table) NewerRecord(own Record) (Record, bool) {
	m, ok := t.members[own.VM.ID]
	if !ok || m == t.self || !m.record.newer(&own) {
		return Record{}, false
	}
	return m.record, true
}

// Sweep removes VMs that have been out of service for ForgetAfter and that the
// list has not named since. A departed VM that an outdated list still names is
// kept: once removed, it would be added again without its departure. After half
// of that time a record becomes dormant and is no longer sent to peers, otherwise
// two nodes would forever restore records that the other one has removed.
func (t *Table) Sweep(now time.Time) {
	for id, m := range t.members {
		if m == t.self {
			continue
		}
		elapsed := t.outOfService(now, m)
		if elapsed > t.config.ForgetAfter {
			t.forget(now, id, m)
		} else if elapsed > t.config.ForgetAfter/2 && !m.dormant {
			t.ensureDomain(now, m.record.VM.FailureDomain).makeDormant(m)
		}
	}
}

// outOfService returns how long a VM has been out of service and not listed. VMs
// of an unreachable domain are not marked as suspect. They are out of service
// only while successive reads of the list lack them: the domain may be cut off
// for a long time while the platform is down or stale, and all its VMs may come
// back.
func (t *Table) outOfService(now time.Time, m *member) time.Duration {
	d := t.domains[m.record.VM.FailureDomain]
	switch {
	case m.record.State != Live || !m.confirmed():
		return now.Sub(later(m.changed, m.listed))
	case !d.reachable && !m.unlisted.IsZero():
		return t.lastListRead.Sub(later(d.contact, m.unlisted))
	}
	return 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *Table) forget(now time.Time, id string, m *member) {
	if m.confirmed() {
		removed := m.record
		removed.State = Gone
		t.addChange(m.record, removed)
	}
	t.ensureDomain(now, m.record.VM.FailureDomain).remove(m)
	t.dropEmptyDomain(m.record.VM.FailureDomain)
	delete(t.members, id)
	delete(t.marks, id)
	i, _ := slices.BinarySearchFunc(t.ordered, id, byID)
	t.ordered = slices.Delete(t.ordered, i, i+1)
	if t.addresses[m.record.VM.PeerAddress] == m {
		delete(t.addresses, m.record.VM.PeerAddress)
	}
	t.invalidate()
}
