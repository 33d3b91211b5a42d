package membudget

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a host that keeps others from opening streams, and against streams over the limit.
func TestStreamsOfOneHostDisplaceEachOther(t *testing.T) {
	streams := NewStreams[int](4)
	_, end := streams.Open("node", 0)
	assert.Assert(t, end == nil)
	for i := 1; i < 4; i++ {
		_, end = streams.Open("crowd", i)
		assert.Assert(t, end == nil)
	}
	for i := 4; i < 20; i++ {
		_, end = streams.Open("crowd", i)
		assert.Equal(t, end.Owner, i-3)
	}
	restarted, end := streams.Open("another node", 20)
	assert.Equal(t, end.Owner, 17)
	streams.Close(restarted)
	streams.Close(restarted)
	_, end = streams.Open("another node", 21)
	assert.Assert(t, end == nil)
}

// Guards against streams of which the limit loses count, in any order of events.
func TestStreamsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		streams := NewStreams[string](limit)
		var open []*Stream[string]
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				host := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host")
				opened, end := streams.Open(host, host)
				open = append(open, opened)
				if end == nil {
					return
				}
				assert.Equal(t, len(open), limit+1)
				perHost := map[string]int{}
				for _, stream := range open {
					perHost[stream.Owner]++
				}
				for _, count := range perHost {
					assert.Assert(t, count <= perHost[end.Owner])
				}
				i := slices.Index(open, end)
				assert.Assert(t, i >= 0 && i < limit, "not the new one")
				open = slices.Delete(open, i, i+1)
				streams.Close(end)
			},
			"close": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("no stream is open")
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "stream")
				streams.Close(open[i])
				open = slices.Delete(open, i, i+1)
			},
			"": func(t *rapid.T) {
				assert.Assert(t, len(open) <= limit)
				assert.Equal(t, len(streams.list), len(open))
			},
		})
	})
}
