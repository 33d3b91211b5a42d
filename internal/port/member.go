package port

import "tamarackquay/internal/membership"

// The types of membership messages. They have a separate number range, so that other
// message types can be added without conflicts.
const (
	TypeGossip MessageType = iota + 32
	TypeProbeRequest
	TypeProbeReply
	TypeSyncRequest
	TypeSyncReply
)

// Gossip forwards membership updates. It has no reply.
type Gossip struct {
	From    string                     `cbor:"f"`
	Records []membership.Record        `cbor:"r,omitempty"`
	Marks   []membership.DepartureMark `cbor:"m,omitempty"`
}

// ProbeRequest asks the receiver to probe a VM that did not answer the sender.
type ProbeRequest struct {
	From string        `cbor:"f"`
	VM   membership.VM `cbor:"v"`
}

// ProbeReply reports whether the VM answered the probe.
type ProbeReply struct {
	From string `cbor:"f"`
	// Reached is true if the VM answered.
	Reached bool `cbor:"r"`
}

// SyncRequest requests the records of all failure domains whose digest differs from
// that of the receiver.
type SyncRequest struct {
	From   string                    `cbor:"f"`
	Digest []membership.DomainDigest `cbor:"d"`
}

// SyncReply is the reply to a SyncRequest. It contains the names of the failure domains
// whose digests differ, and the replying node's records of them.
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
	// MetricSuspectMembers is the number of members that did not answer a probe.
	MetricSuspectMembers Metric = "tamarack_members_suspect"
	// MetricUnconfirmedMembers is the number of VMs that are known only from the
	// platform's VM list.
	MetricUnconfirmedMembers Metric = "tamarack_members_unheard"
	// MetricUnreachableDomains is the number of failure domains without
	// contact.
	MetricUnreachableDomains Metric = "tamarack_domains_unreachable"
	// MetricIsolated is 1 while the node has no contact with any peer.
	MetricIsolated Metric = "tamarack_node_isolated"
	// MetricPauses counts the detected pauses of the process.
	MetricPauses Metric = "tamarack_pauses_total"
)

// AuditDomainChanged is the kind of event for a failure domain that became
// unreachable or reachable again, and for the isolation of the node itself.
const AuditDomainChanged AuditKind = "domain-changed"
