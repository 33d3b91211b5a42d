package port

import (
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/snapshot"
)

// Message is a control message between nodes.
type Message interface{ MessageType() MessageType }

// MessageType tells messages apart on the wire. Numbers are never reused.
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

// Heartbeat carries what the sender knows of itself and of a few others.
type Heartbeat struct {
	From    membership.Record   `cbor:"f"`
	Others  []membership.Record `cbor:"o,omitempty"`
	Version snapshot.Version    `cbor:"v"`
	Root    snapshot.Hash       `cbor:"h"`
	// Contacts go to VMs of the sender's own failure domain only.
	Contacts []membership.DomainContact `cbor:"c,omitempty"`
}

// Announce says that the sender holds a version.
type Announce struct {
	From    string           `cbor:"f"`
	Version snapshot.Version `cbor:"v"`
	Root    snapshot.Hash    `cbor:"h"`
}

// ManifestRequest asks for the manifest in force at the receiver.
type ManifestRequest struct {
	From string `cbor:"f"`
}

// ManifestReply carries a manifest as published; empty when there is none.
type ManifestReply struct {
	Manifest []byte `cbor:"m"`
}

// PartsRequest asks for parts by hash.
type PartsRequest struct {
	From   string          `cbor:"f"`
	Hashes []snapshot.Hash `cbor:"h"`
}

// PartsReply carries those of the parts that the receiver holds and that fit
// one message; the asker asks again for the rest.
type PartsReply struct {
	Parts [][]byte `cbor:"p"`
}

// Busy answers a request that the receiver has no room for now.
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
