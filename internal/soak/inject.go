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

// Figures of faults.
const (
	// downFor is how long a killed process stays away.
	downFor = 300 * time.Millisecond
	// linkDelay is far above a round trip and far below every deadline.
	linkDelay = 60 * time.Millisecond
	// stormOf versions are published stormPause apart.
	stormOf    = 6
	stormPause = 80 * time.Millisecond
	// slower is how many times longer a slow target works.
	slower = 8
)

// ill is how an ill target treats its requests: most of them well.
var ill = usertarget.Mode{LossRate: 0.1, CutRate: 0.1, ShedRate: 0.2, FailureRate: 0.1}

// overloaded is how every target of a service behaves in IllService.
var overloaded = usertarget.Mode{ShedRate: 0.9}

// inject carries out a plan and returns when the last fault has ended.
func (f *fleet) inject(ctx context.Context, plan []Fault) error {
	begin := time.Now()
	var running sync.WaitGroup
	failed := make(chan error, len(plan))
	for _, fault := range plan {
		if !wait.Sleep(ctx, time.Until(begin.Add(fault.At))) {
			break
		}
		running.Go(func() { failed <- errors.Wrapf(f.do(ctx, fault), "%s on %d", fault.Kind, fault.VM) })
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

// do carries out one fault and notes it, from just before its begin to just after
// its end.
func (f *fleet) do(ctx context.Context, fault Fault) error {
	event := Event{What: fault.Kind, VM: fault.VM, Begin: target.SinceBoot(), Side: fault.Side}
	err := f.carryOut(ctx, fault, &event)
	event.End = target.SinceBoot()
	f.note(event)
	return err
}

func (f *fleet) carryOut(ctx context.Context, fault Fault, event *Event) error {
	switch fault.Kind {
	case Publish:
		return f.publish()
	case Storm:
		return f.storm(ctx)
	case BusyStore:
		return f.busyStore(ctx, fault.For)
	case ForgetStore:
		return f.admin(userstore.PathCompact, nil, nil)
	case KillAll:
		return f.killAll(ctx, fault.For)
	case CrashRequest:
		f.sendCrashing(ctx, fault)
		return nil
	}
	m := f.vms[fault.VM]
	switch fault.Kind {
	case DelayLink, ResetLink, OneWayLink, SilentLink:
		m.harmLink(ctx, fault)
		return nil
	case ReloadNode:
		m.reload()
		return nil
	case FreezeNode:
		node, _ := m.processes()
		node.signal(syscall.SIGSTOP)
		wait.Sleep(ctx, fault.For)
		node.signal(syscall.SIGCONT)
		return nil
	case KillNode, RestartNode:
		return f.stopNode(ctx, m, fault.Kind)
	case KillTarget, DrainTarget:
		return f.replaceTarget(ctx, m, fault, event)
	}
	if fault.Kind == IllService {
		return f.illService(ctx, m.service, fault.For)
	}
	return f.illTarget(ctx, m, fault)
}

func (f *fleet) storm(ctx context.Context) error {
	for range stormOf {
		if err := f.publish(); err != nil {
			return err
		}
		if !wait.Sleep(ctx, stormPause) {
			break
		}
	}
	return nil
}

func (f *fleet) busyStore(ctx context.Context, length time.Duration) error {
	busy := func(on bool) error {
		return f.admin(userstore.PathBusy, url.Values{"on": {strconv.FormatBool(on)}}, nil)
	}
	if err := busy(true); err != nil {
		return err
	}
	wait.Sleep(ctx, length)
	return busy(false)
}

// stopNode ends a node's process and starts another one, unless that is being done
// already.
func (f *fleet) stopNode(ctx context.Context, m *member, how Kind) error {
	if !m.stopping.TryLock() {
		return nil
	}
	defer m.stopping.Unlock()
	node, _ := m.processes()
	if how == RestartNode {
		node.signal(syscall.SIGTERM)
		select {
		case <-node.done:
		case <-time.After(grace):
		}
	}
	node.end()
	wait.Sleep(ctx, downFor)
	if err := f.startNode(m); err != nil {
		return err
	}
	return f.waitFor(m.name, func() bool { return f.get("http://" + at(m.private, portReady) + "/ready") })
}

func (f *fleet) killAll(ctx context.Context, length time.Duration) error {
	for _, m := range f.vms {
		m.stopping.Lock()
		defer m.stopping.Unlock()
	}
	for _, m := range f.vms {
		node, _ := m.processes()
		node.signal(syscall.SIGKILL)
	}
	for _, m := range f.vms {
		node, _ := m.processes()
		node.end()
	}
	wait.Sleep(ctx, length)
	for _, m := range f.vms {
		if err := f.startNode(m); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// replaceTarget ends a target, at once or in the planned way, and starts another
// instance at its address.
func (f *fleet) replaceTarget(ctx context.Context, m *member, fault Fault, event *Event) error {
	if !m.replacing.TryLock() {
		return nil
	}
	defer m.replacing.Unlock()
	_, running := m.processes()
	event.Instance = m.instance
	if fault.Kind == DrainTarget {
		if err := m.drain(f.client); err != nil {
			return err
		}
		// The promise counts from the store's word, which came before this.
		f.note(Event{What: DrainTarget, VM: m.number, Begin: event.Begin, End: target.SinceBoot(), Instance: m.instance})
		select {
		case <-running.done:
		case <-time.After(drainBound + grace):
		}
	}
	running.end()
	if fault.Kind == KillTarget {
		wait.Sleep(ctx, fault.For)
	}
	return f.startTarget(m)
}

// drain asks the target to leave; it returns when the store knows.
func (m *member) drain(client *http.Client) error { return m.order(client, "/drain", nil) }

func (f *fleet) illTarget(ctx context.Context, m *member, fault Fault) error {
	mode := ill
	if fault.Kind == SlowTarget {
		mode = usertarget.Mode{Slowdown: slower}
	}
	if !m.replacing.TryLock() {
		return nil
	}
	defer m.replacing.Unlock()
	if err := m.setMode(f.client, mode); err != nil {
		return err
	}
	wait.Sleep(ctx, fault.For)
	return m.setMode(f.client, usertarget.Mode{})
}

// illService changes the targets of a service that aren't being exchanged.
func (f *fleet) illService(ctx context.Context, service string, length time.Duration) error {
	var held []*member
	defer func() {
		for _, m := range held {
			m.replacing.Unlock()
		}
	}()
	for _, m := range f.vms {
		if m.service != service || !m.replacing.TryLock() {
			continue
		}
		held = append(held, m)
		if err := m.setMode(f.client, overloaded); err != nil {
			return err
		}
	}
	wait.Sleep(ctx, length)
	for _, m := range held {
		if err := m.setMode(f.client, usertarget.Mode{}); err != nil {
			return err
		}
	}
	return nil
}

func (m *member) harmLink(ctx context.Context, fault Fault) {
	relay := m.relays[fault.Side]
	switch fault.Kind {
	case DelayLink:
		relay.SetHarm(Harm{Delay: linkDelay})
	case ResetLink:
		relay.SetHarm(Harm{Refuse: true})
		relay.Reset()
	case OneWayLink:
		relay.SetHarm(Harm{HoldBack: true})
	case SilentLink:
		relay.SetHarm(Harm{HoldForward: true, HoldBack: true})
	}
	wait.Sleep(ctx, fault.For)
	relay.SetHarm(Harm{})
}
