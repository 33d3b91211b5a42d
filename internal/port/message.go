package port

import (
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/snapshot"
)

// Message is a control message between nodes.
type Message interface{ MessageType() MessageType }

// MessageType identifies the type of a message on the wire. Numbers are never reused.
type MessageType uint8

// The types of the messages that distribute versions, of heartbeats and of Busy.
const (
	TypeHeartbeat MessageType = iota + 1
	TypeAnnounce
	TypeManifestRequest
	TypeManifestReply
	TypePartsRequest
	TypePartsReply
	TypeBusy
)

// Heartbeat contains the sender's own record, those of a few other VMs, and the
// version applied at the sender, which is zero if there is none.
type Heartbeat struct {
	From    membership.Record   `cbor:"f"`
	Others  []membership.Record `cbor:"o,omitempty"`
	Version snapshot.Version    `cbor:"v"`
	// Root is the digest of the version's content.
	Root snapshot.Hash `cbor:"h"`
	// Contacts is sent only to VMs of the sender's own failure domain.
	Contacts []membership.DomainContact `cbor:"c,omitempty"`
}

// Announce reports the version that the sender has just applied, so that receivers that
// lack it fetch it. It has no reply.
type Announce struct {
	From    string           `cbor:"f"`
	Version snapshot.Version `cbor:"v"`
	Root    snapshot.Hash    `cbor:"h"`
}

// ManifestRequest requests the manifest that is applied at the receiver.
type ManifestRequest struct {
	From string `cbor:"f"`
}

// ManifestReply contains a manifest as published. It is empty if there is none.
type ManifestReply struct {
	Manifest []byte `cbor:"m"`
}

// PartsRequest requests parts by hash.
type PartsRequest struct {
	From   string          `cbor:"f"`
	Hashes []snapshot.Hash `cbor:"h"`
}

// PartsReply contains those of the requested parts that the receiver has and that fit
// into one message. The requester sends another request for the rest.
type PartsReply struct {
	Parts [][]byte `cbor:"p"`
}

// Busy is the reply to a request that the receiver has no capacity for at present.
type Busy struct {
	// RetryAfter is the delay after which the request may be repeated.
	RetryAfter time.Duration `cbor:"r"`
}

// MessageType implements Message.
func (Heartbeat) MessageType() MessageType { return TypeHeartbeat }

// MessageType implements Message.
func (Announce) MessageType() MessageType { return TypeAnnounce }

// MessageType implements Message.
func (ManifestRequest) MessageType() MessageType { return TypeManifestRequest }

// MessageType implements Message.
func (ManifestReply) MessageType() MessageType { return TypeManifestReply }

// MessageType implements Message.
func (PartsRequest) MessageType() MessageType { return TypePartsRequest }

// MessageType implements Message.
func (PartsReply) MessageType() MessageType { return TypePartsReply }

// MessageType implements Message.
func (Busy) MessageType() MessageType { return TypeBusy }
