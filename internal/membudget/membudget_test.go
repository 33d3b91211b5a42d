package membudget

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// run ticks from one time to another as a process that is not paused does.
func run(a *Account, from, to time.Time) (ended []*Holder) {
	for now := from; !now.After(to); now = now.Add(100 * time.Millisecond) {
		ended = append(ended, a.Tick(now)...)
	}
	return ended
}

// Guards against an account that exceeds its limit, or loses or doubles a grant: after any
// sequence of operations, it holds exactly what was granted and not returned, and it is
// empty when all connections are closed, in whatever order and however often.
func TestAccountIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(rapid.Int64Range(0, 1<<20).Draw(t, "limit"))
		var holders [6]Holder
		var model [6][NumPurposes]int64
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(holders)-1).Draw(t, "connection")
			h, purpose := &holders[i], Purpose(rapid.IntRange(0, int(NumPurposes)-1).Draw(t, "purpose"))
			bytes := rapid.Int64Range(0, 1<<19).Draw(t, "bytes")
			switch rapid.IntRange(0, 6).Draw(t, "operation") {
			case 0:
				if !h.open {
					a.Open(h)
				}
			case 1:
				if a.Reserve(h, purpose, bytes) {
					model[i][purpose] += bytes
				}
			case 2:
				granted := a.Grow(h, purpose, bytes)
				assert.Assert(t, granted >= 0 && granted <= bytes)
				model[i][purpose] += granted
			case 3:
				a.Return(h, purpose, bytes)
				model[i][purpose] -= min(bytes, model[i][purpose])
			case 4:
				a.Progress(h, now)
			case 5:
				now = now.Add(time.Duration(bytes) * 4 * time.Microsecond)
				a.Tick(now)
				for _, ended := range a.MakeRoom(now, bytes) {
					assert.Assert(t, ended.Ended() && ended.open)
				}
			case 6:
				a.Close(h)
				a.Close(h)
				model[i] = [NumPurposes]int64{}
			}
			checkModel(t, a, &holders, &model)
		}
		for i := range holders {
			a.Close(&holders[i])
		}
		assert.Equal(t, a.Total(), int64(0))
		assert.Equal(t, a.ending, int64(0))
		assert.Equal(t, len(a.holders), 0)
	})
}

func checkModel(t *rapid.T, a *Account, holders *[6]Holder, model *[6][NumPurposes]int64) {
	total, ending := int64(0), int64(0)
	byPurpose := [NumPurposes]int64{}
	for i := range model {
		assert.Equal(t, holders[i].held, model[i])
		for purpose, bytes := range model[i] {
			total += bytes
			byPurpose[purpose] += bytes
			if holders[i].ended {
				ending += bytes
			}
		}
	}
	assert.Assert(t, total <= a.Limit(), "%d", total)
	assert.Equal(t, a.Total(), total)
	assert.Equal(t, a.byPurpose, byPurpose)
	assert.Equal(t, a.ending, ending)
}

// Guards against buffers that leave no room: 200 connections take all that they can get.
// Each later one gets less, none gets nothing, and the reserve stays free.
func TestGrantsShrinkAsTheAccountFills(t *testing.T) {
	const connections, limit = 200, 64 << 20
	a := New(limit)
	last := int64(limit)
	for range connections {
		h := &Holder{}
		a.Open(h)
		granted := a.Grow(h, BufferedResponse, limit)
		assert.Assert(t, granted > 0 && granted <= last, "%d after %d", granted, last)
		assert.Equal(t, a.Grow(h, BufferedResponse, limit), int64(0))
		last = granted
	}
	assert.Assert(t, a.Total() <= limit-limit/reserveDivisor, "%d", a.Total())
	h := &Holder{}
	a.Open(h)
	assert.Assert(t, a.Reserve(h, RequestBody, limit/reserveDivisor))
}

// Guards against ending a connection that reads, or a small one while a large one holds
// more: of the slow readers, the one with most bytes and the longest time without progress
// is first.
func TestWorstSlowReaderEndsFirst(t *testing.T) {
	a := New(100)
	reads, small, large, waits := &Holder{}, &Holder{}, &Holder{}, &Holder{}
	for h, bytes := range map[*Holder]int64{reads: 40, small: 10, large: 30, waits: 20} {
		a.Open(h)
		assert.Assert(t, a.Reserve(h, WrittenResponse, bytes))
		if h != waits {
			a.Progress(h, start)
		}
	}
	now := start.Add(3 * time.Second)
	a.Progress(reads, now.Add(-time.Second))
	run(a, start, now)
	assert.Equal(t, len(a.MakeRoom(now, 41)), 0, "ending all slow readers would not be enough")
	assert.Assert(t, slices.Equal(a.MakeRoom(now, 20), []*Holder{large}))
	assert.Assert(t, a.FreesSoon(30) && !a.FreesSoon(31))
	assert.Equal(t, len(a.MakeRoom(now, 30)), 0, "the one that ends makes the room")
	assert.Equal(t, a.Grow(large, WrittenResponse, 1), int64(0))
	assert.Assert(t, a.Close(large) && !a.Close(small))
	assert.Equal(t, a.Total(), int64(60))
}

// Guards against any number of slow readers, and against their holding most of the memory.
func TestSlowReadersAreBounded(t *testing.T) {
	for _, test := range []struct {
		desc    string
		readers int
		bytes   int64
		ended   int
	}{
		{"few with few bytes", MaxSlowReaders, 1, 0},
		{"too many", MaxSlowReaders + 3, 1, 3},
		{"too many bytes", 10, 80, 4},
	} {
		t.Run(test.desc, func(t *testing.T) {
			a := New(1000)
			for range test.readers {
				h := &Holder{}
				a.Open(h)
				assert.Assert(t, a.Reserve(h, WrittenResponse, test.bytes))
				a.Progress(h, start)
			}
			assert.Equal(t, len(run(a, start, start.Add(SlowAfter-time.Millisecond))), 0)
			assert.Equal(t, len(run(a, start.Add(SlowAfter), start.Add(2*SlowAfter))), test.ended)
		})
	}
}

// Guards against ending readers for the time in which the node itself was paused: they
// have had no chance to read. The first to notice the pause may be a request or a tick.
func TestPausedNodeDoesNotBlameItsReaders(t *testing.T) {
	for _, tickFirst := range []bool{true, false} {
		a := New(100)
		h := &Holder{}
		a.Open(h)
		assert.Assert(t, a.Reserve(h, WrittenResponse, 100))
		a.Progress(h, start)
		run(a, start, start.Add(time.Second))
		resumed := start.Add(time.Minute)
		if tickFirst {
			assert.Equal(t, len(a.Tick(resumed)), 0)
		}
		assert.Equal(t, len(a.MakeRoom(resumed, 1)), 0)
		run(a, resumed, resumed.Add(SlowAfter-time.Millisecond))
		assert.Assert(t, !h.Ended())
		run(a, resumed.Add(SlowAfter), resumed.Add(SlowAfter))
		assert.Assert(t, h.Ended())
	}
}

// Guards against a target that is sent the same load again after it crashed under it, and
// against a bound that stays for good.
func TestTargetBound(t *testing.T) {
	var target Target
	target.Add(4 << 20)
	assert.Assert(t, target.Fits(1<<40))
	target.Add(-4 << 20)
	assert.Assert(t, !target.RecordCrash(1<<20))
	assert.Assert(t, target.RecordCrash(4<<20))
	assert.Equal(t, target.Bound(), int64(3<<20))
	assert.Assert(t, target.Fits(3<<20+1), "a large request alone is refused for good")
	target.Add(1)
	assert.Assert(t, target.Fits(3<<20-1) && !target.Fits(3<<20))
	target.Add(3<<20 - 1)
	assert.Assert(t, target.Fits(0) && !target.Fits(1))
	target.Add(-3 << 20)
	assert.Assert(t, !target.RecordResponse(start))
	assert.Assert(t, !target.RecordCrash(100), "a crash with few bytes keeps the bound")
	assert.Assert(t, !target.RecordResponse(start.Add(TrustedAfter)))
	assert.Assert(t, !target.RecordResponse(start.Add(2*TrustedAfter-1)))
	assert.Assert(t, target.RecordResponse(start.Add(2*TrustedAfter)))
	assert.Assert(t, target.Fits(1<<40))
}
