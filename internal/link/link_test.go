package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// Archives of 90 KB are requested at twice the rate that a link of 15.4 Mbit/s carries.
// Admitted ones must wait no longer than allowed, and the others must be refused at once
// with a retry time. Without the refusals the wait grows by a second each second.
func TestLargeResponsesWaitNoLongerThanAllowed(t *testing.T) {
	const size = 90e3
	const maxWait = 300 * time.Millisecond
	p := NewPacer(15.4e6 / 8)
	var q TransferQueue
	admitted, refused := 0, 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(23 * time.Millisecond) {
		retryAfter, ok := p.Admit(now, &q, &Transfer{Deadline: now.Add(time.Hour), Size: size}, Terms{MaxWait: maxWait})
		if !ok {
			refused++
			assert.Assert(t, retryAfter > 0)
			continue
		}
		admitted++
		assert.Assert(t, p.Wait(now) <= maxWait)
	}
	carried := int(10 * p.Rate() / size)
	assert.Assert(t, admitted >= carried && admitted <= carried+8, "%d admitted, %d carried", admitted, carried)
	assert.Assert(t, refused > 0)
}

// Ten archives are refused at the same time. Their retry times must be spread at the
// rate at which the link gets capacity for them.
func TestRetryTimesAreSpread(t *testing.T) {
	const size = 90e3
	p := NewPacer(15.4e6 / 8)
	p.CountUnpaced(start, 2e6)
	last := time.Duration(0)
	for range 10 {
		retryAfter, ok := p.Admit(start, &TransferQueue{}, &Transfer{Deadline: start.Add(time.Hour), Size: size}, Terms{})
		assert.Assert(t, !ok)
		assert.Assert(t, retryAfter >= last+time.Duration(0.9*size/p.Rate()*float64(time.Second)))
		last = retryAfter
	}
}

// Sent bytes must keep to the rate, whatever the size of the chunks.
func TestReserveKeepsTheRate(t *testing.T) {
	p := NewPacer(1e6)
	now := start
	sent := 0
	for now.Before(start.Add(time.Second)) {
		now = now.Add(p.Reserve(now, 8<<10))
		sent += 8 << 10
	}
	assert.Assert(t, float64(sent) <= p.Rate()+burst+8<<10, "%d bytes", sent)
	assert.Assert(t, float64(sent) >= 0.95*p.Rate(), "%d bytes", sent)
}

// Small responses use half of the rate. Large ones must be limited to the other half, so
// that both together never exceed the rate.
func TestLargeResponsesGetTheRemainingRate(t *testing.T) {
	const step = 10 * time.Millisecond
	p := NewPacer(1e6)
	small, large := 0, 0
	next := start
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(step) {
		chunk := int(p.Rate() / 2 * step.Seconds())
		p.CountUnpaced(now, chunk)
		small += chunk
		for !next.After(now) {
			next = now.Add(max(p.Reserve(now, 4<<10), time.Microsecond))
			large += 4 << 10
		}
	}
	assert.Assert(t, float64(small+large) <= 1.05*2*p.Rate(), "%d bytes small, %d large", small, large)
	assert.Assert(t, float64(large) >= 0.8*p.Rate(), "%d bytes", large)
}

func TestUnknownLinkIsNotPaced(t *testing.T) {
	p := NewPacer(0)
	_, ok := p.Admit(start, &TransferQueue{}, &Transfer{Size: 1e9}, Terms{})
	assert.Assert(t, ok)
	assert.Equal(t, p.Reserve(start, 1e9), time.Duration(0))
	assert.Equal(t, p.Wait(start), time.Duration(0))
}

// A response that is due before the others doesn't wait behind them and must be admitted; one
// that can't arrive before its deadline must be refused, although it may wait longer.
func TestAdmissionCountsWhatIsDueEarlier(t *testing.T) {
	const size = 100e3
	p := NewPacer(1e6)
	var q TransferQueue
	transfer := func(due, deadline time.Duration) *Transfer {
		return &Transfer{Due: start.Add(due), Deadline: start.Add(deadline), Size: size}
	}
	terms := Terms{MaxWait: 2 * time.Second, Work: 100 * time.Millisecond}
	for range 15 {
		_, ok := p.Admit(start, &q, transfer(3*time.Second, 8*time.Second), terms)
		assert.Assert(t, ok)
	}
	_, ok := p.Admit(start, &q, transfer(time.Second, 8*time.Second), terms)
	assert.Assert(t, ok, "it is due before the others")
	retryAfter, ok := p.Admit(start, &q, transfer(4*time.Second, time.Second), terms)
	assert.Assert(t, !ok, "its caller stops waiting before")
	assert.Assert(t, retryAfter > 0)
	retryAfter, ok = p.Admit(start, &q, transfer(4*time.Second, 8*time.Second), Terms{MaxWait: time.Second})
	assert.Assert(t, !ok, "it may not wait so long")
	_, ok = p.Admit(start.Add(retryAfter), &q, transfer(4*time.Second, 8*time.Second), Terms{MaxWait: time.Second})
	assert.Assert(t, ok, "the Retry-After must be true")
}

// Where the link's rate is unknown or the response is small, an admission must cost next to
// nothing.
func BenchmarkAdmitWithoutEffect(b *testing.B) {
	var q TransferQueue
	unknown, known := NewPacer(0), NewPacer(1e6)
	for b.Loop() {
		unknown.Admit(start, &q, &Transfer{Size: 1e6}, Terms{})
		known.Admit(start, &q, &Transfer{Size: 1e3}, Terms{})
	}
}

// A link with as many large responses as the target has slots and queue positions.
func BenchmarkAdmitAtFullLink(b *testing.B) {
	var q TransferQueue
	p := NewPacer(1e6)
	deadline := start.Add(time.Hour)
	for range 45 {
		p.Admit(start, &q, &Transfer{Due: deadline, Deadline: deadline, Size: 100e3}, Terms{MaxWait: time.Hour})
	}
	for b.Loop() {
		p.Admit(start, &q, &Transfer{Due: deadline, Deadline: deadline, Size: 100e3}, Terms{})
	}
}
