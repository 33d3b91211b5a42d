package peerws

import "sync/atomic"

// Directions of control messages, as labels of port.MetricControlBytes.
const (
	DirectionSent     = "sent"
	DirectionReceived = "received"
)

// traffic counts the bytes of control messages of this process, before TLS.
// One process is one node, so the count needs no owner.
var traffic struct{ sent, received atomic.Uint64 }

// SentBytes returns the bytes of control messages encoded for peers since the
// start.
func SentBytes() uint64 { return traffic.sent.Load() }

// ReceivedBytes returns the bytes of control messages from peers since the
// start.
func ReceivedBytes() uint64 { return traffic.received.Load() }
