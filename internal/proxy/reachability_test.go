package proxy

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/mesh"
)

// makeUnreachable moves a target to an address that doesn't answer.
func (f *fleet) makeUnreachable(t *testing.T, node int) {
	t.Helper()
	for _, p := range f.proxies {
		snapshot := *p.snapshot.Load()
		members := append([]*mesh.Member(nil), snapshot.Services["s"]...)
		unreachable := *members[node]
		// Every loopback address answers; a listener with a full backlog doesn't.
		unreachable.Address = unresponsiveAddress(t, p.config.PeerPort)
		members[node] = &unreachable
		snapshot.Services = map[string][]*mesh.Member{"s": members}
		p.SetSnapshot(&snapshot)
	}
}

// A network partition disconnects a VM while the platform still lists its target. Only
// one request detects that. All others go to another target immediately, since only a
// background probe checks whether the VM is back.
func TestOneRequestDetectsUnreachableVM(t *testing.T) {
	f := newFleet(t, 2)
	f.makeUnreachable(t, 1)
	p := f.proxies[0]
	p.stats["t0"].RecordFailure(time.Now())
	const requests = 10
	for range requests {
		assert.Equal(t, f.send(0, "GET", "/idempotent/x", "").Body.String(), "t0 ran /idempotent/x ")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, len(p.reachability.unreachable), 1)
	assert.Assert(t, time.Now().Before(p.reachability.pingUntil))
}

// One VM was found unreachable. A non-idempotent request is sent to another node only
// after a successful ping: if it were written to a connection that is not read, its
// outcome would be unknown, and the caller could not retry it.
func TestNonIdempotentRequestRequiresPing(t *testing.T) {
	f := newFleet(t, 2)
	f.makeUnreachable(t, 1)
	p := f.proxies[0]
	p.stats["t0"].RecordFailure(time.Now())
	p.reachability.pingUntil = time.Now().Add(time.Minute)
	assert.Equal(t, f.send(0, "POST", "/once/x", "filing").Body.String(), "t0 ran /once/x filing")
}

// A VM that was unreachable answers again. The probe detects it, and its target gets
// requests.
func TestReachableVMIsUsedAgain(t *testing.T) {
	f := newFleet(t, 2)
	p := f.proxies[0]
	p.stats["t0"].RecordFailure(time.Now())
	p.markUnreachable(p.peerAddress(p.snapshot.Load().Services["s"][1]))
	assert.Equal(t, f.send(0, "GET", "/idempotent/x", "").Body.String(), "t0 ran /idempotent/x ")
	deadline := time.Now().Add(10 * time.Second)
	for f.targets[1].arrived.Load() == 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
		f.send(0, "GET", "/idempotent/x", "")
	}
	assert.Assert(t, f.targets[1].arrived.Load() > 0)
}

// A target is full of new requests when a call arrives that another target makes for a
// request that it is working on. The call must get the next slot. Both routes allow long
// waits, so that no request expires in the queue.
func TestInnerCallsPrecedeNewRequests(t *testing.T) {
	f := newFleet(t, 1)
	call, request := testRoute("/call/", mesh.Idempotent), testRoute("/idempotent/", mesh.Idempotent)
	call.TargetLatency, call.Timeout = 5*time.Second, 20*time.Second
	request.TargetLatency, request.Timeout = 4*call.TargetLatency, 4*call.Timeout
	f.withRoutes(0, &mesh.Config{Version: 2, Routes: []mesh.Route{call, request}})
	order := make(chan string, testSlots+3)
	release := make(chan struct{})
	f.targets[0].serve = func(w http.ResponseWriter, r *http.Request) {
		order <- r.URL.Path
		<-release
		f.targets[0].respond(w, r)
	}
	var callers sync.WaitGroup
	send := func(path string) { callers.Go(func() { f.send(0, "GET", path, "") }) }
	for range testSlots + 2 {
		send("/idempotent/x")
	}
	for range testSlots {
		assert.Equal(t, <-order, "/idempotent/x")
	}
	f.awaitWaiting(t, 0, 2)
	send("/call/x")
	f.awaitWaiting(t, 0, 3)
	release <- struct{}{}
	assert.Equal(t, <-order, "/call/x")
	close(release)
	callers.Wait()
}

// awaitWaiting waits until the given number of requests wait for a slot of a target.
func (f *fleet) awaitWaiting(t *testing.T, node, want int) {
	t.Helper()
	waitFor(t, fmt.Sprint(want, " waiting requests"), func() bool {
		_, waiting := f.proxies[node].gate.Counts()
		return waiting == want
	})
}
