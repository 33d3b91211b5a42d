package process

import (
	"slices"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/standin/target"
)

// pause is a time during which the processes of some nodes were stopped. It must be longer
// than the deadline of all routes.
type pause struct {
	vms []string
	// resumed is the end on the clock of target.SinceBoot.
	resumed time.Duration
}

// pauseNodes stops the processes of nodes until the returned function is called.
func (f *fleet) pauseNodes(ids ...string) (resume func()) {
	for _, id := range ids {
		f.nodes[id].process.signal(syscall.SIGSTOP)
	}
	return func() {
		f.pauses = append(f.pauses, pause{vms: ids, resumed: target.SinceBoot()})
		for _, id := range ids {
			f.nodes[id].process.signal(syscall.SIGCONT)
		}
	}
}

// expired reports whether a resumed node should have known that nobody waits for the run.
//
// A node closes the connection of an attempt before it responds to the caller, and a caller
// that gives up closes its connection. So when a paused node resumes, the kernel reports the
// senders of these requests as gone, and what the node had read before the pause is past its
// deadline. An entry node that was not paused but didn't respond before its caller gave up
// closes its connection once it gets CPU time; it is given twice the deadline for that.
func (p *pause) expired(record *callRecord, run *arrival, deadline time.Duration) bool {
	ownerPaused := slices.Contains(p.vms, run.vm)
	gone := p.resumed - record.endSinceBoot
	switch {
	case gone <= 0 || run.StartSinceBoot <= p.resumed:
		return false
	case record.told:
		return ownerPaused
	case slices.Contains(p.vms, record.entry):
		return true
	}
	return ownerPaused && gone > 2*deadline
}

// checkNotResumed checks that the run was not started by a node that resumed after the
// caller had stopped waiting. It compares the order of events, which doesn't depend on how
// soon processes get CPU time.
func (r *recorder) checkNotResumed(record *callRecord, run *arrival) {
	t := r.fleet.t
	t.Helper()
	for _, p := range r.fleet.pauses {
		assert.Check(t, !p.expired(record, run, r.deadline), "%s: the target of %s started it %s after a pause, and its caller was gone %s before the end of the pause",
			record.path, run.vm, run.StartSinceBoot-p.resumed, p.resumed-record.endSinceBoot)
	}
}

// checkDeadlines checks what the nodes sent with each request that arrived at a target:
// the node had time left when it sent the request, at most the route's deadline, and the
// target was told to start it no later than that. A target must have started no request
// after that time.
//
// The start is not compared with the caller's clock. The deadline counts from the moment at
// which a node reads the request, which on a loaded machine may be any time later, and the
// rest of a broken archive is requested with a deadline of its own.
func (r *recorder) checkDeadlines() {
	t := r.fleet.t
	t.Helper()
	for path, arrivals := range r.fleet.arrivals() {
		for _, a := range arrivals {
			assert.Check(t, a.Budget > 0, "%s was sent to the target of %s without any time left", path, a.vm)
			assert.Check(t, a.Budget <= r.deadline, "%s was sent with %s left, more than the route's deadline", path, a.Budget)
			// The budget is rounded down.
			latest := a.StartSinceBoot + a.Budget + time.Millisecond
			assert.Check(t, a.StartBy < latest, "%s: the target was told to start it %s too late", path, a.StartBy-latest)
			late := a.StartSinceBoot.Milliseconds() - a.StartBy.Milliseconds()
			assert.Check(t, a.Expired || late <= 0, "%s was started %d ms after its deadline", path, late)
		}
	}
}
