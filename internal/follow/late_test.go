package follow

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/mesh"
)

// departureBound is the platform's bound for the time after which no request reaches a
// departed target.
const departureBound = 3 * time.Second

// nodesUsing returns the nodes that would send requests to the target.
func (w *world) nodesUsing(target string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for id, f := range w.nodes {
		f.mu.Lock()
		member := f.view.Members()[target]
		if member != nil && member.Usable(time.Now()) {
			found = append(found, id)
		}
		f.mu.Unlock()
	}
	return found
}

// Guards against requests to a target beyond the bound of 3 s after the platform confirmed
// its departure; users saw two lookups after 3.05 s. On full links, the removal reached the
// readers in one late response together with a change of 1,800 routes. The resulting age of
// the view was taken for a platform outage, and the target got the grace period of an
// expired lease. In a replay, the entry went from "ready" to "gone" in one update with the
// change, and no read failed near that time. If age alone decides on an outage, the same
// events keep the target in use for over 3 s here.
func TestLateResponseKeepsNoDepartedTarget(t *testing.T) {
	simulateWithin(t, departureBound, func(t *testing.T, w *world) {
		w.mu.Lock()
		w.responseDelay = 2200 * time.Millisecond
		w.mu.Unlock()
		for i, target := range []string{"a1-0", "a2-1", "b1-2", "b2-0"} {
			time.Sleep(10*time.Second + time.Duration(i)*300*time.Millisecond)
			w.remove(target)
			time.Sleep(departureBound)
			used := w.nodesUsing(target)
			assert.Equal(t, len(used), 0, "%s, by %v", target, used)
		}
	})
}

// Guards against treating updates as fresh that arrive later and later over a saturated
// link but never stop: no node would fail over, and a departed target would stay in use.
func TestLateFeedsKeepNoDepartedTarget(t *testing.T) {
	simulateWithin(t, departureBound, func(t *testing.T, w *world) {
		const rampUp, maxDelay = 8 * time.Second, 4 * time.Second
		start := time.Now()
		w.mu.Lock()
		w.queueDelay = func(string) time.Duration {
			return min(maxDelay, time.Since(start)/(rampUp/maxDelay))
		}
		w.mu.Unlock()
		time.Sleep(rampUp)
		w.remove("a1-0")
		time.Sleep(departureBound)
		used := w.nodesUsing("a1-0")
		assert.Equal(t, len(used), 0, "%v", used)
	})
}

// Guards against dating a target's draining by the arrival of a late update: its own node
// would send it requests for longer than the platform allows. Only the readers read the
// platform, so that all other nodes learn of the draining from them.
func TestDrainingIsDatedFromFirstRead(t *testing.T) {
	const late = 700 * time.Millisecond
	simulateWithin(t, departureBound, func(t *testing.T, w *world) {
		readers := w.readers()
		w.mu.Lock()
		w.queueDelay = func(string) time.Duration { return late }
		for id := range w.nodes {
			w.rejected[id] = !slices.Contains(readers, id)
		}
		w.mu.Unlock()
		time.Sleep(3 * time.Second)
		target := mesh.Target{ID: "a1-0", Service: "s", Address: "a1-0:80", FailureDomain: "a1", Slots: 1, State: mesh.Draining}
		w.put(target)
		drained := time.Now()
		time.Sleep(3 * late)
		for id, f := range w.nodes {
			f.mu.Lock()
			since := f.view.Members()["a1-0"].DrainingSince
			f.mu.Unlock()
			assert.Check(t, since.Sub(drained) < late/2, "%s: %s", id, since.Sub(drained))
		}
	})
}

// Guards against requests to a draining target beyond the bound if its own node learned of
// the draining as late as is allowed, because all readers were lost just before.
func TestDrainingTargetGetsNoRequestsBeyondBound(t *testing.T) {
	for _, within := range []time.Duration{1500 * time.Millisecond, defaultPropagationBound, departureBound, 5 * time.Second} {
		for _, test := range readerLosses {
			t.Run(within.String()+" "+test.desc, func(t *testing.T) {
				simulateWithin(t, within, func(t *testing.T, w *world) {
					for phase := 0 * time.Second; phase < within/2; phase += within / 10 {
						time.Sleep(2*within + phase)
						w.mu.Lock()
						clear(w.rejected)
						clear(w.cut)
						w.mu.Unlock()
						time.Sleep(4 * within)
						readers := w.readers()
						w.mu.Lock()
						test.lose(w, readers)
						target := w.targets["a1-0"]
						w.mu.Unlock()
						target.State = mesh.Draining
						w.put(target)
						drained := time.Now()
						time.Sleep(within)
						w.assertWorkEnds(t, "a1-0", drained.Add(within), DrainGrace(within))
						target.State = mesh.Ready
						w.put(target)
					}
				})
			})
		}
	}
}

// assertWorkEnds checks that every node would send a draining target its last request
// before the given time.
func (w *world) assertWorkEnds(t *testing.T, target string, end time.Time, drainWork time.Duration) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, f := range w.nodes {
		if w.cut[id] {
			continue
		}
		f.mu.Lock()
		member := f.view.Members()[target]
		f.mu.Unlock()
		assert.Check(t, member != nil && member.State == mesh.Draining, "%s has not recorded the draining", id)
		assert.Check(t, !member.DrainingSince.Add(drainWork).After(end), "%s: %s late", id, member.DrainingSince.Add(drainWork).Sub(end))
	}
}
