package node

import (
	"context"
	"time"

	"tamarackquay/internal/port"
)

// A paused process, frozen with its VM or starved of a core, does not notice. It
// wakes with its old picture: it would send work to VMs that departed meanwhile
// and call everyone suspect whose answers it slept through. The control loop
// runs at least once a heartbeat, so a long gap between two of its turns on the
// monotonic clock shows the pause.

// minPause is the shortest gap that counts as a pause: a busy machine makes
// shorter ones.
const minPause = 2 * time.Second

// refreshHold bounds how long a woken node refuses new work while it asks peers
// what it missed. A node that nobody answers serves with what it has.
const refreshHold = 2 * time.Second

func (n *Node) pauseAfter() time.Duration { return max(3*n.config.Heartbeat, minPause) }

// OnPause adds a function that the control loop calls after a pause, with its
// length, before it handles anything else. It must be called before Run.
func (n *Node) OnPause(hook func(gap time.Duration)) { n.pauseHooks = append(n.pauseHooks, hook) }

// PausedFor returns for how long the control loop has been silent if that counts
// as a pause, and else zero. Requests run on goroutines of their own: after a
// wake they may come before the control loop, and ask here. It is safe for
// concurrent use.
func (n *Node) PausedFor(now time.Time) time.Duration {
	turn := n.lastTurn.Load()
	if turn == nil {
		return 0
	}
	if gap := now.Sub(*turn); gap > n.pauseAfter() {
		return gap
	}
	return 0
}

// turn notes that the control loop runs, and handles a pause that it wakes from.
//
// A frozen node wakes with requests in its sockets whose callers have gone, and
// serving one would run it past its deadline. Requests ask PausedFor and ready,
// so the node is made not ready before the turn ends the first: with no moment
// between the two, no request passes both. The next publish makes it ready again.
func (n *Node) turn(now time.Time) {
	gap := n.PausedFor(now)
	if gap == 0 {
		n.lastTurn.Store(&now)
		return
	}
	n.ready.Store(false)
	n.lastTurn.Store(&now)
	n.ports.Log.Warn().Dur("gap", gap).Msg("process was paused")
	n.ports.Meter.Count(port.MetricPauses, "", 1)
	n.audit(port.AuditEvent{Kind: port.AuditPaused, Subject: n.config.Self.ID, Detail: gap.Round(time.Millisecond).String()})
	n.table.Resume(now)
	n.distrustUntil = now.Add(refreshHold)
	for _, hook := range n.pauseHooks {
		hook(gap)
	}
}

// refresh asks several peers at once what was missed.
func (n *Node) refresh(ctx context.Context, now time.Time) {
	if !n.distrusts(now) || n.refreshing {
		return
	}
	n.refreshing = true
	for _, vm := range n.table.RefreshPeers() {
		n.startSync(ctx, vm)
	}
}

// trust ends the distrust: a peer has told what it knows.
func (n *Node) trust() {
	n.distrustUntil = time.Time{}
	n.refreshing = false
}

// distrusts reports whether the node woke from a pause and has not heard from
// any peer since.
func (n *Node) distrusts(now time.Time) bool {
	if now.Before(n.distrustUntil) && len(n.view.Load().Peers) > 0 {
		return true
	}
	n.refreshing = false
	return false
}
