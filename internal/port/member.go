package port

import "tamarackquay/internal/membership"

// The types of membership messages. They have a range of their own, so that
// other messages can be added without a clash of numbers.
const (
	TypeGossip MessageType = iota + 32
	TypeProbeRequest
	TypeProbeReply
	TypeSyncRequest
	TypeSyncReply
)

// Gossip passes membership news on. It wants no answer.
type Gossip struct {
	From    string              `cbor:"f"`
	Records []membership.Record `cbor:"r,omitempty"`
	Marks   []membership.Mark   `cbor:"m,omitempty"`
}

// ProbeRequest asks the receiver to try a VM that gave the sender no answer.
type ProbeRequest struct {
	From string        `cbor:"f"`
	VM   membership.VM `cbor:"v"`
}

// ProbeReply says whether the VM answered.
type ProbeReply struct {
	From    string `cbor:"f"`
	Reached bool   `cbor:"r"`
}

// SyncRequest asks for the records of all failure domains whose digest differs
// at the receiver.
type SyncRequest struct {
	From   string                    `cbor:"f"`
	Digest []membership.DomainDigest `cbor:"d"`
}

// SyncReply carries the receiver's records of those domains.
type SyncReply struct {
	From    string              `cbor:"f"`
	Domains []string            `cbor:"d"`
	Records []membership.Record `cbor:"r"`
}

// MessageType implements Message.
func (Gossip) MessageType() MessageType { return TypeGossip }

// MessageType implements Message.
func (ProbeRequest) MessageType() MessageType { return TypeProbeRequest }

// MessageType implements Message.
func (ProbeReply) MessageType() MessageType { return TypeProbeReply }

// MessageType implements Message.
func (SyncRequest) MessageType() MessageType { return TypeSyncRequest }

// MessageType implements Message.
func (SyncReply) MessageType() MessageType { return TypeSyncReply }

// The metrics of membership.
const (
	// MetricSuspectMembers is the number of members that gave no answer.
	MetricSuspectMembers Metric = "tamarack_members_suspect"
	// MetricUnheardMembers is the number of VMs that only the list names.
	MetricUnconfirmedMembers Metric = "tamarack_members_unheard"
	// MetricUnreachableDomains is the number of failure domains without
	// contact.
	MetricUnreachableDomains Metric = "tamarack_domains_unreachable"
	// MetricIsolated is 1 while the node hears no peer at all.
	MetricIsolated Metric = "tamarack_node_isolated"
	// MetricPauses counts how often the process found that it was paused.
	MetricPauses Metric = "tamarack_pauses_total"
)

// AuditDomainChanged is the kind of event for a failure domain that was lost or
// found again, and for the node's own isolation.
const AuditDomainChanged AuditKind = "domain-changed"
