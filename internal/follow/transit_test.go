package follow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMessagesAreLateAgainstTheQuickest(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var feed transit
	for _, test := range []struct {
		desc                string
		sent, arrived, want time.Duration
	}{
		{"the sender doesn't say", 0, 5 * time.Second, 0},
		{"nothing to compare with", 100 * time.Millisecond, 150 * time.Millisecond, 0},
		{"a quicker one", 400 * time.Millisecond, 430 * time.Millisecond, 0},
		{"the link is full", 700 * time.Millisecond, 2430 * time.Millisecond, 1700 * time.Millisecond},
		{"the link drains", 1000 * time.Millisecond, 2450 * time.Millisecond, 1420 * time.Millisecond},
		{"as quick as ever", 2500 * time.Millisecond, 2530 * time.Millisecond, 0},
	} {
		assert.Equal(t, feed.late(test.sent, start.Add(test.arrived)), test.want, test.desc)
	}
}
