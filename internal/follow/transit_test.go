package follow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMessagesAreDatedByShortestTransit(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	feed := feedClock{openedAt: start}
	for _, test := range []struct {
		desc                string
		sent, arrived, late time.Duration
	}{
		{"first message, counted from the request of the feed", 0, 80 * time.Millisecond, 80 * time.Millisecond},
		{"second message, no other to compare with", 100 * time.Millisecond, 150 * time.Millisecond, 0},
		{"shorter transit", 400 * time.Millisecond, 430 * time.Millisecond, 0},
		{"saturated link", 700 * time.Millisecond, 2430 * time.Millisecond, 1700 * time.Millisecond},
		{"link queue drains", 1000 * time.Millisecond, 2450 * time.Millisecond, 1420 * time.Millisecond},
		{"shortest transit again", 2500 * time.Millisecond, 2530 * time.Millisecond, 0},
		{"no send time reported", 0, 5 * time.Second, 0},
	} {
		now := start.Add(test.arrived)
		assert.Equal(t, now.Sub(feed.sentAt(test.sent, now)), test.late, test.desc)
	}
}
