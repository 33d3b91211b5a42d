package node

import (
	"context"
	"time"

	"tamarackquay/internal/port"
)

// A process that was paused, because its VM was frozen or it got no CPU time,
// does not notice. It resumes with its old state: it would send requests to VMs
// that departed meanwhile, and suspect all VMs whose replies it missed. The
// control loop runs at least once a heartbeat, so a long gap on the monotonic
// clock between two of its runs indicates a pause.

// minPause is the shortest gap that counts as a pause: shorter ones occur on a
// busy machine.
const minPause = 2 * time.Second

// refreshTimeout bounds how long a node refuses new requests after a pause while
// it syncs membership with its peers. If no peer replies, it then serves with
// the state that it has.
const refreshTimeout = 2 * time.Second

func (n *Node) pauseThreshold() time.Duration { return max(3*n.config.Heartbeat, minPause) }

// OnPause registers a function that the control loop calls after a pause, with
// the pause's length, before it handles anything else. It must be called before
// Run.
func (n *Node) OnPause(hook func(gap time.Duration)) { n.pauseHooks = append(n.pauseHooks, hook) }

// PausedFor returns the time since the control loop last ran if that counts as a
// pause, otherwise zero. Requests call it because they run on their own
// goroutines, and after a pause may resume before the control loop does. It is
// safe for concurrent use.
func (n *Node) PausedFor(now time.Time) time.Duration {
	last := n.lastRun.Load()
	if last == nil {
		return 0
	}
	if gap := now.Sub(*last); gap > n.pauseThreshold() {
		return gap
	}
	return 0
}

// checkPause records that the control loop runs, and handles a pause that ended.
//
// A frozen node resumes with requests in its sockets whose callers have
// disconnected; serving such a request would run it past its deadline. Requests
// check both PausedFor and ready, so ready is cleared before lastRun, which
// resets PausedFor, is set: no request can pass both checks in between. The next
// publish recomputes ready.
func (n *Node) checkPause(now time.Time) {
	gap := n.PausedFor(now)
	if gap == 0 {
		n.lastRun.Store(&now)
		return
	}
	n.ready.Store(false)
	n.lastRun.Store(&now)
	n.ports.Log.Warn().Dur("gap", gap).Msg("process was paused")
	n.ports.Meter.Count(port.MetricPauses, "", 1)
	n.audit(port.AuditEvent{Kind: port.AuditPaused, Subject: n.config.Self.ID, Detail: gap.Round(time.Millisecond).String()})
	n.table.Resume(now)
	n.refreshDeadline = now.Add(refreshTimeout)
	for _, hook := range n.pauseHooks {
		hook(gap)
	}
}

// refresh syncs with several peers at once after a pause.
func (n *Node) refresh(ctx context.Context, now time.Time) {
	if !n.needsRefresh(now) || n.refreshing {
		return
	}
	n.refreshing = true
	for _, vm := range n.table.RefreshPeers() {
		n.startSync(ctx, vm)
	}
}

// endRefresh is called after a sync with a peer: the node's view is current
// again.
func (n *Node) endRefresh() {
	n.refreshDeadline = time.Time{}
	n.refreshing = false
}

// needsRefresh reports whether the node was paused and has not synced with any
// peer since.
func (n *Node) needsRefresh(now time.Time) bool {
	if now.Before(n.refreshDeadline) && len(n.view.Load().Peers) > 0 {
		return true
	}
	n.refreshing = false
	return false
}
