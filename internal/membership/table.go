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
	// changed is when the record last changed, or when the list last named
	// the VM, whichever is later.
	changed time.Time
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

// Change is a step of one VM from one state to another, for the audit trail. A
// VM that is forgotten goes to Gone.
type Change struct {
	VM   VM
	From State
	To   State
	// Raised is set when this node raised its own incarnation, because peers
	// held a higher one: from an earlier start when the clock stood ahead, or
	// from another process that uses the same VM id.
	Raised bool
}

// maxChanges bounds the changes kept for the trail between two takes.
const maxChanges = 4096

// note keeps a change of state; later words that change nothing are left out.
func (t *Table) note(old, record Record) {
	if old.State == record.State && old.Incarnation > 0 || len(t.changes) >= maxChanges {
		return
	}
	t.changes = append(t.changes, Change{VM: record.VM, From: old.State, To: record.State})
}

// TakeChanges returns the changes since it was last called.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
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
	t.domain(now, m.record.VM.FailureDomain).remove(m)
	t.note(m.record, record)
	m.record = record
	m.changed = now
	if m.isMarked && m.marked == 0 {
		// The list named the VM before it was heard: the mark is about the
		// first incarnation heard.
		m.marked = record.Incarnation
		t.queue.pushMark(record.VM.ID)
	}
	m.dormant = false
	t.domain(now, record.VM.FailureDomain).add(m)
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
func (t *Table) Heard(now time.Time, record Record) bool {
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
func (t *Table) Synced(now time.Time, records []Record) {
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
		t.changes = append(t.changes, Change{VM: own.VM, From: own.State, To: own.State, Raised: true})
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
func (t *Table) Rebuttal(said Record) (Record, bool) {
	m, ok := t.members[said.VM.ID]
	if !ok || m == t.self || !m.record.newer(&said) {
		return Record{}, false
	}
	return m.record, true
}

// Listed takes the platform's list. The list lags, so it introduces VMs, which
// get no work before they were heard, and marks departures; it never says that a
// VM is alive.
func (t *Table) Listed(now time.Time, list []Record) {
	for _, record := range list {
		m, ok := t.members[record.VM.ID]
		if !ok {
			record.Incarnation, record.Sequence = 0, 0
			departing := record.State == Departing
			record.State = Live
			if m = t.add(now, record); departing {
				t.mark(now, m, 0, markHold)
			}
			continue
		}
		if m != t.self && (m.record.State != Live || !m.heard()) {
			m.changed = now
		}
		if record.State == Departing {
			t.markByList(now, m)
		} else if !m.isMarked {
			m.marked = 0
		}
	}
}

// markByList marks the incarnation that is known. A VM that restarted under a
// list that still shows the departure of its predecessor is not marked anew,
// also when the old mark has run out between two readings.
func (t *Table) markByList(now time.Time, m *member) {
	switch left := m.markedUntil.Sub(now); {
	case m.marked == 0 || -left > markMemory:
		t.mark(now, m, m.record.Incarnation, markHold)
	case left < markHold/2:
		t.mark(now, m, m.marked, markHold)
	}
}

// Marked takes marks that peers read from the list.
func (t *Table) Marked(now time.Time, marks []Mark) {
	for _, mark := range marks {
		m, ok := t.members[mark.ID]
		left := min(time.Duration(mark.LeftMillis)*time.Millisecond, markHold)
		if !ok || mark.Incarnation == 0 {
			continue
		}
		if m.isMarked && mark.Incarnation <= m.marked && !m.markedUntil.Add(markHold/4).Before(now.Add(left)) {
			continue
		}
		t.mark(now, m, max(mark.Incarnation, m.marked), left)
	}
}

func (t *Table) mark(now time.Time, m *member, incarnation uint64, hold time.Duration) {
	m.isMarked = true
	m.marked = incarnation
	m.markedUntil = now.Add(hold)
	t.marks[m.record.VM.ID] = m
	if incarnation > 0 {
		t.queue.pushMark(m.record.VM.ID)
	}
	t.touch()
}

// sweepMarks ends marks that were not repeated.
func (t *Table) sweepMarks(now time.Time) {
	for id, m := range t.marks {
		if !now.Before(m.markedUntil) {
			m.isMarked = false
			delete(t.marks, id)
			t.touch()
		}
	}
}

// Sweep drops VMs that have been out of service for long and that the list has
// not named since. A departed VM that a lagging list still names is kept: once
// forgotten it would be introduced anew as a VM without a past. Half way to
// that, a record turns dormant and is no longer offered to peers, or two nodes
// would for ever remind each other of what each in turn forgets.
func (t *Table) Sweep(now time.Time) {
	for id, m := range t.members {
		if m == t.self || (m.record.State == Live && m.heard()) {
			continue
		}
		silent := now.Sub(m.changed)
		if silent > t.config.ForgetAfter {
			t.forget(now, id, m)
		} else if silent > t.config.ForgetAfter/2 && !m.dormant {
			t.domain(now, m.record.VM.FailureDomain).hide(m)
			m.dormant = true
		}
	}
}

func (t *Table) forget(now time.Time, id string, m *member) {
	if m.heard() {
		gone := m.record
		gone.State = Gone
		t.note(m.record, gone)
	}
	t.domain(now, m.record.VM.FailureDomain).remove(m)
	delete(t.members, id)
	delete(t.marks, id)
	i, _ := slices.BinarySearchFunc(t.ordered, id, byID)
	t.ordered = slices.Delete(t.ordered, i, i+1)
	if t.addresses[m.record.VM.PeerAddress] == m {
		delete(t.addresses, m.record.VM.PeerAddress)
	}
	t.touch()
}
