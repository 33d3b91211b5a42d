package follow

import "time"

// transit tells how late the messages of one feed are, against the quickest one
// that came on it. The clocks of the two nodes needn't agree.
type transit struct {
	// began is when the feed began, reckoned from its quickest message.
	began time.Time
}

// late returns for how much longer than the quickest a message was on its way that
// was sent so long after the feed began; zero where the sender doesn't say.
func (t *transit) late(sent time.Duration, arrived time.Time) time.Duration {
	if sent == 0 {
		return 0
	}
	began := arrived.Add(-sent)
	if t.began.IsZero() || began.Before(t.began) {
		t.began = began
	}
	return began.Sub(t.began)
}
