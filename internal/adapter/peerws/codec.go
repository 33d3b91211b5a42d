// Package peerws carries control messages between nodes as CBOR over
// WebSocket connections with mutual TLS. Many messages share one connection;
// answers are matched to questions by number, never by order.
package peerws

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tamarackquay/internal/port"
)

// MaxMessageBytes bounds a control message: one part of the largest size with
// room for its envelope.
const MaxMessageBytes = 2 << 20

// ErrBadMessage says that a peer sent what can't be decoded.
var ErrBadMessage = errors.New("bad peer message")

// envelope is the frame around each message.
type envelope struct {
	Type port.MessageType `cbor:"t"`
	// Question numbers a message that wants an answer; 0 wants none.
	Question uint64 `cbor:"q,omitempty"`
	// Answer is the number of the question that this message answers.
	Answer uint64          `cbor:"a,omitempty"`
	Body   cbor.RawMessage `cbor:"b"`
}

// Limits on what is decoded: they bound the memory that a broken peer can make
// this node take.
const (
	maxArrayElements = 1 << 14
	maxMapPairs      = 64
	maxNesting       = 12
)

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodedSize is the number of bytes that a message takes on the wire, without
// the framing of the layers below; measurements count with it.
func EncodedSize(message port.Message) (int, error) {
	raw, err := encode(message, 1, 0)
	return len(raw), err
}

func encode(message port.Message, question, answer uint64) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	raw, err := cbor.Marshal(envelope{Type: message.MessageType(), Question: question, Answer: answer, Body: body})
	return raw, errors.Wrap(err, "encode envelope")
}

func decode(raw []byte) (envelope, port.Message, error) {
	var frame envelope
	if err := decoder.Unmarshal(raw, &frame); err != nil {
		return frame, nil, errors.Wrap(ErrBadMessage, err.Error())
	}
	message, err := decodeBody(frame)
	return frame, message, err
}

// bodies decodes the body of each type of message.
var bodies = map[port.MessageType]func(body []byte) (port.Message, error){
	port.TypeHeartbeat:       decodeAs[port.Heartbeat],
	port.TypeAnnounce:        decodeAs[port.Announce],
	port.TypeManifestRequest: decodeAs[port.ManifestRequest],
	port.TypeManifestReply:   decodeAs[port.ManifestReply],
	port.TypePartsRequest:    decodeAs[port.PartsRequest],
	port.TypePartsReply:      decodeAs[port.PartsReply],
	port.TypeBusy:            decodeAs[port.Busy],
	port.TypeGossip:          decodeAs[port.Gossip],
	port.TypeProbeRequest:    decodeAs[port.ProbeRequest],
	port.TypeProbeReply:      decodeAs[port.ProbeReply],
	port.TypeSyncRequest:     decodeAs[port.SyncRequest],
	port.TypeSyncReply:       decodeAs[port.SyncReply],
}

func decodeBody(frame envelope) (port.Message, error) {
	decodeType, ok := bodies[frame.Type]
	if !ok {
		return nil, errors.Wrapf(ErrBadMessage, "unknown type %d", frame.Type)
	}
	return decodeType(frame.Body)
}

func decodeAs[T port.Message](body []byte) (port.Message, error) {
	var message T
	if err := decoder.Unmarshal(body, &message); err != nil {
		return nil, errors.Wrap(ErrBadMessage, err.Error())
	}
	return message, nil
}
