package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// Archives of 90 KB are asked for at twice what a link of 15.4 Mbit/s carries.
// Those that are taken wait no longer than they may; the others are refused at
// once with the time at which there is room. Without the refusals the wait
// grows by a second each second.
func TestLargeAnswersWaitNoLongerThanTheyMay(t *testing.T) {
	const size = 90e3
	const mayWait = 300 * time.Millisecond
	s := NewPacer(15.4e6 / 8)
	taken, refused := 0, 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(23 * time.Millisecond) {
		retryAfter, ok := s.Admit(now, size, mayWait)
		if !ok {
			refused++
			assert.Assert(t, retryAfter > 0)
			continue
		}
		taken++
		assert.Assert(t, s.Wait(now) <= mayWait)
	}
	carried := int(10 * s.Rate() / size)
	assert.Assert(t, taken >= carried && taken <= carried+8, "%d of %d", taken, carried)
	assert.Assert(t, refused > 0)
}

// Ten archives are refused at one moment. Their callers are asked back one after
// another, as the link will have room for them.
func TestRefusedTogetherReturnApart(t *testing.T) {
	const size = 90e3
	s := NewPacer(15.4e6 / 8)
	s.CountUnpaced(start, 2e6)
	last := time.Duration(0)
	for range 10 {
		retryAfter, ok := s.Admit(start, size, 0)
		assert.Assert(t, !ok)
		assert.Assert(t, retryAfter >= last+time.Duration(0.9*size/s.Rate()*float64(time.Second)))
		last = retryAfter
	}
}

// What is sent keeps to the pace, whatever the chunks.
func TestPace(t *testing.T) {
	s := NewPacer(1e6)
	now := start
	sent := 0
	for now.Before(start.Add(time.Second)) {
		now = now.Add(s.Reserve(now, 8<<10))
		sent += 8 << 10
	}
	assert.Assert(t, float64(sent) <= s.Rate()+burst+8<<10, "%d", sent)
	assert.Assert(t, float64(sent) >= 0.95*s.Rate(), "%d", sent)
}

// Small answers take half of the share. Large ones keep to the other half, so
// that both together never exceed it.
func TestLargeAnswersGetWhatSmallOnesLeave(t *testing.T) {
	const step = 10 * time.Millisecond
	s := NewPacer(1e6)
	small, large := 0, 0
	next := start
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(step) {
		chunk := int(s.Rate() / 2 * step.Seconds())
		s.CountUnpaced(now, chunk)
		small += chunk
		for !next.After(now) {
			next = now.Add(max(s.Reserve(now, 4<<10), time.Microsecond))
			large += 4 << 10
		}
	}
	assert.Assert(t, float64(small+large) <= 1.05*2*s.Rate(), "%d and %d", small, large)
	assert.Assert(t, float64(large) >= 0.8*s.Rate(), "%d", large)
}

func TestUnknownLinkIsNotPaced(t *testing.T) {
	s := NewPacer(0)
	_, ok := s.Admit(start, 1e9, 0)
	assert.Assert(t, ok)
	assert.Equal(t, s.Reserve(start, 1e9), time.Duration(0))
	assert.Equal(t, s.Wait(start), time.Duration(0))
}
