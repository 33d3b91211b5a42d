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

// disorder drives a mesh through random failures, one seed each.
type disorder struct {
	*mesh
	random  *rand.Rand
	down    map[int]bool
	leaving map[int]bool
	asleep  map[int]time.Time
	cut     string
}

// step does one thing that goes wrong, or right again.
func (d *disorder) step() string {
	i := 1 + d.random.IntN(len(d.nodes)-1)
	switch event := d.random.IntN(7); {
	case event == 0 && !d.down[i]:
		d.wake(i)
		d.kill(d.nodes[i])
		d.down[i] = true
		return "kill " + d.nodes[i].vm.ID
	case event == 1 && d.down[i]:
		if d.leaving[i] {
			d.nodes[i].running.Add(-1)
			delete(d.leaving, i)
		}
		d.replace(i)
		delete(d.down, i)
		return "start " + d.nodes[i].vm.ID
	case event == 2 && !d.down[i] && !d.leaving[i] && len(d.leaving) < 3:
		d.wake(i)
		d.nodes[i].leave()
		d.leaving[i] = true
		return "stop " + d.nodes[i].vm.ID
	case event == 3 && !d.down[i] && !d.leaving[i] && d.asleep[i].IsZero():
		d.pause(d.nodes[i], 20*time.Second)
		d.asleep[i] = time.Now().Add(21 * time.Second)
		return "pause " + d.nodes[i].vm.ID
	case event == 4 && d.cut == "":
		cut := d.nodes[i].vm.FailureDomain
		d.cut = cut
		within := func(vm membership.VM) bool { return vm.FailureDomain == cut }
		d.network.SetPartition(func(from, to membership.VM) bool { return within(from) != within(to) })
		return "cut " + d.cut
	case event == 5 && d.cut != "":
		d.heal()
		return "heal"
	}
	return "nothing"
}

// wake waits until a paused node runs again.
func (d *disorder) wake(i int) {
	time.Sleep(time.Until(d.asleep[i]))
	delete(d.asleep, i)
}

func (d *disorder) heal() {
	d.cut = ""
	d.network.SetPartition(func(membership.VM, membership.VM) bool { return false })
}

// checkLeft proves that no node gives work to one that said goodbye, as far as
// the goodbye could reach it.
func (d *disorder) checkLeft(what string) {
	d.t.Helper()
	for left := range d.leaving {
		for i, mn := range d.nodes {
			if d.down[i] || i == left || d.cut != "" || !d.asleep[i].IsZero() || mn.gone() {
				continue
			}
			assert.Assert(d.t, !slices.Contains(mn.targets(), d.nodes[left].vm.ID), "after %s: %s chooses %s, which left", what, mn.vm.ID, d.nodes[left].vm.ID)
		}
	}
}

// gone reports whether a node's drain time is over: it has no work to give.
func (mn *meshNode) gone() bool {
	return slices.ContainsFunc(mn.View().Records, func(r membership.Record) bool {
		return r.VM.ID == mn.vm.ID && r.State == membership.Gone
	})
}

// agreed reports whether all running nodes choose the same: those that run and
// did not leave.
func (d *disorder) agreed() bool {
	var want []string
	for i, mn := range d.nodes {
		if !d.down[i] && !d.leaving[i] {
			want = append(want, mn.vm.ID)
		}
	}
	for i, mn := range d.nodes {
		if !d.down[i] && !mn.gone() && !slices.Equal(mn.targets(), want) {
			return false
		}
	}
	return true
}

// Nodes are killed, started, stopped and paused, and domains cut off, in random
// order. Nobody gives work to a VM that left, seconds after it said so; and once
// all is healed, all agree within seconds on who takes work.
func TestRandomDisorder(t *testing.T) {
	t.Parallel()
	// These seeds were red: in 16 and 19 a node that was itself leaving was not
	// told of another's leave; in 3 and 30 one had left while its domain was
	// cut off, and was chosen again after the heal.
	seeds := []uint64{3, 16, 19, 30}
	if asked, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = nil
		for seed := range asked {
			seeds = append(seeds, uint64(seed))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runDisorder(t, seed) })
		})
	}
}

func runDisorder(t *testing.T, seed uint64) {
	d := &disorder{
		mesh: settledMesh(t, 20, 4), random: rand.New(rand.NewPCG(seed, 1)),
		down: map[int]bool{}, leaving: map[int]bool{}, asleep: map[int]time.Time{},
	}
	t.Cleanup(d.finish)
	for range 25 {
		what := d.step()
		t.Log(what)
		time.Sleep(3 * time.Second)
		for i, until := range d.asleep {
			if time.Now().After(until) {
				delete(d.asleep, i)
			}
		}
		d.checkLeft(what)
	}
	for i := range d.nodes {
		d.wake(i)
	}
	d.heal()
	took := d.until(30*time.Second, "agreement", d.agreed)
	t.Logf("agreed %s after all was healed", took)
}

// finish ends the work of nodes that are leaving, so that they stop.
func (d *disorder) finish() {
	for left := range d.leaving {
		d.nodes[left].running.Add(-1)
	}
	time.Sleep(time.Second)
}
