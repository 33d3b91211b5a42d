// Package link divides a VM's network link between large responses and all other
// traffic. It is needed where the responses of a service together exceed the bandwidth
// of its VMs' links: without it the queue of a link grows to seconds, and small
// responses, heartbeats and new connections wait in it behind archives. The package is
// pure: the caller passes the current time.
package link

import "time"

const (
	// LargeSize is the size in bytes from which a response is paced. A smaller response
	// takes less than 30 ms on a link of 10 Mbit/s and doesn't delay others for long.
	LargeSize = 32 << 10
	// responseShare is the part of the link's bandwidth for all responses together. The
	// rest is for acknowledgements, packet headers and traffic that isn't counted here.
	responseShare = 0.93
	// freeThreshold is the wait below which a link counts as free: one or two small
	// responses are always in transit.
	freeThreshold = 10 * time.Millisecond
	// burst is how many bytes may be sent ahead of the rate.
	burst = 16 << 10
)

// Pacer paces the responses sent over a link. It is not safe for concurrent use.
type Pacer struct {
	// rate is the rate of all responses together, in bytes per second; 0 for a link that
	// needs no pacing.
	rate float64
	// backlog is the number of bytes still to be sent at backlogAt.
	backlog   float64
	backlogAt time.Time
	// lastRetryAt is the time at which the caller that was refused last should retry.
	lastRetryAt time.Time
	// nextSendAt is the time at which the rate covers all bytes sent so far.
	nextSendAt time.Time
}

// NewPacer returns a pacer for a link with the given bandwidth. If it is 0, the link's
// speed is unknown and nothing is paced.
func NewPacer(bytesPerSecond float64) *Pacer { return &Pacer{rate: responseShare * bytesPerSecond} }

// Rate returns the rate of responses in bytes per second.
func (p *Pacer) Rate() float64 { return p.rate }

// Wait returns how long a new large response waits for those ahead of it.
func (p *Pacer) Wait(now time.Time) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	p.drainBacklog(now)
	return transferTime(p.backlog, p.rate)
}

// Terms limit how long an admitted response may take.
type Terms struct {
	// MaxWait is how long the response may wait for the link, including its own transfer.
	MaxWait time.Duration
	// Work is how long the target is expected to take.
	Work time.Duration
}

// Admit adds a response to the queue and its expected size to the backlog. If its last byte
// would wait longer than the terms allow, given the responses that are due earlier, or would
// arrive after its deadline, Admit returns false and the time after which to retry. A response
// is always admitted if the link is free.
func (p *Pacer) Admit(now time.Time, q *TransferQueue, transfer *Transfer, terms Terms) (retryAfter time.Duration, ok bool) {
	if p.rate <= 0 || transfer.Size < LargeSize {
		return 0, true
	}
	if p.Wait(now) >= freeThreshold {
		wait := p.expectedWait(now, q, transfer)
		// Positive if the response takes too long.
		excess := max(wait-terms.MaxWait, now.Add(max(terms.Work, wait)).Sub(transfer.Deadline))
		if excess > 0 {
			return p.reserveRetry(now, excess, transferTime(transfer.Size, p.rate)), false
		}
	}
	p.backlog += transfer.Size
	q.Expect(transfer)
	return 0, true
}

// expectedWait returns the time until the last byte of a response could be sent if it were
// ready at once, after those that are due earlier.
func (p *Pacer) expectedWait(now time.Time, q *TransferQueue, transfer *Transfer) time.Duration {
	// Responses sent concurrently use as much of the link as this one.
	own := MaxConcurrent * transferTime(transfer.Size, p.rate)
	wait := time.Duration(0)
	for _, due := range []time.Time{transfer.Due, transfer.Deadline} {
		wait = own + max(0, p.Wait(now)-transferTime(q.bytesBehind(now, due, p.rate), p.rate))
		if !now.Add(wait).After(due) {
			break
		}
	}
	return wait
}

// maxRetryAfter bounds the retry times of refused callers.
const maxRetryAfter = 10 * time.Second

// reserveRetry returns the time until the link is likely to have capacity for a refused
// response. Each refusal reserves the duration of one response. Otherwise callers that
// were refused together would retry together and be refused again.
func (p *Pacer) reserveRetry(now time.Time, earliest, duration time.Duration) time.Duration {
	if first := now.Add(earliest); p.lastRetryAt.Before(first) {
		p.lastRetryAt = first
	} else {
		p.lastRetryAt = p.lastRetryAt.Add(duration)
	}
	if latest := now.Add(maxRetryAfter); p.lastRetryAt.After(latest) {
		p.lastRetryAt = latest
	}
	return p.lastRetryAt.Sub(now)
}

// CorrectSize replaces the expected size of an admitted response by its actual size,
// both in bytes.
func (p *Pacer) CorrectSize(expected, size float64) {
	if p.rate > 0 && expected >= LargeSize {
		p.backlog = max(0, p.backlog+size-expected)
	}
}

// CountUnpaced counts bytes that are sent without pacing: small responses, and requests
// to other VMs. Large responses get the remaining rate. At a VM whose link carries 21
// archives a second, 50 calls a second used an eighth of it; when these were not
// counted, they still filled the queue of the link.
func (p *Pacer) CountUnpaced(now time.Time, bytes int) {
	if p.rate <= 0 {
		return
	}
	p.drainBacklog(now)
	p.backlog += float64(bytes)
	p.charge(now, bytes)
}

func (p *Pacer) drainBacklog(now time.Time) {
	if !p.backlogAt.IsZero() {
		p.backlog = max(0, p.backlog-p.rate*now.Sub(p.backlogAt).Seconds())
	}
	p.backlogAt = now
}

// Reserve returns how long to wait before sending the given number of bytes of a large
// response.
func (p *Pacer) Reserve(now time.Time, bytes int) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	p.charge(now, bytes)
	return max(0, p.nextSendAt.Sub(now))
}

func (p *Pacer) charge(now time.Time, bytes int) {
	if earliest := now.Add(-time.Duration(burst / p.rate * float64(time.Second))); p.nextSendAt.Before(earliest) {
		p.nextSendAt = earliest
	}
	p.nextSendAt = p.nextSendAt.Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
}
