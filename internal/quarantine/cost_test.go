package quarantine

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// fullLedger holds as many crashes as a ledger keeps, of targets with so many slots.
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

// Guards against a ledger that takes a node's memory when its targets have many slots.
func TestFullLedgerIsSmall(t *testing.T) {
	before := heap()
	l := fullLedger(maxSuspects)
	size := int64(heap()) - int64(before)
	t.Logf("%d bytes", size)
	assert.Assert(t, size < 1<<20, "%d bytes", size)
	runtime.KeepAlive(l)
}

// BenchmarkDecide is what a node spends on one crash more.
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

// BenchmarkRequest is what a node spends on a request that never ran beside a crash.
func BenchmarkRequest(b *testing.B) {
	l := fullLedger(12)
	now := at(100)
	b.ReportAllocs()
	for b.Loop() {
		_ = l.BlockRemaining(now, 1) > 0 || l.CrashCount(1) > 0 || l.RecordCompletion(now, 1)
	}
}
