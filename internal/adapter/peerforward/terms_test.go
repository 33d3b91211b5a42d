package peerforward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// Terms survive the way, names with spaces too, and the owner's deadline is
// what was left when the entry node sent the call, less a tenth for the answer's
// way back.
func TestTermsRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	call := port.Call{
		Customer: "Fraser Valley & co", Route: "tallies", Service: "tally", Entry: "vm 1", Chain: []string{"a b", "c;d"}, NoWait: true,
		Version: snapshot.Version{Epoch: 1, Revision: 7}, StallTimeout: time.Second, Deadline: now.Add(250 * time.Millisecond),
	}
	var got port.Call
	there := now.Add(time.Hour)
	assert.NilError(t, decodeTerms(encodeTerms(&call, now), there, &got))
	call.Deadline = there.Add(225 * time.Millisecond)
	assert.DeepEqual(t, got, call)
	late := port.Call{Deadline: now.Add(-time.Second)}
	assert.NilError(t, decodeTerms(encodeTerms(&late, now), there, &got))
	assert.Equal(t, got.Deadline, there, "a deadline that is over must not become an error or a new one")
}

// Whatever arrives is read or refused, never a panic.
func FuzzDecodeTerms(f *testing.F) {
	f.Add(encodeTerms(&port.Call{Customer: "c"}, time.Unix(0, 0)))
	f.Add("a;b;c;d;1.1;e%2Cf;true;9223372036854775807;-1")
	f.Fuzz(func(t *testing.T, text string) {
		var call port.Call
		if decodeTerms(text, time.Unix(0, 0), &call) == nil {
			assert.Assert(t, !call.Deadline.Before(time.Unix(0, 0)) && call.StallTimeout >= 0)
		}
	})
}
