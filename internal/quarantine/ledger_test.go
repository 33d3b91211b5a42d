package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// poison is the request that crashes every target; other requests are only running at
// the time.
const poison Fingerprint = 1

// crashes returns crashes of targets that had answered requests, one for each list of
// suspects.
func crashes(suspects ...[]Fingerprint) []Crash {
	list := make([]Crash, len(suspects))
	for i := range list {
		list[i] = Crash{ID: uint64(i + 1), Answered: true, Suspects: suspects[i]}
	}
	return list
}

func TestLedgerBlocksCrashingRequests(t *testing.T) {
	type step struct {
		crash     Crash
		completed Fingerprint
	}
	crashed := func(id uint64, suspects ...Fingerprint) step {
		return step{crash: Crash{ID: id, Answered: true, Suspects: suspects}}
	}
	unanswered := func(id uint64, suspects ...Fingerprint) step {
		return step{crash: Crash{ID: id, Suspects: suspects}}
	}
	completed := func(request Fingerprint) step { return step{completed: request} }
	for _, test := range []struct {
		desc  string
		steps []step
		want  []Fingerprint
	}{
		{"two crashes", []step{crashed(1, 1, 2), crashed(2, 1, 3)}, nil},
		{"three crashes, with other suspects in each", []step{crashed(1, 1, 2), crashed(2, 1, 2), crashed(3, 1, 3)}, []Fingerprint{1}},
		{"one crash that is reported three times", []step{crashed(1, 1, 2), crashed(1, 1, 2), crashed(1, 1, 2)}, nil},
		{"two suspects of the same crashes", []step{crashed(1, 1, 2), crashed(2, 1, 2), crashed(3, 1, 2)}, nil},
		{"two suspects distinguished by a fourth crash", []step{crashed(1, 1, 2), crashed(2, 1, 2), crashed(3, 1, 2), crashed(4, 1)}, []Fingerprint{1}},
		{"one of two suspects completes", []step{crashed(1, 1, 2), crashed(2, 1, 2), crashed(3, 1, 2), completed(2)}, []Fingerprint{1}},
		{"completion between the crashes", []step{crashed(1, 1), crashed(2, 1), completed(1), crashed(3, 1), crashed(4, 1)}, nil},
		{"completion after the block", []step{crashed(1, 1), crashed(2, 1), crashed(3, 1), completed(1)}, nil},
		{"targets that never answered a request", []step{unanswered(1, 1), unanswered(2, 1), unanswered(3, 1), unanswered(4, 1)}, nil},
		{"one of three targets had not answered yet", []step{crashed(1, 1), unanswered(2, 1), crashed(3, 1)}, []Fingerprint{1}},
		{"two independent requests", []step{crashed(1, 1, 9), crashed(2, 2, 9), crashed(3, 1), crashed(4, 2), crashed(5, 1), crashed(6, 2)}, []Fingerprint{1, 2}},
		{
			"a suspect of crashes caused by two others",
			[]step{crashed(1, 1, 9), crashed(2, 1, 9), crashed(3, 1), crashed(4, 2, 9), crashed(5, 2)}, []Fingerprint{1},
		},
	} {
		t.Run(test.desc, func(t *testing.T) {
			l := NewLedger()
			for i, s := range test.steps {
				now := at(float64(i))
				if s.completed != 0 {
					l.RecordCompletion(now, s.completed)
				} else {
					l.RecordCrash(now, s.crash)
				}
			}
			var got []Fingerprint
			for request := range Fingerprint(10) {
				if l.BlockRemaining(at(20), request) > 0 {
					got = append(got, request)
				}
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// Guards against suspecting a request because of crashes that a blocked request
// explains.
func TestBlockExplainsItsCrashes(t *testing.T) {
	l := NewLedger()
	for i, c := range crashes([]Fingerprint{poison, 2}, []Fingerprint{poison, 2}, []Fingerprint{poison}) {
		l.RecordCrash(at(float64(i)), c)
	}
	assert.Equal(t, l.CrashCount(2), 0)
	// Requests in progress when it was blocked may still crash targets.
	l.RecordCrash(at(4), Crash{ID: 9, Answered: true, Suspects: []Fingerprint{poison, 2}})
	assert.Equal(t, l.CrashCount(2), 0)
	assert.Equal(t, l.BlockRemaining(at(4), poison), initialBlockDuration-2*time.Second)
}

// Guards against a request that is never tried again, and against one that is tried
// again just as often although it still crashes targets.
func TestBlockDurationGrows(t *testing.T) {
	l := NewLedger()
	for i, c := range crashes([]Fingerprint{poison}, []Fingerprint{poison}, []Fingerprint{poison}) {
		l.RecordCrash(at(float64(i)), c)
	}
	free := at(2).Add(initialBlockDuration)
	assert.Equal(t, l.BlockRemaining(free, poison), time.Duration(0))
	l.RecordCrash(free, Crash{ID: 7, Answered: true, Suspects: []Fingerprint{poison, 2}})
	assert.Equal(t, l.BlockRemaining(free, poison), blockGrowth*initialBlockDuration)
	assert.Equal(t, l.BlockRemaining(free, 2), time.Duration(0))
}

// Guards against a faulty neighbour that reports a count of blocks for which the duration
// would take forever to compute.
func TestBlockDurationIsBounded(t *testing.T) {
	for _, times := range []int{-1, 0, 1, 1 << 62} {
		l := NewLedger()
		l.Merge(start, 1, &Notice{Blocks: []Block{{Request: poison, Count: times}}})
		left := l.BlockRemaining(start, poison)
		assert.Assert(t, left >= initialBlockDuration && left <= maxBlockDuration, "times %d: %s", times, left)
	}
}

// Guards against memory use that grows with the number of crashes, of requests or of a
// target's slots.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger()
	random := rand.New(rand.NewPCG(1, 1))
	now := start
	for id := range uint64(maxBlocks + 50) {
		now = now.Add(time.Second)
		c := Crash{ID: id, Answered: true}
		for range 2 * maxSuspects {
			c.Suspects = append(c.Suspects, Fingerprint(random.Uint64()))
		}
		l.RecordCrash(now, c)
		for _, request := range c.Suspects[:maxSuspects] {
			l.RecordCompletion(now, request)
		}
		l.Merge(now, 1, &Notice{Blocks: []Block{{Request: Fingerprint(id), Count: 1}}})
	}
	assert.Equal(t, len(l.crashes), maxCrashes)
	assert.Assert(t, len(l.completed) <= maxCompleted)
	assert.Equal(t, len(l.blocks), maxBlocks)
	assert.Assert(t, len(l.unexplainedCounts) <= maxCrashes*maxSuspects)
}

// Guards against a burst of crashes that fills the links between nodes.
func TestCrashRateIsBounded(t *testing.T) {
	l := NewLedger()
	suspects := make([]Fingerprint, 12)
	const seconds, perSecond = 60, 300
	accepted := 0
	for id := range uint64(seconds * perSecond) {
		now := at(float64(id) / perSecond)
		if l.Merge(now, 1, &Notice{Crashes: []Crash{{ID: id, Suspects: suspects}}}) {
			accepted++
		}
	}
	limit := (weightBurst + seconds*weightPerSecond) / (crashWeight + len(suspects))
	assert.Assert(t, accepted <= limit+1, "%d accepted", accepted)
	assert.Equal(t, l.TakeDropped(), seconds*perSecond-accepted)
}

// Guards against neighbours that exchange the same notices forever, and against a node
// that joins late and misses a notice.
func TestNoticesAreSentOnce(t *testing.T) {
	const nodes = 6
	ledgers := make([]*Ledger, nodes)
	for i := range ledgers {
		ledgers[i] = NewLedger()
	}
	sent := 0
	positions := map[[2]int]uint64{}
	// exchange makes each node on a ring send its neighbours the items that they lack, until
	// no node lacks any.
	exchange := func(now time.Time, joined int) {
		for changed := true; changed; {
			changed = false
			for i := range joined {
				for _, j := range []int{(i + 1) % joined, (i + joined - 1) % joined} {
					notice, next := ledgers[i].Since(now, positions[[2]int{i, j}], Feed(j+1))
					positions[[2]int{i, j}] = next
					if notice.Empty() {
						continue
					}
					sent++
					changed = true
					ledgers[j].Merge(now, Feed(i+1), notice)
				}
			}
		}
	}
	for i, c := range crashes([]Fingerprint{poison, 2}, []Fingerprint{poison, 3}, []Fingerprint{poison, 2}) {
		ledgers[i].RecordCrash(at(float64(i)), c)
		exchange(at(float64(i)+0.1), nodes-1)
	}
	ledgers[0].RecordCompletion(at(4), 2)
	exchange(at(4.1), nodes-1)
	assert.Assert(t, sent <= 5*2*(nodes-1)*2, "%d notices", sent)
	exchange(at(5), nodes)
	for i, l := range ledgers {
		assert.Assert(t, l.BlockRemaining(at(5), poison) > 0, "node %d", i)
		assert.Equal(t, l.CrashCount(2), 0, "node %d", i)
	}
}
