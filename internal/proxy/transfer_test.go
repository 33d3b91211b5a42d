package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/link"
)

// assertIdleLink asserts that nothing is left of the responses that a node had to send.
func assertIdleLink(t *testing.T, p *Proxy) {
	t.Helper()
	expected, waiting, sending := p.Transfers()
	assert.Equal(t, [3]int{expected, waiting, sending}, [3]int{})
	assert.Equal(t, len(p.transferReady), 0)
}

// Downloads end in every way at their owner node: the target crashes, sheds, or answers with
// less than expected. Guards against transfers that are never removed: they would be counted
// as ahead of others for ever.
func TestFailedDownloadsLeaveTheLink(t *testing.T) {
	for _, test := range []struct {
		desc  string
		serve func(http.ResponseWriter, *http.Request)
	}{
		{"crashes", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"sheds", shedHandler("4,0,4")},
		{"answers with a small response", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headers.Signature, "proof") }},
		{"answers with a response too large to buffer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headers.Signature, "proof")
			_, _ = w.Write(make([]byte, 2*maxBuffered))
		}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newDownloadFleet(t, 2)
			owner := f.proxies[1]
			owner.link = link.NewPacer(100e6)
			f.proxies[0].stats["t0"].RecordFailure(time.Now())
			f.targets[1].serve = test.serve
			// The link is busy, so that admitted responses are counted.
			owner.countUnpaced(3e6)
			assert.Equal(t, f.send(0, "GET", "/download/x", "").Code, http.StatusOK)
			assert.Equal(t, f.targets[1].arrived.Load(), int32(1))
			for owner.InFlight() > 0 {
				time.Sleep(time.Millisecond)
			}
			assertIdleLink(t, owner)
		})
	}
}

// Entry nodes disconnect while responses to them wait for the link. Their responses must be
// dropped, and the slots must stay usable.
func TestDisconnectedReceiversLeaveTheLink(t *testing.T) {
	p := newFleet(t, 1).proxies[0]
	p.link = link.NewPacer(100e6)
	for range link.MaxConcurrent {
		assert.NilError(t, p.awaitTransfer(t.Context(), &link.Transfer{}))
	}
	ctx, disconnect := context.WithCancel(t.Context())
	var ended sync.WaitGroup
	const waiting = 5
	results := make(chan error, waiting)
	for range waiting {
		ended.Go(func() {
			transfer := &link.Transfer{Deadline: time.Now().Add(time.Minute)}
			results <- p.sendResponse(ctx, httptest.NewRecorder(), largeResponse(link.LargeSize), transfer)
		})
	}
	disconnect()
	for range link.MaxConcurrent {
		p.endTransfer()
	}
	ended.Wait()
	close(results)
	for err := range results {
		assert.Assert(t, err == nil || errors.Is(err, context.Canceled), "%v", err)
	}
	assertIdleLink(t, p)
}
