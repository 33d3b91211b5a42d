package process

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// waitState waits until every other running node holds the VM in one of the
// states, and returns how long that took.
func (f *fleet) waitState(id string, limit time.Duration, want ...membership.State) time.Duration {
	f.t.Helper()
	begun := time.Now()
	for _, other := range f.order {
		if other == id {
			continue
		}
		poll.WaitOn(f.t, func(poll.LogT) poll.Result {
			got := f.stateOf(other, id)
			for _, state := range want {
				if got == state {
					return poll.Success()
				}
			}
			return poll.Continue("%s holds %s as %s", other, id, got)
		}, poll.WithTimeout(limit), poll.WithDelay(10*time.Millisecond))
	}
	return time.Since(begun)
}

func (f *fleet) stateOf(observer, id string) membership.State {
	status, err := f.status(observer)
	if err != nil {
		return 0
	}
	for _, record := range status.Members {
		if record.VM.ID == id {
			return record.State
		}
	}
	return 0
}

// audited returns how often a node wrote an event of the kind.
func (f *fleet) audited(id string, kind port.AuditKind) int {
	f.t.Helper()
	response, err := http.Get("http://" + f.nodes[id].operators + "/audit")
	assert.NilError(f.t, err)
	defer response.Body.Close()
	var events []port.AuditEvent
	assert.NilError(f.t, json.NewDecoder(response.Body).Decode(&events))
	count := 0
	for _, event := range events {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// patience is how long a loaded machine may take for what takes a second.
const patience = 15 * time.Second

// A node is killed and started again, another freezes and wakes, a third is
// stopped as planned. Each time all others leave it out of their choice, and
// take the first two back. The woken one knows that it slept.
func TestKilledFrozenAndStoppedNodes(t *testing.T) {
	f := newFleet(t, sixVMs()...)
	f.publish(testContracts("5s"))
	f.waitVersion()
	for _, id := range f.order {
		f.waitMembers(id, len(f.order))
	}

	f.nodes["b-tally"].process.signal(syscall.SIGKILL)
	t.Logf("killed: out after %s", f.waitState("b-tally", patience, membership.Suspect))
	f.startNode("b-tally")
	t.Logf("started again: back after %s", f.waitState("b-tally", patience, membership.Live))

	f.nodes["a-tally"].process.signal(syscall.SIGSTOP)
	t.Logf("frozen: out after %s", f.waitState("a-tally", patience, membership.Suspect))
	time.Sleep(2500 * time.Millisecond)
	f.nodes["a-tally"].process.signal(syscall.SIGCONT)
	t.Logf("woken: back after %s", f.waitState("a-tally", patience, membership.Live))
	assert.Check(t, f.audited("a-tally", port.AuditPaused) > 0)

	f.nodes["b-archive"].process.signal(syscall.SIGTERM)
	t.Logf("stopped: out after %s", f.waitState("b-archive", 3*time.Second, membership.Departing, membership.Gone))
}
