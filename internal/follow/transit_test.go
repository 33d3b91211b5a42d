package follow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMessagesAreDatedByTheQuickest(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	feed := transit{opened: start}
	for _, test := range []struct {
		desc                string
		sent, arrived, late time.Duration
	}{
		{"the first one, since the feed was asked for", 0, 80 * time.Millisecond, 80 * time.Millisecond},
		{"nothing to compare with", 100 * time.Millisecond, 150 * time.Millisecond, 0},
		{"a quicker one", 400 * time.Millisecond, 430 * time.Millisecond, 0},
		{"the link is full", 700 * time.Millisecond, 2430 * time.Millisecond, 1700 * time.Millisecond},
		{"the link drains", 1000 * time.Millisecond, 2450 * time.Millisecond, 1420 * time.Millisecond},
		{"as quick as ever", 2500 * time.Millisecond, 2530 * time.Millisecond, 0},
		{"the sender doesn't say", 0, 5 * time.Second, 0},
	} {
		now := start.Add(test.arrived)
		assert.Equal(t, now.Sub(feed.sentAt(test.sent, now)), test.late, test.desc)
	}
}
