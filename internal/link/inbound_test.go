package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a receiving link that counts responses which have ended, so that a node
// refuses downloads for ever, and against more on their way than can arrive in time.
func TestInboundKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := NewInbound(1.25e6)
		var open []float64
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "end") {
				i.End(open[0])
				open = open[1:]
				continue
			}
			size := rapid.Float64Range(0, 540e3).Draw(t, "size")
			left := time.Duration(rapid.IntRange(0, 8000).Draw(t, "left")) * time.Millisecond
			took := i.Time(size)
			retryAfter, ok := i.Begin(size, left)
			if !ok {
				assert.Assert(t, took > left && retryAfter >= took-left)
				continue
			}
			large := 0
			for _, other := range open {
				if other >= LargeSize {
					large++
				}
			}
			assert.Assert(t, took <= left || large == 0)
			open = append(open, size)
		}
		for _, size := range open {
			i.End(size)
		}
		assert.Equal(t, i.Time(100e3), transferTime(100e3, i.rate))
	})
}

func TestUnknownReceivingLinkRefusesNothing(t *testing.T) {
	i := NewInbound(0)
	for range 1000 {
		_, ok := i.Begin(1e9, 0)
		assert.Assert(t, ok)
	}
	assert.Equal(t, i.Time(1e9), time.Duration(0))
}
