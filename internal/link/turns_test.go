package link

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTurnsGoByDueTime(t *testing.T) {
	var q Turns
	for range AtOnce {
		assert.Assert(t, q.Ask(&Turn{Due: start}))
	}
	late, early, gone := &Turn{Due: start.Add(2 * time.Second)}, &Turn{Due: start.Add(time.Second)}, &Turn{Due: start}
	for _, turn := range []*Turn{late, early, gone} {
		assert.Assert(t, !q.Ask(turn))
	}
	assert.Assert(t, q.Cancel(gone))
	assert.Equal(t, q.End(), early)
	assert.Assert(t, !q.Cancel(early), "its turn came")
	assert.Equal(t, q.End(), late)
	for range AtOnce {
		assert.Assert(t, q.End() == nil)
	}
	assert.Assert(t, q.Ask(&Turn{}))
}

// archive is one answer of the played load.
type archive struct {
	arrived, ready time.Time
	size           float64
}

// The played load: archives of 280 KB on average, asked for at 1.5 times the rate
// that a link of 22.4 Mbit/s carries. Targets take 210 ms for one on average, and
// callers want it within 1,200 ms.
const (
	playedLink    = 22.4e6 / 8
	playedSize    = 280e3
	playedHold    = 210 * time.Millisecond
	playedWithin  = 1200 * time.Millisecond
	playedDemand  = 1.5
	playedSpread  = 0.5
	playedArrives = 3000
)

// admitted returns the archives that are taken, in the order in which they are
// ready.
func admitted() []archive {
	random := rand.New(rand.NewPCG(1, 2))
	spread := func() float64 { return math.Exp(playedSpread*random.NormFloat64() - playedSpread*playedSpread/2) }
	share := NewShare(playedLink)
	between := playedSize / share.Rate() / playedDemand * float64(time.Second)
	var taken []archive
	now := start
	for range playedArrives {
		now = now.Add(time.Duration(random.ExpFloat64() * between))
		size, hold := playedSize*spread(), time.Duration(float64(playedHold)*spread())
		if _, ok := share.Admit(now, playedSize, playedWithin-3*playedHold/2); !ok {
			continue
		}
		share.Correct(playedSize, size)
		taken = append(taken, archive{arrived: now, ready: now.Add(hold), size: size})
	}
	slices.SortFunc(taken, func(a, b archive) int { return a.ready.Compare(b.ready) })
	return taken
}

// inTime sends the archives one after another in the order of due, and returns
// which part of them came within the time that callers want.
func inTime(archives []archive, due func(archive) time.Time) float64 {
	var q Turns
	for range AtOnce {
		q.Ask(&Turn{})
	}
	waiting := map[*Turn]archive{}
	now, good, next := start, 0, 0
	for next < len(archives) || len(waiting) > 0 {
		if len(waiting) == 0 && archives[next].ready.After(now) {
			now = archives[next].ready
		}
		for ; next < len(archives) && !archives[next].ready.After(now); next++ {
			turn := &Turn{Due: due(archives[next])}
			waiting[turn] = archives[next]
			q.Ask(turn)
		}
		turn := q.End()
		now = now.Add(time.Duration(waiting[turn].size / NewShare(playedLink).Rate() * float64(time.Second)))
		if now.Sub(waiting[turn].arrived) <= playedWithin {
			good++
		}
		delete(waiting, turn)
	}
	return float64(good) / float64(len(archives))
}

// Archives are asked for beyond what the link carries, and targets take uneven
// times for them. Of those that are taken, callers get more in time if the one
// that is due first is sent first than if the first that is ready is.
func TestDueFirstIsInTimeMoreOften(t *testing.T) {
	taken := admitted()
	readyFirst := inTime(taken, func(a archive) time.Time { return a.ready })
	dueFirst := inTime(taken, func(a archive) time.Time { return a.arrived.Add(playedWithin) })
	t.Logf("in time: %.3f when the first that is ready goes first, %.3f when the one due first does", readyFirst, dueFirst)
	assert.Assert(t, dueFirst > readyFirst)
	assert.Assert(t, dueFirst >= 0.97, "%.3f", dueFirst)
}
