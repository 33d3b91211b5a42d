package membership

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// member is what the table holds of one VM.
type member struct {
	record Record
	// positions are the VM's places on the hash rings.
	positions [rings]uint64
	// changed is when the record last changed, and listed when the platform's
	// list last named the VM.
	changed, listed time.Time
	// unlisted is when the list was first read without the VM, zero while it
	// names it.
	unlisted time.Time
	// marked is the incarnation that the platform's list called departing,
	// until markedUntil; 0 while the VM was not heard.
	marked      uint64
	isMarked    bool
	markedUntil time.Time
	// dormant members are left out of digests and syncs: see Sweep.
	dormant bool
}

func (m *member) heard() bool { return m.record.Incarnation > 0 }

// departingByList reports whether the list's mark concerns the incarnation
// that is known. A VM that restarted since is not held to the mark of its
// predecessor.
func (m *member) departingByList(now time.Time) bool {
	return m.isMarked && now.Before(m.markedUntil) && (m.marked == 0 || m.record.Incarnation <= m.marked)
}

// Table is the membership that one node knows. It is not safe for concurrent
// use; the node's control loop owns it and publishes Views.
type Table struct {
	config  Config
	random  *rand.Rand
	self    *member
	members map[string]*member
	// ordered are all members by VM id: views are built often in a herd
	// restart, and sorting was most of their cost.
	ordered []*member
	domains map[string]*domain
	// addresses holds the newest incarnation at each peer address.
	addresses map[string]*member
	marks     map[string]*member
	queue     gossipQueue

	// lastContact is when any peer was last heard directly.
	lastContact time.Time
	isolated    bool
	// trustAfter is when the node may judge others again after a pause.
	trustAfter time.Time
	ticks      uint64
	credit     float64
	ringTurn   int
	hurry      int

	// listRead is when the platform's list was last read.
	listRead  time.Time
	lastRaise time.Time
	lastSync  time.Time
	nextSync  time.Time
	synced    bool
	// syncPace is the mean time between exchanges now, in heartbeats.
	syncPace int

	changes []Change
	view    *View
	near    neighbours
	// dirty and moved say that the view and the neighbours are out of date.
	dirty, moved bool
}

// NewTable returns a table that knows only the node itself.
func NewTable(config Config, self Record, now time.Time, random *rand.Rand) *Table {
	t := &Table{
		config: config, random: random, lastContact: now, dirty: true, moved: true,
		members: map[string]*member{}, domains: map[string]*domain{},
		addresses: map[string]*member{}, marks: map[string]*member{},
	}
	// Nodes that started together would else all probe at the same ticks.
	t.credit = random.Float64()
	t.ringTurn = random.IntN(rings)
	t.self = t.add(now, self)
	t.queue.push(self)
	return t
}

// Self returns the node's own record.
func (t *Table) Self() Record { return t.self.record }

// touch notes that the view and the neighbours have to be found anew.
func (t *Table) touch() { t.dirty, t.moved = true, true }

// add takes in a VM that was not known.
func (t *Table) add(now time.Time, record Record) *member {
	m := &member{record: record, changed: now}
	for ring := range m.positions {
		m.positions[ring] = xxhash.Sum64String(strconv.Itoa(ring) + record.VM.ID)
	}
	t.members[record.VM.ID] = m
	i, _ := slices.BinarySearchFunc(t.ordered, record.VM.ID, byID)
	t.ordered = slices.Insert(t.ordered, i, m)
	t.domain(now, record.VM.FailureDomain).add(m)
	t.claimAddress(m)
	t.touch()
	return m
}

func byID(m *member, id string) int { return strings.Compare(m.record.VM.ID, id) }

// replace gives a known VM a newer record.
func (t *Table) replace(now time.Time, m *member, record Record) {
	old := m.record
	t.domain(now, old.VM.FailureDomain).remove(m)
	t.note(old, record)
	m.record = record
	m.changed = now
	if m.isMarked && m.marked == 0 && m.heard() {
		// The list named the VM before it was heard: the mark is about the
		// first incarnation heard.
		m.marked = record.Incarnation
		t.queue.pushMark(record.VM.ID)
	}
	m.dormant = false
	t.domain(now, record.VM.FailureDomain).add(m)
	t.dropEmpty(old.VM.FailureDomain)
	t.claimAddress(m)
	t.touch()
}

// claimAddress keeps the newest process at each address. A VM that was replaced
// under another id at its address would else stay in the choice until it is
// suspected, and its requests would reach its successor.
func (t *Table) claimAddress(m *member) {
	address := m.record.VM.PeerAddress
	if address == "" || !m.heard() {
		return
	}
	holder := t.addresses[address]
	if holder == nil || holder.record.VM.PeerAddress != address || m.startedAfter(holder) {
		t.addresses[address] = m
	}
}

// startedAfter orders processes of different VMs; ids settle a tie.
func (m *member) startedAfter(other *member) bool {
	if m.record.Incarnation != other.record.Incarnation {
		return m.record.Incarnation > other.record.Incarnation
	}
	return m.record.VM.ID > other.record.VM.ID
}

// superseded reports whether a later process holds the VM's address.
func (t *Table) superseded(m *member) bool {
	holder := t.addresses[m.record.VM.PeerAddress]
	return holder != nil && holder != m && holder.record.VM.PeerAddress == m.record.VM.PeerAddress
}

// Heard takes a record that gossip or the VM itself brought. It reports whether
// the record was news, which is then passed on. A record about the node itself
// that beats its own is refuted.
func (t *Table) RecordReceived(now time.Time, record Record) bool {
	if !t.merge(now, record) {
		return false
	}
	if record.VM.ID != t.self.record.VM.ID {
		t.queue.push(record)
	}
	return true
}

// Synced takes records of an anti-entropy exchange. They are old news to most,
// so they are not passed on: a fresh node would send the whole fleet around.
// Departures of VMs that were known are passed on: after a partition the first
// node that asks across must tell its domain who left meanwhile.
func (t *Table) SyncReceived(now time.Time, records []Record) {
	for _, record := range records {
		_, known := t.members[record.VM.ID]
		if t.merge(now, record) && known && record.State.departure() > 0 {
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
		t.note(Record{}, record)
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

// refute answers a record about this node that beats its own. Only the process
// itself knows its state, and peers believe the later record: it must say a
// later word. A suspicion is beaten by a higher sequence. A departure that this
// process did not begin, or a higher incarnation (from a start when the clock
// stood ahead of now), is beaten only by a higher incarnation; without that, a
// VM whose clock stepped back would stay out of every choice.
//
// Incarnations are raised at most once a heartbeat. Two processes with one VM id
// by mistake raise them against each other; the fleet must not be flooded by it.
func (t *Table) refute(now time.Time, claim Record) bool {
	own := t.self.record
	sameStart := claim.Incarnation == own.Incarnation && claim.Sequence+1 < maxSequence
	if sameStart && claim.State.departure() <= own.State.departure() {
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

// Depart makes this node's own record say that it takes no new work.
func (t *Table) Depart(now time.Time, state State) {
	own := t.self.record
	own.State = state
	own.Sequence++
	t.replace(now, t.self, own)
	t.queue.push(own)
}

// Rebuttal returns the known record of a VM that beats what it said of itself,
// so that it can be told and refute it.
func (t *Table) NewerRecord(said Record) (Record, bool) {
	m, ok := t.members[said.VM.ID]
	if !ok || m == t.self || !m.record.newer(&said) {
		return Record{}, false
	}
	return m.record, true
}

// Sweep drops VMs that have been out of service for long and that the list has
// not named since. A departed VM that a lagging list still names is kept: once
// forgotten it would be introduced anew as a VM without a past. Half way to
// that, a record turns dormant and is no longer offered to peers, or two nodes
// would for ever remind each other of what each in turn forgets.
func (t *Table) Sweep(now time.Time) {
	for id, m := range t.members {
		if m == t.self {
			continue
		}
		silent := t.outOfService(now, m)
		if silent > t.config.ForgetAfter {
			t.forget(now, id, m)
		} else if silent > t.config.ForgetAfter/2 && !m.dormant {
			t.domain(now, m.record.VM.FailureDomain).hide(m)
		}
	}
}

// outOfService returns for how long a VM has been out of service and off the
// list. VMs of a lost domain are nobody's suspects. They go only when one reading
// of the list after another lacks them: the domain may be cut off for long, and
// the platform down or stale, and all of them come back.
func (t *Table) outOfService(now time.Time, m *member) time.Duration {
	d := t.domains[m.record.VM.FailureDomain]
	switch {
	case m.record.State != Live || !m.heard():
		return now.Sub(later(m.changed, m.listed))
	case !d.reachable && !m.unlisted.IsZero():
		return t.listRead.Sub(later(d.contact, m.unlisted))
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
	if m.heard() {
		gone := m.record
		gone.State = Gone
		t.note(m.record, gone)
	}
	t.domain(now, m.record.VM.FailureDomain).remove(m)
	t.dropEmpty(m.record.VM.FailureDomain)
	delete(t.members, id)
	delete(t.marks, id)
	i, _ := slices.BinarySearchFunc(t.ordered, id, byID)
	t.ordered = slices.Delete(t.ordered, i, i+1)
	if t.addresses[m.record.VM.PeerAddress] == m {
		delete(t.addresses, m.record.VM.PeerAddress)
	}
	t.touch()
}
