package peerws

import (
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

func TestMessagesRoundTrip(t *testing.T) {
	sent := port.Announce{From: "vm-1", Version: snapshot.Version{Epoch: 1, Revision: 7}, Root: snapshot.HashOf([]byte("x"))}
	raw, err := encode(sent, 3, 0)
	assert.NilError(t, err)
	frame, got, err := decode(raw)
	assert.NilError(t, err)
	assert.Equal(t, frame.RequestID, uint64(3))
	assert.DeepEqual(t, got, sent)
}

// FuzzDecode guards against a panic while decoding: with it, one broken peer could crash all
// nodes of a domain. Decoding any input must return either a message or an error.
func FuzzDecode(f *testing.F) {
	for _, message := range []port.Message{port.Heartbeat{}, port.PartsReply{Parts: [][]byte{{1}}}, port.Busy{RetryAfter: 1},
		port.Gossip{Records: make([]membership.Record, 2), Marks: make([]membership.DepartureMark, 1)}, port.ProbeRequest{}, port.ProbeReply{},
		port.SyncRequest{Digest: make([]membership.DomainDigest, 2)}, port.SyncReply{Domains: []string{"a"}, Records: make([]membership.Record, 1)}} {
		raw, err := encode(message, 1, 2)
		assert.NilError(f, err)
		f.Add(raw)
		f.Add(raw[:len(raw)/2])
	}
	f.Add([]byte{0xbf, 0x9f, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, message, err := decode(raw)
		assert.Check(t, err != nil || message != nil)
	})
}
