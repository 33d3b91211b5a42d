package proxy

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/mesh"
)

// away makes the VM of a target one that nobody answers at: its packets go to an
// address that takes none.
func (f *fleet) away(t *testing.T, node int) {
	t.Helper()
	for _, p := range f.proxies {
		picture := *p.picture.Load()
		members := append([]*mesh.Member(nil), picture.Services["s"]...)
		gone := *members[node]
		// Loopback has no silent address: a listener with a full queue is one.
		gone.Address = silentAddress(t, p.config.PeerPort)
		members[node] = &gone
		picture.Services = map[string][]*mesh.Member{"s": members}
		p.SetPicture(&picture)
	}
}

// A partition takes a VM away and the platform goes on listing its target. One
// request finds that out; from then on the others go elsewhere at once, since
// only a probe in the background looks whether the VM is back.
func TestOneRequestFindsOutThatAVMIsAway(t *testing.T) {
	f := newFleet(t, 2)
	f.away(t, 1)
	p := f.proxies[0]
	p.stats["t0"].RecordFailure(time.Now())
	const asked = 10
	for range asked {
		assert.Equal(t, f.ask(0, "GET", "/idempotent/x", "").Body.String(), "t0 ran /idempotent/x ")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, len(p.reach.away), 1)
	assert.Assert(t, time.Now().Before(p.reach.waryUntil))
}

// One VM was found away. A filing is sent to another node only after a sign of
// life: written to a connection that nobody reads, its outcome would be unknown,
// and the member could not file it again.
func TestFilingIsNotSentIntoAPartition(t *testing.T) {
	f := newFleet(t, 2)
	f.away(t, 1)
	p := f.proxies[0]
	p.stats["t0"].RecordFailure(time.Now())
	p.reach.waryUntil = time.Now().Add(time.Minute)
	assert.Equal(t, f.ask(0, "POST", "/once/x", "filing").Body.String(), "t0 ran /once/x filing")
}

// A VM that was away answers again. The probe notices, and it gets requests.
func TestVMThatIsBackIsUsedAgain(t *testing.T) {
	f := newFleet(t, 2)
	p := f.proxies[0]
	p.stats["t0"].RecordFailure(time.Now())
	p.noteAway(p.peerAddress(p.picture.Load().Services["s"][1]))
	assert.Equal(t, f.ask(0, "GET", "/idempotent/x", "").Body.String(), "t0 ran /idempotent/x ")
	deadline := time.Now().Add(10 * time.Second)
	for f.targets[1].arrived.Load() == 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
		f.ask(0, "GET", "/idempotent/x", "")
	}
	assert.Assert(t, f.targets[1].arrived.Load() > 0)
}

// A target is full of new requests when a call comes that another target made
// for a request it already works on. The call gets the next slot.
func TestCallsGoBeforeNewRequests(t *testing.T) {
	f := newFleet(t, 1)
	call := testRoute("/call/", mesh.Idempotent)
	call.TargetLatency = 50 * time.Millisecond
	picture := *f.proxies[0].picture.Load()
	picture.Table = mesh.NewTable(&mesh.Config{Version: 2, Routes: append([]mesh.Route{call}, f.table.Config.Routes...)})
	f.proxies[0].SetPicture(&picture)
	var mu sync.Mutex
	var order []string
	release := make(chan struct{})
	f.targets[0].serve = func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		order = append(order, r.URL.Path)
		mu.Unlock()
		<-release
		f.targets[0].runs(w, r)
	}
	var asked sync.WaitGroup
	ask := func(path string) { asked.Go(func() { f.ask(0, "GET", path, "") }) }
	for range testSlots + 2 {
		ask("/idempotent/x")
	}
	time.Sleep(30 * time.Millisecond)
	ask("/call/x")
	time.Sleep(10 * time.Millisecond)
	release <- struct{}{}
	time.Sleep(10 * time.Millisecond)
	mu.Lock()
	assert.Equal(t, order[testSlots], "/call/x")
	mu.Unlock()
	close(release)
	asked.Wait()
}
