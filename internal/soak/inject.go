package soak

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/wait"
	"tamarackquay/standin/target"
	"tamarackquay/standin/userstore"
	"tamarackquay/standin/usertarget"
)

// Parameters of faults.
const (
	// restartDelay is the time between the end of a node's process and its restart.
	restartDelay = 300 * time.Millisecond
	// linkDelay is the added delay of a slow link: far above a round trip and far
	// below every deadline.
	linkDelay = 60 * time.Millisecond
	// A burst publishes burstSize versions, burstPause apart.
	burstSize  = 6
	burstPause = 80 * time.Millisecond
	// slowFactor multiplies the service time of a slow target.
	slowFactor = 8
	// namedLimit is the limit, in requests per second, that a target names.
	namedLimit = 5
)

// failingMode is the behaviour of a failing target, which still serves most of its
// requests.
var failingMode = usertarget.Mode{LossRate: 0.1, CutRate: 0.1, SpoilRate: 0.1, ShedRate: 0.2, DropRate: 0.1, FailureRate: 0.1}

// failureStatuses are the statuses of failed runs; a failing target uses one of them.
var failureStatuses = []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// failureStatus returns the status of the failed runs under a fault.
func failureStatus(fault Fault) int {
	return failureStatuses[int(fault.At.Microseconds())%len(failureStatuses)]
}

// overloadedMode is the behaviour of every target of a service under
// OverloadedService.
var overloadedMode = usertarget.Mode{ShedRate: 0.9}

// inject injects the faults of a plan and returns when the last one has ended.
func (f *fleet) inject(ctx context.Context, plan []Fault) error {
	begin := time.Now()
	var running sync.WaitGroup
	failed := make(chan error, len(plan))
	for _, fault := range plan {
		if !wait.Sleep(ctx, time.Until(begin.Add(fault.At))) {
			break
		}
		running.Go(func() { failed <- errors.Wrapf(f.injectFault(ctx, fault), "inject %s on VM %d", fault.Kind, fault.VM) })
	}
	running.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

// injectFault injects one fault and records it. The recorded times enclose the
// fault: they are taken just before it begins and just after it ends.
func (f *fleet) injectFault(ctx context.Context, fault Fault) error {
	event := Event{Kind: fault.Kind, VM: fault.VM, Begin: target.SinceBoot(), Side: fault.Side}
	err := f.applyFault(ctx, fault, &event)
	event.End = target.SinceBoot()
	f.recordEvent(event)
	return err
}

func (f *fleet) applyFault(ctx context.Context, fault Fault, event *Event) error {
	switch fault.Kind {
	case Publish:
		return f.publish()
	case PublishBurst:
		return f.publishBurst(ctx)
	case BusyStore:
		return f.busyStore(ctx, fault.Duration)
	case CompactStore:
		return f.postToStore(userstore.PathCompact, nil, nil)
	case KillAll:
		return f.killAllNodes(ctx, fault.Duration)
	case CrashRequest:
		f.runCrashingCallers(ctx, fault)
		return nil
	}
	m := f.vms[fault.VM]
	switch fault.Kind {
	case DelayLink, ResetLink, OneWayLink, BlackholeLink:
		m.disturbLink(ctx, fault)
		return nil
	case Crowd:
		m.crowd(ctx, fault)
		return nil
	case ReloadNode:
		m.reload()
		return nil
	case FreezeNode:
		node, _ := m.processes()
		node.signal(syscall.SIGSTOP)
		wait.Sleep(ctx, fault.Duration)
		node.signal(syscall.SIGCONT)
		return nil
	case KillNode, RestartNode:
		return f.replaceNode(ctx, m, fault.Kind)
	case KillTarget, DrainTarget:
		return f.replaceTarget(ctx, m, fault, event)
	case DepartInRestart, LateWrite, ClockBehind:
		return f.departTarget(ctx, m, fault, event)
	}
	if fault.Kind == OverloadedService {
		return f.overloadService(ctx, m.service, fault.Duration)
	}
	return f.degradeTarget(ctx, m, fault, event)
}

func (f *fleet) publishBurst(ctx context.Context) error {
	for range burstSize {
		if err := f.publish(); err != nil {
			return err
		}
		if !wait.Sleep(ctx, burstPause) {
			break
		}
	}
	return nil
}

func (f *fleet) busyStore(ctx context.Context, duration time.Duration) error {
	busy := func(on bool) error {
		return f.postToStore(userstore.PathBusy, url.Values{"on": {strconv.FormatBool(on)}}, nil)
	}
	if err := busy(true); err != nil {
		return err
	}
	wait.Sleep(ctx, duration)
	return busy(false)
}

// replaceNode ends a node's process and starts another one. It does nothing if the
// node is already being replaced.
func (f *fleet) replaceNode(ctx context.Context, m *machine, kind Kind) error {
	if !m.nodeRestart.TryLock() {
		return nil
	}
	defer m.nodeRestart.Unlock()
	node, _ := m.processes()
	if kind == RestartNode {
		node.signal(syscall.SIGTERM)
		select {
		case <-node.done:
		case <-time.After(grace):
		}
	}
	node.end()
	wait.Sleep(ctx, restartDelay)
	if err := f.startNode(m); err != nil {
		return err
	}
	return f.waitFor(m.name, func() bool { return f.get("http://" + hostPort(m.private, portReady) + "/ready") })
}

func (f *fleet) killAllNodes(ctx context.Context, duration time.Duration) error {
	for _, m := range f.vms {
		m.nodeRestart.Lock()
		defer m.nodeRestart.Unlock()
	}
	for _, m := range f.vms {
		node, _ := m.processes()
		node.signal(syscall.SIGKILL)
	}
	for _, m := range f.vms {
		node, _ := m.processes()
		node.end()
	}
	wait.Sleep(ctx, duration)
	for _, m := range f.vms {
		if err := f.startNode(m); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// replaceTarget kills or drains a target, and starts another instance at its
// address. It does nothing if the target is already being replaced or degraded.
func (f *fleet) replaceTarget(ctx context.Context, m *machine, fault Fault, event *Event) error {
	if !m.targetRestart.TryLock() {
		return nil
	}
	defer m.targetRestart.Unlock()
	_, running := m.processes()
	event.Instance = m.instance
	if fault.Kind == DrainTarget {
		if err := m.drain(f.client); err != nil {
			return err
		}
		// The drain bound starts when the store records the departure, which is
		// before this moment.
		f.recordEvent(Event{Kind: DrainTarget, VM: m.number, Begin: event.Begin, End: target.SinceBoot(), Instance: m.instance})
		select {
		case <-running.done:
		case <-time.After(drainBound + grace):
		}
	}
	running.end()
	if fault.Kind == KillTarget {
		wait.Sleep(ctx, fault.Duration)
	}
	return f.startTarget(m)
}

// drain asks the target to leave, and returns after the store has recorded it.
func (m *machine) drain(client *http.Client) error { return m.postControl(client, "/drain", nil) }

func (f *fleet) degradeTarget(ctx context.Context, m *machine, fault Fault, event *Event) error {
	mode := failingMode
	mode.FailureStatus = failureStatus(fault)
	switch fault.Kind {
	case SlowTarget:
		mode = usertarget.Mode{Slowdown: slowFactor}
	case LimitTarget:
		mode = usertarget.Mode{Limit: namedLimit}
	}
	if !m.targetRestart.TryLock() {
		return nil
	}
	defer m.targetRestart.Unlock()
	event.Instance = m.instance
	if err := m.setMode(f.client, mode); err != nil {
		return err
	}
	wait.Sleep(ctx, fault.Duration)
	return m.setMode(f.client, usertarget.Mode{})
}

// overloadService makes the targets of a service shed nearly all requests, except
// those that are being replaced or degraded.
func (f *fleet) overloadService(ctx context.Context, service string, duration time.Duration) error {
	var locked []*machine
	defer func() {
		for _, m := range locked {
			m.targetRestart.Unlock()
		}
	}()
	for _, m := range f.vms {
		if m.service != service || !m.targetRestart.TryLock() {
			continue
		}
		locked = append(locked, m)
		if err := m.setMode(f.client, overloadedMode); err != nil {
			return err
		}
	}
	wait.Sleep(ctx, duration)
	for _, m := range locked {
		if err := m.setMode(f.client, usertarget.Mode{}); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) disturbLink(ctx context.Context, fault Fault) {
	relay := m.relays[fault.Side]
	switch fault.Kind {
	case DelayLink:
		relay.SetFault(LinkFault{Delay: linkDelay})
	case ResetLink:
		relay.SetFault(LinkFault{ResetNew: true})
		relay.Reset()
	case OneWayLink:
		relay.SetFault(LinkFault{HoldBack: true})
	case BlackholeLink:
		relay.SetFault(LinkFault{HoldForward: true, HoldBack: true})
	}
	wait.Sleep(ctx, fault.Duration)
	relay.SetFault(LinkFault{})
}
