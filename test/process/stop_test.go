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

// terminate begins a planned stop of the nodes and waits until they are gone.
func (f *fleet) terminate(ids ...string) {
	for _, id := range ids {
		f.nodes[id].process.signal(syscall.SIGTERM)
	}
	for _, id := range ids {
		<-f.nodes[id].process.done
	}
}

// All nodes are restarted one after another under load. Every caller gets a
// whole answer or is told that nothing ran; no request is cut.
func TestRollingRestartCutsNothing(t *testing.T) {
	t.Parallel()
	f, b := newLoadedFleet(t, 5*time.Second)
	for _, id := range f.order {
		f.setTarget(id, target.Mode{ServiceMS: 20})
	}
	stop := b.load(12, f.order...)
	for _, id := range f.order {
		f.terminate(id)
		f.startNode(id)
		f.waitVersion(id)
		f.waitLive(id)
	}
	stop()
	counts := b.check()
	assert.Equal(t, counts[unknown], 0)
	// A caller whose entry node stops asks the next one, and is served there.
	assert.Equal(t, b.unserved.Load(), int64(0))
}

// waitLive waits until every node sees the VM as live, as an operator does
// before the next restart.
func (f *fleet) waitLive(vm string) {
	f.t.Helper()
	for _, id := range f.order {
		poll.WaitOn(f.t, func(poll.LogT) poll.Result {
			status, err := f.status(id)
			if err != nil || !slices.ContainsFunc(status.Members, func(r membership.Record) bool { return r.VM.ID == vm && r.State == membership.Live }) {
				return poll.Continue("%s does not see %s as live, %v", id, vm, err)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
}

// A whole failure domain, a third of each service's targets and more, stops at
// once under load, and the platform's list goes on naming its VMs. Nothing is
// cut, and soon no work reaches the targets of the stopped nodes, which run on.
func TestHerdStopsTogether(t *testing.T) {
	t.Parallel()
	f, b := newLoadedFleet(t, 5*time.Second)
	for _, id := range f.order {
		f.setTarget(id, target.Mode{ServiceMS: 20})
	}
	stop := b.load(12, "a-archive", "a-tally", "a-returns")
	time.Sleep(500 * time.Millisecond)
	signalled := time.Now()
	herd := []string{"b-archive", "b-tally", "b-returns"}
	f.terminate(herd...)
	time.Sleep(500 * time.Millisecond)
	stop()
	assert.Equal(t, b.check()[unknown], 0)
	for _, id := range herd {
		last := time.Duration(0)
		for _, entry := range f.ledger(id) {
			last = max(last, entry.Start.Sub(signalled))
		}
		t.Logf("last new request at %s %s after the signal", id, last)
		assert.Check(t, last < 2*time.Second)
	}
}
