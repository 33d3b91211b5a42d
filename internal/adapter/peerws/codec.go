// Package peerws sends control messages between nodes as CBOR over WebSocket connections
// with mutual TLS. Concurrent requests share one connection; responses are matched to
// requests by number, not by order.
package peerws

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tamarackquay/internal/port"
)

// MaxMessageBytes limits the size of a control message. It is enough for one part of the
// largest size and the envelope.
const MaxMessageBytes = 2 << 20

// ErrBadMessage means that a peer sent a message that can't be decoded.
var ErrBadMessage = errors.New("bad peer message")

// envelope is the frame around each message.
type envelope struct {
	Type port.MessageType `cbor:"t"`
	// RequestID is the number of a request; 0 for a message that expects no response.
	RequestID uint64 `cbor:"q,omitempty"`
	// ResponseTo is the number of the request that this message responds to; 0 for none.
	ResponseTo uint64          `cbor:"a,omitempty"`
	Body       cbor.RawMessage `cbor:"b"`
}

// Limits of decoded messages. They bound the memory that a broken peer can make this node
// allocate.
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

// EncodedSize returns the size of an encoded message in bytes, without the framing of the
// layers below. Measurements use it.
func EncodedSize(message port.Message) (int, error) {
	raw, err := encode(message, 1, 0)
	return len(raw), err
}

func encode(message port.Message, requestID, responseTo uint64) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	raw, err := cbor.Marshal(envelope{Type: message.MessageType(), RequestID: requestID, ResponseTo: responseTo, Body: body})
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

// bodyDecoders holds the decoder of the body of each message type.
var bodyDecoders = map[port.MessageType]func(body []byte) (port.Message, error){
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
	decodeType, ok := bodyDecoders[frame.Type]
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
