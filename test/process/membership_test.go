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

// waitState waits until every other node lists the VM in one of the states, and
// returns how long that took.
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
			return poll.Continue("%s lists %s as %s", other, id, got)
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

// countAuditEvents returns the number of events of the kind in a node's audit trail.
func (f *fleet) countAuditEvents(id string, kind port.AuditKind) int {
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

// waitTimeout is the timeout for changes that take about a second on an idle machine;
// a loaded one takes longer.
const waitTimeout = 15 * time.Second

// Guards against nodes that keep a failed member in use or don't accept it again. One
// node is killed and restarted, another is paused and resumed, and a third is stopped
// as planned. Each time all others must stop choosing it, and must choose the first
// two again afterwards. The resumed node must have recorded its pause.
func TestKilledFrozenAndStoppedNodes(t *testing.T) {
	f := newFleet(t, sixVMs()...)
	f.publish(testContracts("5s"))
	f.waitVersion()
	for _, id := range f.order {
		f.waitMembers(id, len(f.order))
	}

	f.nodes["b-tally"].process.signal(syscall.SIGKILL)
	t.Logf("killed: out after %s", f.waitState("b-tally", waitTimeout, membership.Suspect))
	f.startNode("b-tally")
	t.Logf("restarted: back after %s", f.waitState("b-tally", waitTimeout, membership.Live))

	f.nodes["a-tally"].process.signal(syscall.SIGSTOP)
	t.Logf("paused: out after %s", f.waitState("a-tally", waitTimeout, membership.Suspect))
	time.Sleep(2500 * time.Millisecond)
	f.nodes["a-tally"].process.signal(syscall.SIGCONT)
	t.Logf("resumed: back after %s", f.waitState("a-tally", waitTimeout, membership.Live))
	assert.Check(t, f.countAuditEvents("a-tally", port.AuditPaused) > 0)

	f.nodes["b-archive"].process.signal(syscall.SIGTERM)
	t.Logf("stopped: out after %s", f.waitState("b-archive", 3*time.Second, membership.Departing, membership.Gone))
}
