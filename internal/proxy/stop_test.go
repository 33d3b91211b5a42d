package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
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
