package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/wait"
	"tamarackquay/standin/target"
	"tamarackquay/standin/userstore"
	"tamarackquay/standin/usertarget"
)

// Parameters of departures beside other faults.
const (
	// maxKillDelay is how long after a change the nodes are killed at most, and maxChanges the
	// number of changes until they are started again.
	maxKillDelay = 50 * time.Millisecond
	maxChanges   = 3
	// lateWriteDelay is how long after a target began to drain an earlier write is carried out.
	lateWriteDelay = 2400 * time.Millisecond
	// clockStep is how far the clock of a restarted target lies behind.
	clockStep = 1500 * time.Millisecond
	// upTime is how long each of the two processes of such a target is ready.
	upTime = 800 * time.Millisecond
)

// departTarget lets a target leave beside another fault, as the kind of the fault says, and serve on
// for the fault's duration. Then it ends, and another instance starts. It does nothing if the target
// is already being replaced or degraded.
func (f *fleet) departTarget(ctx context.Context, m *machine, fault Fault, event *Event) error {
	if !m.targetRestart.TryLock() {
		return nil
	}
	defer m.targetRestart.Unlock()
	depart := map[Kind]func(context.Context, *machine, Fault) error{
		DepartInRestart: f.departInRestart, LateWrite: f.drainBeforeLateWrite, ClockBehind: f.drainBehindClock,
	}[fault.Kind]
	if err := depart(ctx, m, fault); err != nil {
		return err
	}
	wait.Sleep(ctx, fault.Duration)
	event.Instance = m.instance
	_, running := m.processes()
	running.end()
	if err := f.postToStore(userstore.PathDelete, url.Values{"key": {usertarget.Key(m.instance)}}, nil); err != nil {
		return err
	}
	return f.startTarget(m)
}

// recordDeparture records that a target has left. The bound starts when the store has recorded it,
// which is before this moment.
func (f *fleet) recordDeparture(m *machine, begin time.Duration) {
	f.recordEvent(Event{Kind: DrainTarget, VM: m.number, Begin: begin, End: target.SinceBoot(), Instance: m.instance})
}

// departInRestart publishes a version, kills the nodes of all other VMs, removes the target's entry
// and publishes further versions before they are started again.
func (f *fleet) departInRestart(ctx context.Context, m *machine, fault Fault) error {
	random := rand.New(rand.NewPCG(uint64(fault.At), 6))
	var others []*machine
	for _, other := range f.vms {
		if other != m && other.nodeRestart.TryLock() {
			defer other.nodeRestart.Unlock()
			others = append(others, other)
		}
	}
	if err := f.publish(); err != nil {
		return err
	}
	wait.Sleep(ctx, time.Duration(random.Int64N(int64(maxKillDelay))))
	begin := target.SinceBoot()
	for _, other := range others {
		node, _ := other.processes()
		node.signal(syscall.SIGKILL)
	}
	changes := 1 + random.IntN(maxChanges)
	pause := restartDelay / time.Duration(changes+1)
	for change := range changes {
		wait.Sleep(ctx, pause)
		if change > 0 {
			if err := f.publish(); err != nil {
				return err
			}
			continue
		}
		removed := target.SinceBoot()
		if err := m.postControl(f.client, "/remove", nil); err != nil {
			return err
		}
		f.recordDeparture(m, removed)
	}
	wait.Sleep(ctx, pause)
	for _, other := range others {
		node, _ := other.processes()
		node.end()
		if err := f.startNode(other); err != nil {
			return err
		}
		f.recordEvent(Event{Kind: KillNode, VM: other.number, Begin: begin, End: target.SinceBoot()})
	}
	return nil
}

// drainBeforeLateWrite drains the target, and writes its entry of before.
func (f *fleet) drainBeforeLateWrite(ctx context.Context, m *machine, _ Fault) error {
	entry, err := f.entry(m.instance)
	if err != nil || entry == nil {
		return err
	}
	if err := f.drainQuietly(m); err != nil {
		return err
	}
	wait.Sleep(ctx, lateWriteDelay)
	return f.postToStore(userstore.PathPut, url.Values{"key": {usertarget.Key(m.instance)}}, entry)
}

// drainBehindClock starts another instance, restarts it under its name with its clock behind, and
// drains it.
func (f *fleet) drainBehindClock(ctx context.Context, m *machine, _ Fault) error {
	killed := target.SinceBoot()
	_, running := m.processes()
	running.end()
	if err := f.startTarget(m); err != nil {
		return err
	}
	wait.Sleep(ctx, upTime)
	_, running = m.processes()
	running.end()
	if err := f.startInstance(m, m.instance, clockStep); err != nil {
		return err
	}
	f.recordEvent(Event{Kind: KillTarget, VM: m.number, Begin: killed, End: target.SinceBoot(), Instance: m.instance})
	wait.Sleep(ctx, upTime)
	return f.drainQuietly(m)
}

// drainQuietly drains the target, which doesn't say so in its responses.
func (f *fleet) drainQuietly(m *machine) error {
	begin := target.SinceBoot()
	if err := m.postControl(f.client, "/drain?quiet", nil); err != nil {
		return err
	}
	f.recordDeparture(m, begin)
	return nil
}

// entry returns a target's entry in the store, or nil if it has none.
func (f *fleet) entry(instance string) ([]byte, error) {
	response, err := f.client.Get("http://" + f.storeAddress() + userstore.PathGet + "?" + url.Values{"key": {usertarget.Key(instance)}}.Encode())
	if err != nil {
		return nil, errors.Wrap(err, "read entry")
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, nil
	}
	value, err := io.ReadAll(response.Body)
	return value, errors.Wrap(err, "read entry")
}
