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

// drainingTarget sheds every call while it drains, and counts what came.
type drainingTarget struct {
	draining bool
	offered  int
}

func (d *drainingTarget) Do(context.Context, *port.Call) (*port.Response, error) {
	d.offered++
	if d.draining {
		return nil, port.Refuse(port.ReasonShed, time.Second, "draining")
	}
	return ok("ran"), nil
}

// A target drains by itself: its health and the VM list don't say so yet, and it
// sheds each call. Its node offers it hardly anything from then on and tells
// entry nodes to go elsewhere; when the target takes work again, so does its
// node, within the pause between two trials.
func TestDrainingTargetIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &drainingTarget{draining: true}
		n := newEntry(t, nil)
		n.config.Self.Service = "tally"
		n.ports.Target = target
		n.gate.Configure(admissionTerms(n.current.Load(), n.config))
		call := 0
		offer := func() error {
			call++
			time.Sleep(10 * time.Millisecond)
			_, done, err := n.own(t.Context(), &port.Call{
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
			n.lastTurn.Store(&now)
			assert.Check(t, offer() != nil)
		}
		assert.Assert(t, target.offered <= 6, "%d calls were offered in 10 s", target.offered)
		var refusal *port.Refusal
		assert.Assert(t, errors.As(offer(), &refusal))
		assert.Equal(t, refusal.Reason, port.ReasonDraining)
		assert.Assert(t, refusal.RetryAfter > 0)

		target.draining = false
		time.Sleep(refusal.RetryAfter)
		now := time.Now()
		n.lastTurn.Store(&now)
		assert.NilError(t, offer())
		assert.NilError(t, offer())
	})
}

// A target sheds once while long requests hold the other slots, and one more
// waits. No request comes or ends; the node's own tick must notice that the slot
// is back.
func TestNodeGivesSlotsBackInTime(t *testing.T) {
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
