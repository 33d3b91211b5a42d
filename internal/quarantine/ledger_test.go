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

// poison crashes every target; the other requests only run.
const poison Fingerprint = 1

// crashes are of targets that had worked, one a second.
func crashes(suspects ...[]Fingerprint) []Crash {
	made := make([]Crash, len(suspects))
	for i := range made {
		made[i] = Crash{ID: uint64(i + 1), Answered: true, Suspects: suspects[i]}
	}
	return made
}

func TestWhichRequestIsBlocked(t *testing.T) {
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
		{"three crashes, others beside it in each", []step{crashed(1, 1, 2), crashed(2, 1, 2), crashed(3, 1, 3)}, []Fingerprint{1}},
		{"one crash that is told three times", []step{crashed(1, 1, 2), crashed(1, 1, 2), crashed(1, 1, 2)}, nil},
		{"two that ran in the same crashes", []step{crashed(1, 1, 2), crashed(2, 1, 2), crashed(3, 1, 2)}, nil},
		{"two that are told apart by a fourth crash", []step{crashed(1, 1, 2), crashed(2, 1, 2), crashed(3, 1, 2), crashed(4, 1)}, []Fingerprint{1}},
		{"one of them runs to its end", []step{crashed(1, 1, 2), crashed(2, 1, 2), crashed(3, 1, 2), completed(2)}, []Fingerprint{1}},
		{"an end between the crashes", []step{crashed(1, 1), crashed(2, 1), completed(1), crashed(3, 1), crashed(4, 1)}, nil},
		{"an end after the block", []step{crashed(1, 1), crashed(2, 1), crashed(3, 1), completed(1)}, nil},
		{"targets that never answered anything", []step{unanswered(1, 1), unanswered(2, 1), unanswered(3, 1), unanswered(4, 1)}, nil},
		{"one of three that hadn't answered yet", []step{crashed(1, 1), unanswered(2, 1), crashed(3, 1)}, []Fingerprint{1}},
		{"two independent ones", []step{crashed(1, 1, 9), crashed(2, 2, 9), crashed(3, 1), crashed(4, 2), crashed(5, 1), crashed(6, 2)}, []Fingerprint{1, 2}},
		{
			"one that ran beside two others in turn",
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

// Guards against a request that is suspected for crashes which a blocked one explains.
func TestBlockExplainsItsCrashes(t *testing.T) {
	l := NewLedger()
	for i, c := range crashes([]Fingerprint{poison, 2}, []Fingerprint{poison, 2}, []Fingerprint{poison}) {
		l.RecordCrash(at(float64(i)), c)
	}
	assert.Equal(t, l.CrashCount(2), 0)
	// Requests that were under way when it was blocked crash targets yet.
	l.RecordCrash(at(4), Crash{ID: 9, Answered: true, Suspects: []Fingerprint{poison, 2}})
	assert.Equal(t, l.CrashCount(2), 0)
	assert.Equal(t, l.BlockRemaining(at(4), poison), firstBlock-2*time.Second)
}

// Guards against a request that is never tried again, and against one that is tried again as
// often though it still crashes targets.
func TestTermGrows(t *testing.T) {
	l := NewLedger()
	for i, c := range crashes([]Fingerprint{poison}, []Fingerprint{poison}, []Fingerprint{poison}) {
		l.RecordCrash(at(float64(i)), c)
	}
	free := at(2).Add(firstBlock)
	assert.Equal(t, l.BlockRemaining(free, poison), time.Duration(0))
	l.RecordCrash(free, Crash{ID: 7, Answered: true, Suspects: []Fingerprint{poison, 2}})
	assert.Equal(t, l.BlockRemaining(free, poison), blockGrowth*firstBlock)
	assert.Equal(t, l.BlockRemaining(free, 2), time.Duration(0))
}

// Guards against a broken neighbour whose count of blocks takes a node for ever to work out.
func TestAnyCountOfBlocksHasATerm(t *testing.T) {
	for _, times := range []int{-1, 0, 1, 1 << 62} {
		l := NewLedger()
		l.Merge(start, 1, &Notice{Blocks: []Block{{Request: poison, Times: times}}})
		left := l.BlockRemaining(start, poison)
		assert.Assert(t, left >= firstBlock && left <= longestBlock, "%d: %s", times, left)
	}
}

// Guards against memory that grows with crashes, with requests or with a target's slots.
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
		l.Merge(now, 1, &Notice{Blocks: []Block{{Request: Fingerprint(id), Times: 1}}})
	}
	assert.Equal(t, len(l.crashes), maxCrashes)
	assert.Assert(t, len(l.completed) <= maxCompleted)
	assert.Equal(t, len(l.blocks), maxBlocks)
	assert.Assert(t, len(l.counts) <= maxCrashes*maxSuspects)
}

// Guards against a storm of crashes that fills the links between nodes.
func TestInflowIsBounded(t *testing.T) {
	l := NewLedger()
	suspects := make([]Fingerprint, 12)
	const seconds, perSecond = 60, 300
	taken := 0
	for id := range uint64(seconds * perSecond) {
		now := at(float64(id) / perSecond)
		if l.Merge(now, 1, &Notice{Crashes: []Crash{{ID: id, Suspects: suspects}}}) {
			taken++
		}
	}
	most := (weightBurst + seconds*weightPerSecond) / (crashWeight + len(suspects))
	assert.Assert(t, taken <= most+1, "%d", taken)
	assert.Equal(t, l.TakeDropped(), seconds*perSecond-taken)
}

// Guards against neighbours that tell each other the same for ever, and against a node that
// joins late and lacks something.
func TestNoticesSpreadOnce(t *testing.T) {
	const nodes = 6
	ledgers := make([]*Ledger, nodes)
	for i := range ledgers {
		ledgers[i] = NewLedger()
	}
	told := 0
	positions := map[[2]int]uint64{}
	// pass lets each node tell its neighbours on a ring what they lack, until nobody lacks anything.
	pass := func(now time.Time, joined int) {
		for again := true; again; {
			again = false
			for i := range joined {
				for _, j := range []int{(i + 1) % joined, (i + joined - 1) % joined} {
					notice, next := ledgers[i].Since(now, positions[[2]int{i, j}], Feed(j+1))
					positions[[2]int{i, j}] = next
					if notice.Empty() {
						continue
					}
					told++
					again = true
					ledgers[j].Merge(now, Feed(i+1), notice)
				}
			}
		}
	}
	for i, c := range crashes([]Fingerprint{poison, 2}, []Fingerprint{poison, 3}, []Fingerprint{poison, 2}) {
		ledgers[i].RecordCrash(at(float64(i)), c)
		pass(at(float64(i)+0.1), nodes-1)
	}
	ledgers[0].RecordCompletion(at(4), 2)
	pass(at(4.1), nodes-1)
	assert.Assert(t, told <= 5*2*(nodes-1)*2, "%d notices", told)
	pass(at(5), nodes)
	for i, l := range ledgers {
		assert.Assert(t, l.BlockRemaining(at(5), poison) > 0, "node %d", i)
		assert.Equal(t, l.CrashCount(2), 0, "node %d", i)
	}
}
