package follow

import "time"

// transit dates the messages of one feed by when they were sent. The clocks of the
// two nodes needn't agree: the quickest message tells when the feed began.
type transit struct {
	// opened is when this node asked for the feed.
	opened time.Time
	// heard is set by the first message.
	heard bool
	// began is when the feed began, reckoned from its quickest message but the first.
	began time.Time
}

// sentAt returns when a message was sent, at the earliest, that arrives now; sent is
// counted by the sender from the feed's beginning, and zero where it doesn't say.
func (t *transit) sentAt(sent time.Duration, now time.Time) time.Time {
	if !t.heard {
		// It carries the sender's whole view and may be long in transit.
		t.heard = true
		return t.opened
	}
	if sent == 0 {
		return now
	}
	began := now.Add(-sent)
	if t.began.IsZero() || began.Before(t.began) {
		t.began = began
	}
	return t.began.Add(sent)
}
