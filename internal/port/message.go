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

// The types of messages.
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
// version applied at the sender.
type Heartbeat struct {
	From    membership.Record   `cbor:"f"`
	Others  []membership.Record `cbor:"o,omitempty"`
	Version snapshot.Version    `cbor:"v"`
	Root    snapshot.Hash       `cbor:"h"`
	// Contacts is sent only to VMs of the sender's own failure domain.
	Contacts []membership.DomainContact `cbor:"c,omitempty"`
}

// Announce announces that the sender has a version.
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
