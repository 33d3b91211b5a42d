package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/link"
	"tamarackquay/internal/port"
)

// expectLarge makes the node expect large responses, although it has received small ones.
func expectLarge(p *Proxy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stats := range p.routeStats {
		stats.ResponseBytes = initialDownloadBytes
	}
}

// The link of the entry node's VM is full. A download must run at the target on the same VM,
// although another one is preferred otherwise, and must be refused without an attempt if no
// target there can run it.
func TestFullReceivingLinkPrefersTheOwnVM(t *testing.T) {
	f := newDownloadFleet(t, 2)
	p := f.proxies[0]
	p.config.LinkRate = 1e6
	p.inbound = link.NewInbound(1e6)
	p.stats["t0"].RecordFailure(time.Now())
	assert.Equal(t, f.send(0, "GET", "/download/x", "").Body.String(), "t1 ran /download/x ")
	_, ok := p.inbound.Begin(20e6, time.Minute)
	assert.Assert(t, ok)
	expectLarge(p)
	assert.Equal(t, f.send(0, "GET", "/download/y", "").Body.String(), "t0 ran /download/y ")
	expectLarge(p)
	p.stats["t0"].BackOff(time.Now())
	arrived := f.totalArrivals()
	w := f.send(0, "GET", "/download/z", "")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get(callhttp.HeaderReason), string(port.ReasonBusy))
	assert.Assert(t, w.Header().Get("Retry-After") != "")
	assert.Equal(t, f.totalArrivals(), arrived)
	p.inbound.End(20e6)
	assert.Equal(t, p.inbound.Time(initialDownloadBytes), link.NewInbound(1e6).Time(initialDownloadBytes))
}

// Guards against a node that counts downloads as on their way whose target was killed.
func TestFailedDownloadsLeaveTheReceivingLink(t *testing.T) {
	f := newDownloadFleet(t, 2)
	p := f.proxies[0]
	p.inbound = link.NewInbound(10e6)
	p.stats["t0"].RecordFailure(time.Now())
	f.targets[1].serve = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "proof")
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write(make([]byte, 50_000))
		panic(http.ErrAbortHandler)
	}
	assert.Equal(t, f.send(0, "GET", "/download/x", "").Body.String(), "t0 ran /download/x ")
	assert.Equal(t, f.targets[1].arrived.Load(), int32(1))
	// On a busy machine, another attempt may have begun beside a slow one, and end later.
	waitFor(t, "an unused link", func() bool {
		return p.ReceiveTime(initialDownloadBytes) == link.NewInbound(10e6).Time(initialDownloadBytes)
	})
}
