package mesh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against requests to a draining target because of a ready entry that was written late, and
// against a restarted target that gets no requests because its clock lies behind.
func TestReadyEntryAfterDrainingIsConfirmed(t *testing.T) {
	const confirmed = confirmIntervals * DefaultReportInterval
	entry := func(revision uint64, state TargetState, started int64) Target {
		return Target{ID: "i", Service: "s", Address: "a:1", State: state, Started: started, Revision: revision}
	}
	for _, test := range []struct {
		desc string
		// started is the start of the process that says ready after one of 200 drained.
		started int64
		// usableAfter is when the target is used again, after the ready entry.
		usableAfter time.Duration
	}{
		{"a later start", 201, 0},
		{"the process that drained", 200, confirmed},
		{"an earlier start, or one whose clock lies behind", 100, confirmed},
		{"a process that reports no start", 0, confirmed},
	} {
		t.Run(test.desc, func(t *testing.T) {
			view, neighbour := NewView(), NewView()
			assert.NilError(t, view.Apply(start, &Update{Targets: []Target{entry(5, Ready, 200)}}))
			assert.NilError(t, view.Apply(start, &Update{Targets: []Target{entry(6, Draining, 200)}}))
			assert.NilError(t, view.Apply(start, &Update{Targets: []Target{entry(7, Ready, test.started)}}))
			late, _ := view.Since(start.Add(time.Second), Position{})
			assert.NilError(t, neighbour.Apply(start.Add(time.Second), late))
			for _, v := range []*View{view, neighbour} {
				member := v.Members()["i"]
				assert.Assert(t, member.Usable(start.Add(test.usableAfter)))
				assert.Assert(t, test.usableAfter == 0 || !member.Usable(start.Add(test.usableAfter-time.Millisecond)))
			}
			// Another change of the entry doesn't restart the wait.
			assert.NilError(t, view.Apply(start.Add(time.Second), &Update{Targets: []Target{entry(8, Ready, test.started)}}))
			assert.Assert(t, view.Members()["i"].Usable(start.Add(test.usableAfter)))
			assert.NilError(t, view.Apply(start, &Update{Targets: []Target{entry(9, Draining, 200)}}))
			assert.Assert(t, !view.Members()["i"].Usable(start.Add(time.Hour)))
			assert.Equal(t, test.usableAfter == 0, !view.Members()["i"].DrainingSince.Before(start))
		})
	}
}

// lateWriteModel is a platform that carries out writes of a target late, and views that read it and
// follow each other. The target's processes run one after another under one id.
type lateWriteModel struct {
	now      time.Time
	revision uint64
	// entry is the platform's entry, and pending the writes that it will carry out late.
	entry   Target
	pending []Target
	// started and state are those of the running process, drainedAt is when the platform accepted
	// that it drains.
	started   int64
	state     TargetState
	drainedAt time.Time
	writtenAt time.Time
	views     []*View
}

// write makes the platform carry out a write now.
func (m *lateWriteModel) write(target Target) {
	m.revision++
	target.Revision = m.revision
	m.entry = target
}

// report writes the state of the running process.
func (m *lateWriteModel) report() {
	m.write(Target{ID: "i", State: m.state, Started: m.started})
	m.writtenAt = m.now
}

// restart ends the running process and starts another one, whose clock may lie behind.
func (m *lateWriteModel) restart(t *rapid.T) {
	m.started += rapid.Int64Range(-5, 5).Draw(t, "clock") * 1000
	m.state, m.drainedAt = Ready, time.Time{}
	m.report()
}

// drain makes the running process drain.
func (m *lateWriteModel) drain() {
	if m.state == Ready {
		m.state, m.drainedAt = Draining, m.now
	}
	m.report()
}

// read lets all views read the platform, which they do within the propagation bound.
func (m *lateWriteModel) read(t *rapid.T) {
	t.Helper()
	for _, view := range m.views {
		assert.NilError(t, view.Apply(m.now, &Update{Targets: []Target{m.entry}, Revision: m.revision}))
	}
}

// A target's entry is written late any number of times while it drains, and restarts. Guards against
// views that use a target whose running process drains, and against views that never use one that is
// ready.
func TestDrainingHoldsAgainstLateWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const started = 100_000
		m := &lateWriteModel{now: start, started: started, state: Ready, views: []*View{NewView(), NewView()}}
		m.report()
		m.read(t)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "pause")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"postpone", "late", "drain", "restart"}).Draw(t, "step") {
			case "postpone":
				m.pending = append(m.pending, Target{ID: "i", State: m.state, Started: m.started})
			case "late":
				if len(m.pending) > 0 {
					m.write(m.pending[0])
					m.pending = m.pending[1:]
				}
			case "drain":
				m.drain()
			case "restart":
				m.restart(t)
			}
			if m.now.Sub(m.writtenAt) >= DefaultReportInterval {
				m.report()
			}
			m.read(t)
			for i, view := range m.views {
				if member := view.Members()["i"]; m.state == Draining && member.Usable(m.now) {
					t.Fatalf("view %d uses a target that drains since %s: %+v", i, m.now.Sub(m.drainedAt), member)
				}
			}
		}
		// Without further late writes the target gets its requests back.
		m.state, m.pending = Ready, nil
		m.restart(t)
		m.read(t)
		m.now = m.now.Add(confirmIntervals * DefaultReportInterval)
		for i, view := range m.views {
			assert.Assert(t, view.Members()["i"].Usable(m.now), "view %d: %+v", i, view.Members()["i"])
		}
	})
}
