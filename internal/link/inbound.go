package link

import "time"

// Inbound counts the large responses on their way to a VM, which share its link. It is
// needed where many downloads are requested by one node: the owner nodes know their own
// links only, so that the receiving link fills without anyone noticing. It is not safe for
// concurrent use.
type Inbound struct {
	// rate is the rate of all responses together in bytes per second; 0 if unknown.
	rate float64
	// coming holds the expected sizes of the responses in bytes, each until its last byte has
	// arrived, and count their number.
	coming float64
	count  int
}

// NewInbound returns the state of a link with the given bandwidth. If it is 0, the link's speed
// is unknown, and nothing is delayed or refused.
func NewInbound(bytesPerSecond float64) *Inbound {
	return &Inbound{rate: responseShare * bytesPerSecond}
}

// Time returns how long a further response of an expected size in bytes would take to arrive
// if it shared the link with all that are on their way; 0 if it isn't large or the link's speed
// is unknown.
func (i *Inbound) Time(size float64) time.Duration {
	if i.rate <= 0 || size < LargeSize {
		return 0
	}
	return transferTime(i.coming+size, i.rate)
}

// Begin adds a response of an expected size in bytes that must arrive within left. If it can't,
// Begin returns false and the time after which to retry. A response is always added if no other
// is on its way. End must follow if it was added.
func (i *Inbound) Begin(size float64, left time.Duration) (retryAfter time.Duration, ok bool) {
	if i.rate <= 0 || size < LargeSize {
		return 0, true
	}
	if took := i.Time(size); i.count > 0 && took > left {
		return max(took-left, transferTime(size, i.rate)), false
	}
	i.coming += size
	i.count++
	return 0, true
}

// End removes a response that Begin added with the same size: it has arrived, or it won't.
func (i *Inbound) End(size float64) {
	if i.rate <= 0 || size < LargeSize {
		return
	}
	i.coming -= size
	if i.count--; i.count == 0 {
		// Sums of fractions leave a rest.
		i.coming = 0
	}
}
