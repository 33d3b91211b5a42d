package follow

import "time"

// feedClock estimates the send times of the messages of one feed. The clocks of the two
// nodes need not agree: the start of the feed is derived from the message with the shortest
// transit.
type feedClock struct {
	// openedAt is when this node requested the feed.
	openedAt time.Time
	// received is set by the first message.
	received bool
	// startedAt is the start of the feed, derived from the message with the shortest
	// transit except for the first message.
	startedAt time.Time
}

// sentAt returns the earliest time at which the message that arrives now may have been sent.
// Sent is the send time relative to the start of the feed, by the sender's clock; zero if
// the sender doesn't report it.
func (c *feedClock) sentAt(sent time.Duration, now time.Time) time.Time {
	if !c.received {
		// The first message carries the sender's complete view and may be long in transit.
		c.received = true
		return c.openedAt
	}
	if sent == 0 {
		return now
	}
	startedAt := now.Add(-sent)
	if c.startedAt.IsZero() || startedAt.Before(c.startedAt) {
		c.startedAt = startedAt
	}
	return c.startedAt.Add(sent)
}
