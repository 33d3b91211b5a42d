package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/link"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
	"tamarackquay/internal/shutdown"
)

// downloadTimeout is the timeout of the route "/download/" of newDownloadFleet.
const downloadTimeout = 8 * time.Second

// newDownloadFleet returns a fleet with an additional route "/download/" whose responses
// are large.
func newDownloadFleet(t *testing.T, count int) *fleet {
	f := newFleet(t, count)
	config := *f.table.Config
	route := testRoute("/download/", mesh.Download)
	route.Timeout = downloadTimeout
	config.Routes = append(config.Routes[:len(config.Routes):len(config.Routes)], route)
	f.table = mesh.NewTable(&config)
	for _, p := range f.proxies {
		snapshot := *p.snapshot.Load()
		snapshot.Table = f.table
		p.SetSnapshot(&snapshot)
	}
	return f
}

// Guards against a stopping entry node that accepts a download which may take longer than
// the process still runs: its response waited for the full link of the target's VM, and
// the connection was closed without a response. Callers may still arrive at this time,
// and small requests are served.
func TestStoppingEntryNodeRefusesDownloadItMayNotFinish(t *testing.T) {
	f := newDownloadFleet(t, 2)
	f.proxies[0].Stop(time.Now().Add(downloadTimeout / 2))
	w := f.send(0, "GET", "/download/x", "")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get(callhttp.HeaderReason), string(port.ReasonStopping))
	assert.Equal(t, w.Header().Get("Connection"), "close")
	assert.Assert(t, w.Header().Get("Retry-After") != "")
	assert.Equal(t, f.totalArrivals(), 0)
	assert.Equal(t, f.send(0, "GET", "/idempotent/x", "").Code, http.StatusOK)
}

// The same download is served if downloads usually take less time than the process has left.
func TestStoppingEntryNodeServesDownloadItUsuallyFinishes(t *testing.T) {
	f := newDownloadFleet(t, 1)
	for range 100 {
		f.proxies[0].completions.observeEntry(time.Now(), "/download/", time.Second)
	}
	f.proxies[0].Stop(time.Now().Add(downloadTimeout / 2))
	assert.Equal(t, f.send(0, "GET", "/download/x", "").Code, http.StatusOK)
}

// Guards against a node that counts refusals as quick requests, by which it would accept
// requests that it can't finish.
func TestOnlyRequestsThatRanAreObserved(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t0"].RecordFailure(time.Now())
	for range 50 {
		assert.Equal(t, f.send(0, "GET", "/idempotent/x", "").Code, http.StatusOK)
	}
	for _, target := range f.targets {
		target.serve = shedHandler("4,0,4")
	}
	for range 50 {
		assert.Equal(t, f.send(0, "POST", "/once/x", "").Code, http.StatusServiceUnavailable)
	}
	_, observed := f.proxies[0].completions.entry.High("/idempotent/")
	assert.Assert(t, observed >= 20)
	_, observed = f.proxies[0].completions.entry.High("/once/")
	assert.Equal(t, observed, 0)
	_, observed = f.proxies[1].completions.owner.High("/idempotent/")
	assert.Assert(t, observed >= 20)
}

// Guards against broken responses that count as quick ones, and against state for each route
// that other nodes name.
func TestBrokenAndUnknownRequestsAreNotObserved(t *testing.T) {
	p := newDownloadFleet(t, 1).proxies[0]
	route := testRoute("/download/", mesh.Download)
	now := time.Now()
	for range 50 {
		p.recordCompletion(&forwarder{route: &route, began: now, deadline: now.Add(time.Minute)}, false)
		p.recordOwnerCompletion(&attemptMeta{route: route.Name, budget: time.Minute}, now, false)
		p.recordOwnerCompletion(&attemptMeta{route: "unknown"}, now, true)
	}
	for _, times := range []*shutdown.Times{&p.completions.entry, &p.completions.owner} {
		for _, name := range []string{route.Name, "unknown"} {
			_, observed := times.High(name)
			assert.Equal(t, observed, 0, name)
		}
	}
	for range 50 {
		p.recordCompletion(&forwarder{route: &route, began: now.Add(-time.Minute), deadline: now}, false)
		p.recordOwnerCompletion(&attemptMeta{route: route.Name}, now.Add(-time.Minute), false)
	}
	for _, times := range []*shutdown.Times{&p.completions.entry, &p.completions.owner} {
		high, observed := times.High(route.Name)
		assert.Assert(t, observed >= 50 && high >= time.Minute, "a timeout counts")
	}
}

// The owner node of the preferred target stops. It must refuse a download if the responses
// that wait for its link fill the time that it has left, although downloads are usually
// quick, and the download runs at another target.
func TestStoppingOwnerNodeCountsItsLinkBacklog(t *testing.T) {
	for _, test := range []struct {
		desc    string
		backlog int
		want    string
	}{
		{"free link", 0, "t1 ran /download/x "},
		{"full link", 5e6, "t0 ran /download/x "},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newDownloadFleet(t, 2)
			owner := f.proxies[1]
			owner.link = link.NewPacer(1e6)
			for range 100 {
				owner.completions.observeOwner(time.Now(), "/download/", 100*time.Millisecond)
			}
			owner.countUnpaced(test.backlog)
			owner.Stop(time.Now().Add(downloadTimeout / 2))
			f.proxies[0].stats["t0"].RecordFailure(time.Now())
			assert.Equal(t, f.send(0, "GET", "/download/x", "").Body.String(), test.want)
			assert.Equal(t, f.totalArrivals(), 1)
		})
	}
}

// Guards against a stopping node that counts as idle, and ends, while a response waits for
// its link: the request at the target is over by then.
func TestWaitingTransferKeepsTheNodeInFlight(t *testing.T) {
	f := newDownloadFleet(t, 2)
	owner := f.proxies[1]
	owner.link = link.NewPacer(10e6)
	f.targets[1].serve = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "proof")
		_, _ = w.Write(make([]byte, 2*link.LargeSize))
	}
	for range link.MaxConcurrent {
		assert.NilError(t, owner.awaitTransfer(t.Context(), &link.Transfer{}))
	}
	f.proxies[0].stats["t0"].RecordFailure(time.Now())
	served := make(chan int)
	go func() { served <- f.send(0, "GET", "/download/x", "").Body.Len() }()
	for {
		owner.mu.Lock()
		waiting := len(owner.transferReady)
		owner.mu.Unlock()
		if waiting > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, owner.InFlight(), int64(1))
	owner.endTransfer()
	assert.Equal(t, <-served, 2*link.LargeSize)
}
