package node

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/membership"
	"tamarackquay/standin/memnet"
)

// cost is what one node spends on control messages, on average.
type cost struct {
	messages, bytes, crossRegion float64
}

// costAtRest measures a settled mesh for a while in which nothing happens.
func (m *mesh) costAtRest(span time.Duration) cost {
	m.network.TakeTraffic()
	time.Sleep(span)
	traffic := m.network.TakeTraffic()
	per := span.Seconds() * float64(len(m.nodes))
	return cost{float64(traffic.Messages) / per, float64(traffic.Bytes) / per, float64(traffic.CrossRegion) / per}
}

// At rest a node spends a bounded number of messages and bytes, whatever the
// size of the fleet: growth here is growth of the whole fleet's bill. The bounds
// lie a tenth above what was measured; see docs/measurements/membership.md.
func TestCostAtRestIsBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		m := settledMesh(t, 48, 6)
		time.Sleep(20 * time.Second)
		got := m.costAtRest(20 * time.Second)
		t.Logf("a node sends %.2f messages and %.0f bytes a second, %.0f of them to other regions", got.messages, got.bytes, got.crossRegion)
		assert.Check(t, got.messages <= maxMessagesAtRest && got.bytes <= maxBytesAtRest, "%+v", got)
	})
}

const (
	maxMessagesAtRest = 4.5
	maxBytesAtRest    = 1200
)

// TestMeasureMembership prints the slopes of docs/measurements/membership.md. It
// runs only when asked for: MEASURE=1 go test ./internal/node -run TestMeasureMembership -v
func TestMeasureMembership(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to measure")
	}
	for _, size := range []struct{ nodes, domains int }{{12, 4}, {48, 4}, {120, 4}, {240, 4}, {48, 13}, {120, 13}, {240, 13}, {480, 13}, {1600, 13}} {
		t.Run(fmt.Sprintf("%d-%d", size.nodes, size.domains), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureSize(t, size.nodes, size.domains) })
		})
	}
}

func measureSize(t *testing.T, nodes, domains int) {
	m := settledMesh(t, nodes, domains)
	time.Sleep(30 * time.Second)
	rest := m.costAtRest(30 * time.Second)
	t.Logf("N=%d domains=%d rest: %.2f messages/s, %.0f B/s, %.0f B/s across regions", nodes, domains, rest.messages, rest.bytes, rest.crossRegion)
	leaving := m.nodes[nodes/2]
	leaving.leave()
	stop := m.until(10*time.Second, "stop", func() bool { return m.excluded(leaving.vm.ID) })
	news := m.costAtRest(5 * time.Second)
	leaving.running.Add(-1)
	time.Sleep(5 * time.Second)
	m.kill(m.nodes[nodes/3])
	kill := m.until(20*time.Second, "kill", func() bool { return m.excluded(m.nodes[nodes/3].vm.ID, leaving) })
	t.Logf("N=%d domains=%d stop out after %s (%.0f B more a node in 5 s), kill out after %s", nodes, domains, stop, 5*(news.bytes-rest.bytes), kill)
}

// TestMeasureStorms prints what a restart of all nodes at once and the healing of
// a cut domain cost, at the worst second. Asked for like TestMeasureMembership.
func TestMeasureStorms(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to measure")
	}
	for _, nodes := range []int{48, 120, 240, 480} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureStorms(t, nodes) })
		})
	}
}

func measureStorms(t *testing.T, nodes int) {
	m := settledMesh(t, nodes, 13)
	time.Sleep(30 * time.Second)
	for i, mn := range m.nodes {
		m.kill(mn)
		m.replace(i)
	}
	worst, took := m.worstSecond(t, func() bool { return m.complete(m.nodes, nodes) })
	t.Logf("N=%d all restarted: complete after %s, %.0f B a node in the worst second", nodes, took, worst)
	time.Sleep(30 * time.Second)
	within := func(vm membership.VM) bool { return vm.FailureDomain == "domain-2" }
	m.network.SetPartition(func(from, to membership.VM) bool { return within(from) != within(to) })
	time.Sleep(time.Minute)
	m.network.SetPartition(func(membership.VM, membership.VM) bool { return false })
	worst, took = m.worstSecond(t, func() bool { return m.complete(m.nodes, nodes) })
	t.Logf("N=%d domain healed: complete after %s, %.0f B a node in the worst second", nodes, took, worst)
}

// TestMeasureDetection prints how long kills and planned stops take to leave every
// choice, over many of them. Asked for like TestMeasureMembership.
func TestMeasureDetection(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to measure")
	}
	const times = 100
	synctest.Test(t, func(t *testing.T) {
		m := settledMesh(t, 52, 13)
		var kills, stops []time.Duration
		for i := range times {
			at := 1 + i%51
			if i%2 == 0 {
				m.kill(m.nodes[at])
				kills = append(kills, m.until(30*time.Second, "kill", func() bool { return m.excluded(m.nodes[at].vm.ID) }))
			} else {
				m.nodes[at].leave()
				stops = append(stops, m.until(30*time.Second, "stop", func() bool { return m.excluded(m.nodes[at].vm.ID) }))
				m.nodes[at].running.Add(-1)
				time.Sleep(time.Second)
				m.kill(m.nodes[at])
			}
			m.replace(at)
			m.until(30*time.Second, "return", func() bool { return m.complete(m.nodes, 52) })
			time.Sleep(10 * time.Second)
		}
		t.Logf("N=52 domains=13 kills: %s", spread(kills))
		t.Logf("N=52 domains=13 stops: %s", spread(stops))
	})
}

func spread(times []time.Duration) string {
	slices.Sort(times)
	return fmt.Sprintf("p50 %s, p90 %s, max %s of %d", times[len(times)/2], times[len(times)*9/10], times[len(times)-1], len(times))
}

// worstSecond runs until done, ten seconds at least, and returns the bytes that
// a node sent on average in the worst second, and when done came.
func (m *mesh) worstSecond(t *testing.T, done func() bool) (worst float64, took time.Duration) {
	t.Helper()
	m.network.TakeTraffic()
	start := time.Now()
	for time.Since(start) < 10*time.Second || took == 0 {
		time.Sleep(time.Second)
		worst = max(worst, float64(m.network.TakeTraffic().Bytes)/float64(len(m.nodes)))
		if took == 0 && done() {
			took = time.Since(start)
		}
		assert.Assert(t, time.Since(start) < 2*time.Minute)
	}
	return worst, took
}

// TestMeasureState prints the heap that one member takes in a table and its view.
func TestMeasureState(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to measure")
	}
	for _, size := range []int{120, 240, 480, 1600} {
		before := heap()
		n := newBenchNode(size)
		n.viewBuilt = time.Time{}
		n.publish(time.Now())
		t.Logf("N=%d: %d bytes of heap a member", size, (heap()-before)/uint64(size))
		runtime.KeepAlive(n)
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkBeat measures what one heartbeat costs the receiving table and its
// view, in a fleet at rest.
func BenchmarkBeat(b *testing.B) {
	for _, size := range []int{12, 48, 120, 240, 1600} {
		b.Run(meshVM(size, 13).ID, func(b *testing.B) {
			n := newBenchNode(size)
			beat := n.heartbeat(n.config.Self.FailureDomain)
			beat.From = benchRecord(1)
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				n.meet(b.Context(), now, beat.From)
				n.table.ContactsReceived(now, beat.From.VM, beat.Contacts)
				n.publish(now)
			}
		})
	}
}

// BenchmarkNews measures what one change of one VM costs: the record, the new
// view, and the neighbours.
func BenchmarkNews(b *testing.B) {
	for _, size := range []int{12, 48, 120, 240, 1600} {
		b.Run(meshVM(size, 13).ID, func(b *testing.B) {
			n := newBenchNode(size)
			record := benchRecord(1)
			b.ReportAllocs()
			for b.Loop() {
				record.Sequence++
				now := time.Now()
				n.viewBuilt = time.Time{}
				n.table.RecordReceived(now, record)
				n.publish(now)
			}
		})
	}
}

// BenchmarkTick measures one tick of the failure detector.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{12, 48, 120, 240, 1600} {
		b.Run(meshVM(size, 13).ID, func(b *testing.B) {
			n := newBenchNode(size)
			b.ReportAllocs()
			for b.Loop() {
				n.table.Tick(time.Now())
				n.publish(time.Now())
			}
		})
	}
}

func benchRecord(i int) membership.Record {
	return membership.Record{VM: meshVM(i, 13), Incarnation: 1, State: membership.Live}
}

func newBenchNode(size int) *meshNode {
	m := &mesh{network: memnet.New(), platform: memnet.NewPlatform()}
	mn := m.unstarted(meshVM(0, 13))
	for i := range size {
		mn.table.RecordReceived(time.Now(), benchRecord(i))
	}
	return mn
}
