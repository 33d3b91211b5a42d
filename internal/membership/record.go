package membership

import (
	"cmp"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// VM is one target VM and the process of the system on it. On the wire it is
// an array: field names would double the bytes of a gossiped record.
type VM struct {
	_ struct{} `cbor:",toarray"`

	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Service is the service whose upstream runs on the VM.
	Service string `json:"service"`
	// PeerAddress and CallerAddress are IP:port.
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
}

// State is what a VM does with new work.
type State uint8

// The states of a VM. Numbers are on the wire and never reused.
const (
	// Live VMs take new work.
	Live State = iota + 1
	// Departing VMs finish what they run. It is the VM's own word.
	Departing
	// Gone VMs have finished and end.
	Gone
	// Suspect VMs gave no answer to a peer of their failure domain. The VM
	// refutes it with a higher sequence.
	Suspect
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
	case Suspect:
		return "suspect"
	}
	return "unknown"
}

// MarshalText renders the state for JSON.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the state from JSON.
func (s *State) UnmarshalText(text []byte) error {
	for _, state := range []State{Live, Departing, Gone, Suspect} {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("membership state %q is unknown", text)
}

// departure orders the states that are never taken back within an incarnation.
func (s State) departure() int {
	switch s {
	case Departing:
		return 1
	case Gone:
		return 2
	}
	return 0
}

// suspicion orders the states that a higher sequence takes back.
func (s State) suspicion() int {
	if s == Suspect {
		return 1
	}
	return 0
}

// Record is what one process said of itself, or what is said of it.
type Record struct {
	_ struct{} `cbor:",toarray"`

	VM VM `json:"vm"`
	// Incarnation rises with each start of the process on the VM. It is the
	// start time in nanoseconds, since VMs keep nothing; a process that hears
	// of a higher one of its own raises it. Zero marks a VM that only the
	// platform's list has named.
	Incarnation uint64 `json:"incarnation"`
	// Sequence rises with each word of one incarnation about itself.
	Sequence uint64 `json:"sequence"`
	State    State  `json:"state"`
}

// Bounds of what a peer may say. A record at the top of the range could not be
// refuted: one more would wrap to zero and lose for ever.
const (
	maxSequence = 1 << 62
	// maxClockAhead is how far an incarnation, which is a start time, may lie
	// in the future.
	maxClockAhead = 365 * 24 * time.Hour
)

// maxFieldBytes bounds each text of a VM.
const maxFieldBytes = 256

// ErrBadRecord says that a record from a peer makes no sense.
var ErrBadRecord = errors.New("bad membership record")

// Check reports what is wrong with a record that a peer sent.
func (r *Record) Check(now time.Time) error {
	switch {
	case r.VM.ID == "":
		return errors.Wrap(ErrBadRecord, "no VM id")
	case r.State < Live || r.State > Suspect:
		return errors.Wrapf(ErrBadRecord, "state %d", r.State)
	case r.Incarnation == 0 || r.Incarnation > uint64(now.Add(maxClockAhead).UnixNano()):
		return errors.Wrapf(ErrBadRecord, "incarnation %d", r.Incarnation)
	case r.Sequence >= maxSequence:
		return errors.Wrapf(ErrBadRecord, "sequence %d", r.Sequence)
	}
	for _, field := range r.VM.fields() {
		if len(field) > maxFieldBytes {
			return errors.Wrap(ErrBadRecord, "text too long")
		}
	}
	return nil
}

func (v *VM) fields() [6]string {
	return [6]string{v.ID, v.FailureDomain, v.Region, v.Service, v.PeerAddress, v.CallerAddress}
}

// compare orders records of one VM. The order is total, so tables that took
// the same records in any order, crossed or doubled, hold the same ones:
//
//   - a later start of the process wins over an earlier one;
//   - within one, a departure wins over all that came before or after it,
//     or a message that crossed it would bring the VM back into the choice;
//   - then the later word wins, and at the same word a suspicion does, until
//     the VM itself says a later one;
//   - what is left differs by a mistake, and is settled by content.
func (r *Record) compare(other *Record) int {
	if c := cmp.Compare(r.Incarnation, other.Incarnation); c != 0 {
		return c
	}
	if c := cmp.Compare(r.State.departure(), other.State.departure()); c != 0 {
		return c
	}
	if c := cmp.Compare(r.Sequence, other.Sequence); c != 0 {
		return c
	}
	if c := cmp.Compare(r.State.suspicion(), other.State.suspicion()); c != 0 {
		return c
	}
	own, others := r.VM.fields(), other.VM.fields()
	for i := range own {
		if c := cmp.Compare(own[i], others[i]); c != 0 {
			return c
		}
	}
	return 0
}

// newer reports whether r replaces old.
func (r *Record) newer(old *Record) bool { return r.compare(old) > 0 }

// Mark says that the platform's list names one incarnation of a VM as
// departing. It is a hint with an end, and no part of the record: lists lag and
// err, and a mark that was no longer repeated must lose its force.
type DepartureMark struct {
	_ struct{} `cbor:",toarray"`

	ID          string
	Incarnation uint64
	// LeftMillis is how long the mark still holds, in milliseconds. What is
	// left travels and not a time of day: the VMs' clocks need not agree.
	RemainingMillis uint32
}

// DomainContact says how long ago anyone of the sender's failure domain last
// heard from another domain.
type DomainContact struct {
	_ struct{} `cbor:",toarray"`

	FailureDomain string
	AgeMillis     uint32
}

// DomainDigest sums up the records that a node holds of one failure domain.
type DomainDigest struct {
	_ struct{} `cbor:",toarray"`

	FailureDomain string
	Sum           uint64
}
