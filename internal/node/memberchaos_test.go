package node

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/membership"
)

// chaos runs a mesh through random failures drawn from a seed.
type chaos struct {
	*mesh
	random  *rand.Rand
	down    map[int]bool
	leaving map[int]bool
	paused  map[int]time.Time
	cut     string
}

// step causes or ends one random failure and returns its description.
func (c *chaos) step() string {
	i := 1 + c.random.IntN(len(c.nodes)-1)
	switch event := c.random.IntN(7); {
	case event == 0 && !c.down[i]:
		c.waitResumed(i)
		c.kill(c.nodes[i])
		c.down[i] = true
		return "kill " + c.nodes[i].vm.ID
	case event == 1 && c.down[i]:
		if c.leaving[i] {
			c.nodes[i].running.Add(-1)
			delete(c.leaving, i)
		}
		c.replace(i)
		delete(c.down, i)
		return "start " + c.nodes[i].vm.ID
	case event == 2 && !c.down[i] && !c.leaving[i] && len(c.leaving) < 3:
		c.waitResumed(i)
		c.nodes[i].beginStop()
		c.leaving[i] = true
		return "stop " + c.nodes[i].vm.ID
	case event == 3 && !c.down[i] && !c.leaving[i] && c.paused[i].IsZero():
		c.pause(c.nodes[i], 20*time.Second)
		c.paused[i] = time.Now().Add(21 * time.Second)
		return "pause " + c.nodes[i].vm.ID
	case event == 4 && c.cut == "":
		cut := c.nodes[i].vm.FailureDomain
		c.cut = cut
		within := func(vm membership.VM) bool { return vm.FailureDomain == cut }
		c.network.SetPartition(func(from, to membership.VM) bool { return within(from) != within(to) })
		return "cut " + c.cut
	case event == 5 && c.cut != "":
		c.heal()
		return "heal"
	}
	return "nothing"
}

// waitResumed waits until a paused node runs again.
func (c *chaos) waitResumed(i int) {
	time.Sleep(time.Until(c.paused[i]))
	delete(c.paused, i)
}

func (c *chaos) heal() {
	c.cut = ""
	c.network.SetPartition(func(membership.VM, membership.VM) bool { return false })
}

// checkDeparted checks that no node chooses one that departed, for nodes that
// the departure could reach.
func (c *chaos) checkDeparted(event string) {
	c.t.Helper()
	for departing := range c.leaving {
		for i, mn := range c.nodes {
			if c.down[i] || i == departing || c.cut != "" || !c.paused[i].IsZero() || mn.ended() {
				continue
			}
			assert.Assert(c.t, !slices.Contains(mn.targets(), c.nodes[departing].vm.ID), "after %s: %s still chooses %s, which departed", event, mn.vm.ID, c.nodes[departing].vm.ID)
		}
	}
}

// ended reports whether a node's drain timeout is over: it sends no requests.
func (mn *meshNode) ended() bool {
	return slices.ContainsFunc(mn.View().Records, func(r membership.Record) bool {
		return r.VM.ID == mn.vm.ID && r.State == membership.Gone
	})
}

// converged reports whether the targets of all running nodes are exactly the
// nodes that run and did not depart.
func (c *chaos) converged() bool {
	var want []string
	for i, mn := range c.nodes {
		if !c.down[i] && !c.leaving[i] {
			want = append(want, mn.vm.ID)
		}
	}
	for i, mn := range c.nodes {
		if !c.down[i] && !mn.ended() && !slices.Equal(mn.targets(), want) {
			return false
		}
	}
	return true
}

// Nodes are killed, started, stopped and paused, and domains cut off, in random
// order. Seconds after a VM's departure, no node may choose it; and once all
// failures have ended, all nodes must have the same targets within seconds.
func TestMembershipConvergesAfterRandomFailures(t *testing.T) {
	t.Parallel()
	// These seeds have failed before: in 16 and 19 a departing node did not
	// receive the departure of another; in 3 and 30 a node departed while its
	// domain was cut off, and was chosen again after the heal.
	seeds := []uint64{3, 16, 19, 30}
	if count, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = nil
		for seed := range count {
			seeds = append(seeds, uint64(seed))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runChaos(t, seed) })
		})
	}
}

func runChaos(t *testing.T, seed uint64) {
	c := &chaos{
		mesh: settledMesh(t, 20, 4), random: rand.New(rand.NewPCG(seed, 1)),
		down: map[int]bool{}, leaving: map[int]bool{}, paused: map[int]time.Time{},
	}
	t.Cleanup(c.finish)
	for range 25 {
		event := c.step()
		t.Log(event)
		time.Sleep(3 * time.Second)
		for i, until := range c.paused {
			if time.Now().After(until) {
				delete(c.paused, i)
			}
		}
		c.checkDeparted(event)
	}
	for i := range c.nodes {
		c.waitResumed(i)
	}
	c.heal()
	took := c.waitUntil(30*time.Second, "convergence", c.converged)
	t.Logf("converged %s after all failures ended", took)
}

// finish ends the running requests of departing nodes, so that they stop.
func (c *chaos) finish() {
	for i := range c.leaving {
		c.nodes[i].running.Add(-1)
	}
	time.Sleep(time.Second)
}
