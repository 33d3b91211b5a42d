package follow

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/metrics"
	"tamarackquay/internal/mesh"
)

// newFleetNode returns a node whose view holds a fleet of the given number of VMs in four
// failure domains.
func newFleetNode(vms int) *Follower {
	f := New(Config{
		SelfAddress: "10.0.0.0:9", FailureDomain: "a1", Region: "a", Regions: regions,
		PeerAddress: func(target string) string { return HostOf(target) + ":9" },
		Announce:    func(context.Context, string) {},
	}, nil, nil, wallClock{}, &log.Logger{Level: log.FatalLevel, Writer: &log.IOWriter{Writer: io.Discard}}, metrics.New(), func(*mesh.View) {})
	update := &mesh.Update{Config: mesh.Diff(nil, &mesh.Config{Version: 1})}
	domains := []string{"a1", "a2", "b1", "b2"}
	for i := range vms {
		update.Targets = append(update.Targets, mesh.Target{
			ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			FailureDomain: domains[i%len(domains)], Slots: 9, State: mesh.Ready, Revision: uint64(i + 1),
		})
	}
	if err := f.apply(update, f.clock.Now()); err != nil {
		panic(err)
	}
	return f
}

// tickOnce does the work of one tick during which nothing changes.
func (f *Follower) tickOnce() {
	f.shouldRead()
	f.neighbours()
	f.mu.Lock()
	f.orphaned()
	f.mu.Unlock()
}

// BenchmarkIdleTick measures one tick of an idle node; there are ten a second.
func BenchmarkIdleTick(b *testing.B) {
	for _, vms := range []int{14, 86, 295, 1600} {
		b.Run(fmt.Sprintf("vms-%d", vms), func(b *testing.B) {
			f := newFleetNode(vms)
			b.ReportAllocs()
			for b.Loop() {
				f.tickOnce()
			}
		})
	}
}

// BenchmarkChange measures the handling of one target that drains and becomes ready again.
func BenchmarkChange(b *testing.B) {
	for _, vms := range []int{14, 86, 295, 1600} {
		b.Run(fmt.Sprintf("vms-%d", vms), func(b *testing.B) {
			f := newFleetNode(vms)
			target := mesh.Target{ID: "i-1", Service: "s", Address: "10.0.0.1:80", FailureDomain: "a2", Slots: 9, Revision: uint64(vms) + 1}
			b.ReportAllocs()
			for b.Loop() {
				target.State = mesh.Draining + mesh.Ready - target.State
				if target.State != mesh.Ready {
					target.State = mesh.Draining
				}
				target.Revision++
				if err := f.apply(&mesh.Update{Targets: []mesh.Target{target}}, f.clock.Now()); err != nil {
					b.Fatal(err)
				}
				f.tickOnce()
			}
		})
	}
}

// manualClock is a clock that stands still until it is set.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// Guards against work on each tick that grows with the fleet although nothing has changed.
func TestIdleTickCostIsIndependentOfFleetSize(t *testing.T) {
	allocs := func(vms int, age time.Duration) float64 {
		f := newFleetNode(vms)
		clock := &manualClock{now: f.clock.Now()}
		f.clock = clock
		f.tickOnce()
		clock.now = clock.now.Add(age)
		return testing.AllocsPerRun(100, f.tickOnce)
	}
	assert.Equal(t, allocs(1600, 0), allocs(14, 0))
	// A node with a late view follows more nodes, of which a region of 14 VMs has too few.
	const late = 2 * time.Second
	assert.Equal(t, allocs(1600, late), allocs(86, late))
}
