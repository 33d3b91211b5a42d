package process

import (
	"syscall"
	"testing"
	"time"

	"tamarackquay/standin/target"
	"tamarackquay/standin/usertarget"
)

// Guards against requests to a target that says it drains, because its VM's clock lay behind when it
// restarted under its id.
func TestTargetRestartedWithEarlierClockDrains(t *testing.T) {
	t.Parallel()
	f, targets := newSidecarFleet(t, 3)
	f.startCallers(targets)
	restarted := targets[0]
	born := restarted.born.Add(-1500 * time.Millisecond)
	restarted.register("ready", born)
	time.Sleep(time.Second)
	restarted.register("draining", born)
	restarted.assertLeft(target.SinceBoot())
}

// Guards against requests to a draining target, because the store carried out an earlier write late:
// until the target writes again, its entry says that it is ready.
func TestLateWriteRevivesNoDrainingTarget(t *testing.T) {
	t.Parallel()
	const (
		lateAfter = 2 * time.Second
		heartbeat = 1500 * time.Millisecond
	)
	for _, test := range []struct {
		desc string
		// startedBefore is how long before the target's process the late writer started.
		startedBefore time.Duration
	}{
		{"of the same process", 0},
		{"of a process that has ended", 5 * time.Second},
	} {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			f, targets := newSidecarFleet(t, 3)
			f.startCallers(targets)
			draining := targets[0]
			draining.register("draining", draining.born)
			left := target.SinceBoot()
			time.Sleep(lateAfter)
			draining.register("ready", draining.born.Add(-test.startedBefore))
			time.Sleep(heartbeat)
			draining.register("draining", draining.born)
			draining.assertLeft(left)
		})
	}
}

// Guards against a node that keeps using a target whose entry was removed while the node that it
// follows restarted: the restarted node has no record of the removal.
func TestRemovalDuringRestartReachesFollower(t *testing.T) {
	t.Parallel()
	const (
		killAfter    = 30 * time.Millisecond
		removeAfter  = 200 * time.Millisecond
		restartAfter = 400 * time.Millisecond
	)
	f, targets := newSidecarFleet(t, 2)
	f.startCallers(targets)
	reader := f.reader()
	follower := 1 - reader
	f.publish(2)
	time.Sleep(killAfter)
	node := f.vms[reader].node
	node.signal(syscall.SIGKILL)
	<-node.done
	time.Sleep(removeAfter)
	f.store.Delete(usertarget.Key(targets[follower].id))
	left := target.SinceBoot()
	time.Sleep(restartAfter - removeAfter)
	f.vms[reader].startNode()
	targets[follower].assertLeft(left)
}
