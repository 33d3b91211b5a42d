package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/admission"
	"tamarackquay/internal/port"
)

// drainingTarget sheds every call while it drains, and counts the calls.
type drainingTarget struct {
	draining bool
	calls    int
}

func (d *drainingTarget) Do(context.Context, *port.Call) (*port.Response, error) {
	d.calls++
	if d.draining {
		return nil, port.Refuse(port.ReasonShed, time.Second, "draining")
	}
	return okResponse("ran"), nil
}

// A target drains by itself: its health and the VM list don't show it yet, and
// it sheds each call. Its node must then offer it only a few probe calls and
// refuse the others as draining, so that entry nodes use other targets. Once the
// target accepts work again, its node must do so within the interval between two
// probes.
func TestDrainingTargetGetsOnlyProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &drainingTarget{draining: true}
		n := newEntry(t, nil)
		n.config.Self.Service = "tally"
		n.ports.Target = target
		n.gate.Configure(newTerms(n.current.Load(), n.config))
		call := 0
		offer := func() error {
			call++
			time.Sleep(10 * time.Millisecond)
			_, done, err := n.runLocal(t.Context(), &port.Call{
				ID: fmt.Sprint(call), Customer: "co-operative", Route: "tallies", Service: "tally",
				StallTimeout: time.Second, Deadline: time.Now().Add(time.Second),
			})
			if err == nil {
				done()
			}
			return err
		}
		for range 1000 {
			// The control loop does not run here.
			now := time.Now()
			n.lastRun.Store(&now)
			assert.Check(t, offer() != nil)
		}
		assert.Assert(t, target.calls <= 6, "the target got %d calls in 10 s", target.calls)
		var refusal *port.Refusal
		assert.Assert(t, errors.As(offer(), &refusal))
		assert.Equal(t, refusal.Reason, port.ReasonDraining)
		assert.Assert(t, refusal.RetryAfter > 0)

		target.draining = false
		time.Sleep(refusal.RetryAfter)
		now := time.Now()
		n.lastRun.Store(&now)
		assert.NilError(t, offer())
		assert.NilError(t, offer())
	})
}

// A target sheds once while long requests hold the other slots, and one more
// request waits. No request arrives or ends that would update the slots, so the
// node's tick must detect that the slot is available again.
func TestNodeTickReopensSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 1, 1)
		defer m.stopAll()
		m.publish()
		m.converge(15 * time.Second)
		g := m.nodes[0].gate
		request := func(id string) admission.Request {
			return admission.Request{ID: id, Customer: "co-operative", Deadline: time.Now().Add(time.Minute)}
		}
		for _, id := range []string{"one", "two", "three", "shed"} {
			assert.Check(t, g.Acquire(t.Context(), request(id)) == nil)
		}
		g.Observe(port.Refuse(port.ReasonShed, 0, "shed"))
		g.Release("shed")
		begin := time.Now()
		assert.Check(t, g.Acquire(t.Context(), request("waiting")) == nil)
		assert.Check(t, time.Since(begin) <= 3*time.Second, "waited %s", time.Since(begin))
	})
}
