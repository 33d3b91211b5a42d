package peerforward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// Guards against metadata that changes on the way to the owner node, for example in names
// with spaces. The owner's deadline must be the remaining time at which the entry node
// sent the call, less a tenth for sending the response.
func TestMetaRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	call := port.Call{
		Customer: "Fraser Valley & co", Route: "tallies", Service: "tally", Entry: "vm 1", Chain: []string{"a b", "c;d"}, NoWait: true,
		Version: snapshot.Version{Epoch: 1, Revision: 7}, StallTimeout: time.Second, Deadline: now.Add(250 * time.Millisecond),
	}
	var got port.Call
	ownerNow := now.Add(time.Hour)
	assert.NilError(t, decodeMeta(encodeMeta(&call, now), ownerNow, &got))
	call.Deadline = ownerNow.Add(225 * time.Millisecond)
	assert.DeepEqual(t, got, call)
	expired := port.Call{Deadline: now.Add(-time.Second)}
	assert.NilError(t, decodeMeta(encodeMeta(&expired, now), ownerNow, &got))
	assert.Equal(t, got.Deadline, ownerNow, "a passed deadline must not become an error or a new deadline")
}

// Any input must be decoded or rejected, without a panic.
func FuzzDecodeMeta(f *testing.F) {
	f.Add(encodeMeta(&port.Call{Customer: "c"}, time.Unix(0, 0)))
	f.Add("a;b;c;d;1.1;e%2Cf;true;9223372036854775807;-1")
	f.Fuzz(func(t *testing.T, text string) {
		var call port.Call
		if decodeMeta(text, time.Unix(0, 0), &call) == nil {
			assert.Assert(t, !call.Deadline.Before(time.Unix(0, 0)) && call.StallTimeout >= 0)
		}
	})
}
