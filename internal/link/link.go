// Package link shares a VM's network link between large answers and everything
// else. It answers the load of a service whose answers together need more than
// the links of its VMs carry: without it the queue of the link grows to seconds,
// and small answers of calls, heartbeats and new connections wait in it behind
// archives. The package is pure: time is handed in.
package link

import "time"

const (
	// Large is the size from which an answer is paced. Below it an answer takes
	// less than 30 ms of a link of 10 Mbit/s, and holds no other up for long.
	LargeSize = 32 << 10
	// share is the part of the link that answers may take together. The rest is
	// for acknowledgements, the headers of packets and what is not counted here.
	share = 0.93
	// nearlyFree is the wait below which a link counts as free: one small answer
	// or two are always on their way.
	nearlyFree = 10 * time.Millisecond
	// burst is how far the pace may be behind what was granted.
	burst = 16 << 10
)

// Share is the part of a link that answers have. It is not safe for
// concurrent use.
type Pacer struct {
	// rate is what all answers together may take, in bytes a second; 0 for a link that needs no pacing.
	rate float64
	// backlog is what is yet to be sent, as of at.
	backlog float64
	at      time.Time
	// nextReturn is the time that was told to the last caller who was refused.
	nextReturn time.Time
	// paid is when the bytes sent so far are paid for by the pace.
	paid time.Time
}

// NewShare returns the share of a link of so many bytes a second; 0 means that
// the link's speed is not known and nothing is paced.
func NewPacer(bytesPerSecond float64) *Pacer { return &Pacer{rate: share * bytesPerSecond} }

// Rate is the pace of answers in bytes a second.
func (s *Pacer) Rate() float64 { return s.rate }

// Wait is how long a new large answer waits for those ahead of it.
func (s *Pacer) Wait(now time.Time) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	s.drain(now)
	return time.Duration(s.backlog / s.rate * float64(time.Second))
}

// Admit takes an answer of an expected size into the backlog, or reports false
// if its last byte would wait longer than it may, and when to come back. An
// answer that finds the link free is always taken.
func (s *Pacer) Admit(now time.Time, size float64, wait time.Duration) (retryAfter time.Duration, ok bool) {
	if s.rate <= 0 || size < LargeSize {
		return 0, true
	}
	if s.Wait(now) < nearlyFree {
		s.backlog += size
		return 0, true
	}
	alone := time.Duration(size / s.rate * float64(time.Second))
	// Those sent beside it take as much of the link as it does.
	if took := s.Wait(now) + MaxConcurrent*alone; took > wait {
		return s.bookReturn(now, took-wait, alone), false
	}
	s.backlog += size
	return 0, true
}

// mostReturn bounds the time after which a refused caller is asked back.
const mostReturn = 10 * time.Second

// bookReturn tells a refused caller when the link is likely to have room for it.
// Each refusal books the time of one answer, so that callers who were refused
// together don't come back together and are refused again.
func (s *Pacer) bookReturn(now time.Time, earliest, alone time.Duration) time.Duration {
	if first := now.Add(earliest); s.nextReturn.Before(first) {
		s.nextReturn = first
	} else {
		s.nextReturn = s.nextReturn.Add(alone)
	}
	if last := now.Add(mostReturn); s.nextReturn.After(last) {
		s.nextReturn = last
	}
	return s.nextReturn.Sub(now)
}

// Correct replaces the expected size of an admitted answer by its true one.
func (s *Pacer) CorrectSize(expected, size float64) {
	if s.rate > 0 && expected >= LargeSize {
		s.backlog = max(0, s.backlog+size-expected)
	}
}

// Small counts bytes that are sent without a pace: small answers, and requests
// to other VMs. Large answers get what these leave. At a VM whose link carries 21
// archives a second, 50 calls a second took an eighth of it; not counted, they
// filled its queue all the same.
func (s *Pacer) CountUnpaced(now time.Time, bytes int) {
	if s.rate <= 0 {
		return
	}
	s.drain(now)
	s.backlog += float64(bytes)
	s.pay(now, bytes)
}

func (s *Pacer) drain(now time.Time) {
	if !s.at.IsZero() {
		s.backlog = max(0, s.backlog-s.rate*now.Sub(s.at).Seconds())
	}
	s.at = now
}

// Pace returns how long to wait before so many bytes of a large answer are sent.
func (s *Pacer) Reserve(now time.Time, bytes int) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	s.pay(now, bytes)
	return max(0, s.paid.Sub(now))
}

func (s *Pacer) pay(now time.Time, bytes int) {
	if earliest := now.Add(-time.Duration(burst / s.rate * float64(time.Second))); s.paid.Before(earliest) {
		s.paid = earliest
	}
	s.paid = s.paid.Add(time.Duration(float64(bytes) / s.rate * float64(time.Second)))
}
