package quarantine

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// fullLedger returns a ledger with the maximum number of crashes, of targets with the
// given number of slots.
func fullLedger(slots int) *Ledger {
	l := NewLedger()
	random := rand.New(rand.NewPCG(1, 1))
	for id := range uint64(maxCrashes) {
		c := Crash{ID: id, Answered: true}
		for range slots {
			c.Suspects = append(c.Suspects, Fingerprint(random.Uint64()))
		}
		l.RecordCrash(at(float64(id)), c)
	}
	return l
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against a ledger that uses too much of a node's memory if its targets have many
// slots.
func TestFullLedgerMemoryIsBounded(t *testing.T) {
	before := heap()
	l := fullLedger(maxSuspects)
	size := int64(heap()) - int64(before)
	t.Logf("%d bytes", size)
	assert.Assert(t, size < 1<<20, "%d bytes", size)
	runtime.KeepAlive(l)
}

// BenchmarkDecide measures the cost of one more crash.
func BenchmarkDecide(b *testing.B) {
	for _, slots := range []int{12, maxSuspects} {
		b.Run(fmt.Sprint("slots-", slots), func(b *testing.B) {
			l := fullLedger(slots)
			b.ReportAllocs()
			for b.Loop() {
				l.decide()
			}
		})
	}
}

// BenchmarkRequest measures the cost of a request that never ran at the time of a crash.
func BenchmarkRequest(b *testing.B) {
	l := fullLedger(12)
	now := at(100)
	b.ReportAllocs()
	for b.Loop() {
		_ = l.BlockRemaining(now, 1) > 0 || l.CrashCount(1) > 0 || l.RecordCompletion(now, 1)
	}
}
