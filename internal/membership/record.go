package membership

import (
	"cmp"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// VM identifies a target VM and the node process running on it. It is encoded as
// an array on the wire: field names would double the size of a gossiped record.
type VM struct {
	_ struct{} `cbor:",toarray"`

	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Service is the name of the service whose upstream runs on the VM.
	Service string `json:"service"`
	// PeerAddress and CallerAddress have the form IP:port.
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
}

// State is the state of a VM, which determines whether it takes new work.
type State uint8

// The states of a VM. The numbers are part of the wire format and never reused.
const (
	// Live VMs take new work.
	Live State = iota + 1
	// Departing VMs finish their running requests. Only the VM itself sets
	// this state.
	Departing
	// Gone VMs have finished all requests and are terminating.
	Gone
	// Suspect VMs did not answer a probe from a peer of their failure domain.
	// The VM refutes this with a higher sequence.
	Suspect
)

// String returns the name of the state in logs and status pages.
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

// MarshalText encodes the state for JSON.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the state from JSON.
func (s *State) UnmarshalText(text []byte) error {
	for _, state := range []State{Live, Departing, Gone, Suspect} {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("membership state %q is unknown", text)
}

// departureRank orders the states that are final within an incarnation.
func (s State) departureRank() int {
	switch s {
	case Departing:
		return 1
	case Gone:
		return 2
	}
	return 0
}

// suspicionRank orders the states that a higher sequence refutes.
func (s State) suspicionRank() int {
	if s == Suspect {
		return 1
	}
	return 0
}

// Record is the state of one process, reported by the process itself or by its
// peers.
type Record struct {
	_ struct{} `cbor:",toarray"`

	VM VM `json:"vm"`
	// Incarnation increases with each start of the process on the VM. It is the
	// start time in nanoseconds, because VMs have no persistent storage. A
	// process that receives a record with a higher incarnation of itself raises
	// its own. Zero marks an unconfirmed VM, which is known only from the
	// platform's list.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each record that an incarnation issues about
	// itself.
	Sequence uint64 `json:"sequence"`
	State    State  `json:"state"`
}

// Limits for records from peers. A record with the maximum value could not be
// refuted: the next value would wrap to zero and never win.
const (
	maxSequence = 1 << 62
	// maxClockAhead is how far an incarnation, which is a start time, may be in
	// the future.
	maxClockAhead = 365 * 24 * time.Hour
)

// maxFieldBytes bounds each text field of a VM.
const maxFieldBytes = 256

// ErrBadRecord is returned for an invalid record from a peer.
var ErrBadRecord = errors.New("invalid membership record")

// Check validates a record from a peer.
func (r *Record) Check(now time.Time) error {
	switch {
	case r.VM.ID == "":
		return errors.Wrap(ErrBadRecord, "no VM id")
	case r.State < Live || r.State > Suspect:
		return errors.Wrapf(ErrBadRecord, "unknown state %d", r.State)
	case r.Incarnation == 0 || r.Incarnation > uint64(now.Add(maxClockAhead).UnixNano()):
		return errors.Wrapf(ErrBadRecord, "incarnation %d out of range", r.Incarnation)
	case r.Sequence >= maxSequence:
		return errors.Wrapf(ErrBadRecord, "sequence %d out of range", r.Sequence)
	}
	for _, field := range r.VM.fields() {
		if len(field) > maxFieldBytes {
			return errors.Wrap(ErrBadRecord, "text field too long")
		}
	}
	return nil
}

func (v *VM) fields() [6]string {
	return [6]string{v.ID, v.FailureDomain, v.Region, v.Service, v.PeerAddress, v.CallerAddress}
}

// compare orders records of one VM. The order is total, so tables that received
// the same records hold the same state, also if records were reordered or
// duplicated:
//
//   - a higher incarnation wins over a lower one;
//   - within an incarnation, a departure wins over all earlier and later
//     records, otherwise a message that was in flight at the same time would
//     make the VM a target again;
//   - then the higher sequence wins; with equal sequences a suspicion wins,
//     until the VM itself issues a higher sequence;
//   - remaining differences are due to errors and are ordered by content.
func (r *Record) compare(other *Record) int {
	if c := cmp.Compare(r.Incarnation, other.Incarnation); c != 0 {
		return c
	}
	if c := cmp.Compare(r.State.departureRank(), other.State.departureRank()); c != 0 {
		return c
	}
	if c := cmp.Compare(r.Sequence, other.Sequence); c != 0 {
		return c
	}
	if c := cmp.Compare(r.State.suspicionRank(), other.State.suspicionRank()); c != 0 {
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

// DepartureMark states that the platform's list names one incarnation of a VM as
// departing. It is a hint that expires, and not part of the record: lists may be
// outdated or wrong, so a mark that is not repeated must become invalid.
type DepartureMark struct {
	_ struct{} `cbor:",toarray"`

	ID          string
	Incarnation uint64
	// RemainingMillis is the remaining validity of the mark, in milliseconds. A
	// duration is sent and not a time of day, because the clocks of the VMs may
	// differ.
	RemainingMillis uint32
}

// DomainContact is the time since the last contact of the sender's failure
// domain with another domain.
type DomainContact struct {
	_ struct{} `cbor:",toarray"`

	FailureDomain string
	// AgeMillis is the time since the last contact, in milliseconds.
	AgeMillis uint32
}

// DomainDigest is a checksum of the records that a node holds of one failure
// domain.
type DomainDigest struct {
	_ struct{} `cbor:",toarray"`

	FailureDomain string
	Sum           uint64
}
