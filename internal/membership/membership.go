// Package membership decides which VMs are live, departing or gone, from
// sources that lag and disagree: the platform's list, heartbeats between peers
// and what this node observed itself. The package is pure.
package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// VM is one target VM and the process of the system on it.
type VM struct {
	ID            string `cbor:"id" json:"id"`
	FailureDomain string `cbor:"fd" json:"failure_domain"`
	Region        string `cbor:"rg" json:"region"`
	// Service is the service whose upstream runs on the VM.
	Service string `cbor:"sv" json:"service"`
	// PeerAddress and CallerAddress are IP:port.
	PeerAddress   string `cbor:"pa" json:"peer_address"`
	CallerAddress string `cbor:"ca" json:"caller_address"`
}

// State is what a VM does with new work.
type State uint8

// The states of a VM, in the order in which they win over each other within
// one incarnation: a departure is never taken back.
const (
	Live State = iota + 1
	Departing
	Gone
)

// String names the state in logs and status pages.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Departing:
		return "departing"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// MarshalText renders the state for JSON.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the state from JSON.
func (s *State) UnmarshalText(text []byte) error {
	for _, state := range []State{Live, Departing, Gone} {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("membership state %q is unknown", text)
}

// Record is what one process said of itself, or what is said of it.
type Record struct {
	VM VM `cbor:"vm" json:"vm"`
	// Incarnation rises with each start of the process on the VM. It is the
	// start time in nanoseconds, since VMs keep nothing.
	Incarnation uint64 `cbor:"in" json:"incarnation"`
	// Sequence rises with each record of one incarnation.
	Sequence uint64 `cbor:"sq" json:"sequence"`
	State    State  `cbor:"st" json:"state"`
}

// newer reports whether r replaces old. A record of an older incarnation, or
// one that crossed a later record on its way, would otherwise bring a departed
// VM back and send it new work.
func (r *Record) newer(old *Record) bool {
	if c := cmp.Compare(r.Incarnation, old.Incarnation); c != 0 {
		return c > 0
	}
	if r.State != old.State && (r.State == Gone || old.State == Gone || r.State == Departing || old.State == Departing) {
		return r.State > old.State
	}
	return r.Sequence > old.Sequence
}

// Config holds the times that membership works with.
type Config struct {
	// SuspectAfter is the silence after which a VM gets no new work.
	SuspectAfter time.Duration
	// ForgetAfter is the silence after which a VM is dropped.
	ForgetAfter time.Duration
}

// DefaultConfig suits heartbeats of one a second.
func DefaultConfig() Config {
	return Config{SuspectAfter: 5 * time.Second, ForgetAfter: 10 * time.Minute}
}

type member struct {
	record   Record
	lastSeen time.Time
}

// Table is the membership that one node knows. It is not safe for concurrent
// use; the node's control loop owns it and publishes Views.
type Table struct {
	config  Config
	self    VM
	members map[string]*member
}

// NewTable returns a table that knows only the node itself.
func NewTable(config Config, self Record, now time.Time) *Table {
	t := &Table{config: config, self: self.VM, members: map[string]*member{}}
	t.members[self.VM.ID] = &member{record: self, lastSeen: now}
	return t
}

// Heard takes a record that the VM itself sent, directly or through a peer. It
// reports whether anything changed.
func (t *Table) Heard(now time.Time, record Record) bool {
	known, ok := t.members[record.VM.ID]
	if !ok {
		t.members[record.VM.ID] = &member{record: record, lastSeen: now}
		return true
	}
	if !record.newer(&known.record) {
		return false
	}
	changed := known.record.State != record.State || known.record.VM != record.VM
	known.record = record
	known.lastSeen = now
	return changed
}

// Listed takes the platform's list. The list lags, so it introduces VMs and
// marks departures but never says that a VM is alive that departed by its own
// word.
func (t *Table) Listed(now time.Time, list []Record) bool {
	changed := false
	for _, record := range list {
		known, ok := t.members[record.VM.ID]
		switch {
		case !ok:
			t.members[record.VM.ID] = &member{record: record, lastSeen: now}
			changed = true
		case record.State == Departing && known.record.State == Live && record.Incarnation >= known.record.Incarnation:
			known.record.State = Departing
			changed = true
		}
	}
	return changed
}

// Sweep drops VMs that have long been silent. It reports whether any was.
func (t *Table) Sweep(now time.Time) bool {
	changed := false
	for id, m := range t.members {
		if id != t.self.ID && now.Sub(m.lastSeen) > t.config.ForgetAfter {
			delete(t.members, id)
			changed = true
		}
	}
	return changed
}

// View is an immutable picture of the table for requests to read.
type View struct {
	// Peers are all VMs that may be talked to, sorted by id, the node itself
	// left out.
	Peers []VM
	// Targets are the VMs that take new work, by service, sorted by id.
	Targets map[string][]VM
	Records []Record
}

// View returns the picture at now.
func (t *Table) View(now time.Time) *View {
	view := &View{Targets: map[string][]VM{}}
	for _, id := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[id]
		view.Records = append(view.Records, m.record)
		if m.record.State == Gone {
			continue
		}
		vm := m.record.VM
		if id != t.self.ID {
			view.Peers = append(view.Peers, vm)
		}
		silent := id != t.self.ID && now.Sub(m.lastSeen) > t.config.SuspectAfter
		if m.record.State == Live && !silent {
			view.Targets[vm.Service] = append(view.Targets[vm.Service], vm)
		}
	}
	return view
}
