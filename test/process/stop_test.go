package process

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tamarackquay/internal/membership"
	"tamarackquay/standin/target"
)

// terminate starts a planned stop of the nodes and waits until they have exited.
func (f *fleet) terminate(ids ...string) {
	for _, id := range ids {
		f.nodes[id].process.signal(syscall.SIGTERM)
	}
	for _, id := range ids {
		<-f.nodes[id].process.done
	}
}

// Guards against requests that a planned restart cuts off: all nodes are restarted one
// after another under load. Each call must be answered completely or refused as not
// run.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	f, rec := newLoadedFleet(t, 5*time.Second)
	for _, id := range f.order {
		f.setTarget(id, target.Mode{ServiceMS: 20})
	}
	stop := rec.startLoad(12, f.order...)
	for _, id := range f.order {
		f.terminate(id)
		f.startNode(id)
		f.waitVersion(id)
		f.waitLive(id)
	}
	stop()
	counts := rec.checkLedgers()
	assert.Equal(t, counts[unknown], 0)
	// A caller whose entry node stops tries the next one and must be served there.
	assert.Equal(t, rec.unserved.Load(), int64(0))
}

// waitLive waits until every node lists the VM as live, as an operator does before
// the next restart.
func (f *fleet) waitLive(vm string) {
	f.t.Helper()
	for _, id := range f.order {
		poll.WaitOn(f.t, func(poll.LogT) poll.Result {
			status, err := f.status(id)
			if err != nil || !slices.ContainsFunc(status.Members, func(r membership.Record) bool { return r.VM.ID == vm && r.State == membership.Live }) {
				return poll.Continue("%s does not list %s as live, %v", id, vm, err)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
}

// Guards against lost requests when a complete failure domain, a third or more of each
// service's targets, stops at once under load, while the platform goes on listing its
// VMs. No request may be cut off, and the targets of the stopped nodes, which keep
// running, must soon get no more requests.
func TestDomainStopInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	f, rec := newLoadedFleet(t, 5*time.Second)
	for _, id := range f.order {
		f.setTarget(id, target.Mode{ServiceMS: 20})
	}
	stop := rec.startLoad(12, "a-archive", "a-tally", "a-returns")
	time.Sleep(500 * time.Millisecond)
	signaled := time.Now()
	stopping := []string{"b-archive", "b-tally", "b-returns"}
	f.terminate(stopping...)
	time.Sleep(500 * time.Millisecond)
	stop()
	assert.Equal(t, rec.checkLedgers()[unknown], 0)
	for _, id := range stopping {
		last := time.Duration(0)
		for _, entry := range f.ledger(id) {
			last = max(last, entry.Start.Sub(signaled))
		}
		t.Logf("last new request at %s %s after the signal", id, last)
		assert.Check(t, last < 2*time.Second)
	}
}
