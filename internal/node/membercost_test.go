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

// cost is the average rate of control messages and bytes that one node sends.
type cost struct {
	messages, bytes, crossRegion float64
}

// idleCost measures a settled mesh for a time span without changes.
func (m *mesh) idleCost(span time.Duration) cost {
	m.network.TakeTraffic()
	time.Sleep(span)
	traffic := m.network.TakeTraffic()
	per := span.Seconds() * float64(len(m.nodes))
	return cost{float64(traffic.Messages) / per, float64(traffic.Bytes) / per, float64(traffic.CrossRegion) / per}
}

// An idle node sends a bounded number of messages and bytes, whatever the size
// of the fleet: any growth here multiplies by the number of nodes. The bounds are
// 10 % above the figures in docs/measurements/membership.md.
func TestIdleCostIsBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		m := settledMesh(t, 48, 6)
		time.Sleep(20 * time.Second)
		got := m.idleCost(20 * time.Second)
		t.Logf("a node sends %.2f messages and %.0f bytes a second, %.0f of them to other regions", got.messages, got.bytes, got.crossRegion)
		assert.Check(t, got.messages <= maxIdleMessages && got.bytes <= maxIdleBytes, "%+v", got)
	})
}

const (
	maxIdleMessages = 4.5
	maxIdleBytes    = 1200
)

// TestMeasureMembership prints the slopes of docs/measurements/membership.md. It
// is skipped by default: MEASURE=1 go test ./internal/node -run TestMeasureMembership -v
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
	rest := m.idleCost(30 * time.Second)
	t.Logf("N=%d domains=%d idle: %.2f messages/s, %.0f B/s, %.0f B/s across regions", nodes, domains, rest.messages, rest.bytes, rest.crossRegion)
	leaving := m.nodes[nodes/2]
	leaving.beginStop()
	stop := m.waitUntil(10*time.Second, "stop", func() bool { return m.excluded(leaving.vm.ID) })
	afterStop := m.idleCost(5 * time.Second)
	leaving.running.Add(-1)
	time.Sleep(5 * time.Second)
	m.kill(m.nodes[nodes/3])
	kill := m.waitUntil(20*time.Second, "kill", func() bool { return m.excluded(m.nodes[nodes/3].vm.ID, leaving) })
	t.Logf("N=%d domains=%d stop out after %s (%.0f B more a node in 5 s), kill out after %s", nodes, domains, stop, 5*(afterStop.bytes-rest.bytes), kill)
}

// TestMeasureStorms prints the cost of a restart of all nodes at once and of the
// heal of a cut domain, in the second with the most traffic. It runs only with
// MEASURE=1.
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
	worst, took := m.peakSecond(t, func() bool { return m.complete(m.nodes, nodes) })
	t.Logf("N=%d all restarted: complete after %s, %.0f B a node in the worst second", nodes, took, worst)
	time.Sleep(30 * time.Second)
	within := func(vm membership.VM) bool { return vm.FailureDomain == "domain-2" }
	m.network.SetPartition(func(from, to membership.VM) bool { return within(from) != within(to) })
	time.Sleep(time.Minute)
	m.network.SetPartition(func(membership.VM, membership.VM) bool { return false })
	worst, took = m.peakSecond(t, func() bool { return m.complete(m.nodes, nodes) })
	t.Logf("N=%d domain healed: complete after %s, %.0f B a node in the worst second", nodes, took, worst)
}

// TestMeasureDetection prints the times until no node chooses a killed or
// stopped VM, over many of them. It runs only with MEASURE=1.
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
				kills = append(kills, m.waitUntil(30*time.Second, "kill", func() bool { return m.excluded(m.nodes[at].vm.ID) }))
			} else {
				m.nodes[at].beginStop()
				stops = append(stops, m.waitUntil(30*time.Second, "stop", func() bool { return m.excluded(m.nodes[at].vm.ID) }))
				m.nodes[at].running.Add(-1)
				time.Sleep(time.Second)
				m.kill(m.nodes[at])
			}
			m.replace(at)
			m.waitUntil(30*time.Second, "return", func() bool { return m.complete(m.nodes, 52) })
			time.Sleep(10 * time.Second)
		}
		t.Logf("N=52 domains=13 kills: %s", formatTimes(kills))
		t.Logf("N=52 domains=13 stops: %s", formatTimes(stops))
	})
}

func formatTimes(times []time.Duration) string {
	slices.Sort(times)
	return fmt.Sprintf("p50 %s, p90 %s, max %s of %d", times[len(times)/2], times[len(times)*9/10], times[len(times)-1], len(times))
}

// peakSecond runs until done, for at least ten seconds, and returns the average
// bytes that a node sent in the second with the most traffic, and the time until
// done.
func (m *mesh) peakSecond(t *testing.T, done func() bool) (worst float64, took time.Duration) {
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

// TestMeasureState prints the heap use of one member in a table and its view.
func TestMeasureState(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to measure")
	}
	for _, size := range []int{120, 240, 480, 1600} {
		before := heapBytes()
		n := newBenchNode(size)
		n.viewBuilt = time.Time{}
		n.publish(time.Now())
		t.Logf("N=%d: %d bytes of heap a member", size, (heapBytes()-before)/uint64(size))
		runtime.KeepAlive(n)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkHeartbeat measures the cost of one heartbeat for the receiving table
// and its view, in an idle fleet.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []int{12, 48, 120, 240, 1600} {
		b.Run(meshVM(size, 13).ID, func(b *testing.B) {
			n := newBenchNode(size)
			heartbeat := n.heartbeat(n.config.Self.FailureDomain)
			heartbeat.From = benchRecord(1)
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				n.recordSender(b.Context(), now, heartbeat.From)
				n.table.ContactsReceived(now, heartbeat.From.VM, heartbeat.Contacts)
				n.publish(now)
			}
		})
	}
}

// BenchmarkRecordChange measures the cost of one change of one VM: the record,
// the new view and the neighbours.
func BenchmarkRecordChange(b *testing.B) {
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
