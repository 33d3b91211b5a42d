package process

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/feedws"
	"tamarackquay/internal/proxy"
	"tamarackquay/standin/usertarget"
)

// Guards against callers' requests that end at the nodes' own interface, because their paths are those
// of calls between nodes.
func TestCallersPathsDontMeetCallsBetweenNodes(t *testing.T) {
	t.Parallel()
	f := newEmptySidecarFleet(t)
	beside, other := f.addVM(), f.addVM()
	target := beside.startTarget("i-0", time.Now())
	for _, vm := range f.vms {
		vm.startNode()
	}
	for _, vm := range f.vms {
		vm.waitReady()
	}
	for _, path := range []string{feedws.Path, proxy.PingPath, "/once" + feedws.Path, "/peer/call/x"} {
		for _, vm := range []*sidecarVM{beside, other} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				before := target.ranSince(0)
				response := vm.call(t, method, path, "")
				assert.Check(t, response.StatusCode == http.StatusOK, "%s %s at %s: answered %d", method, path, vm.name, response.StatusCode)
				assert.Check(t, response.Header.Get(usertarget.HeaderSignature) != "", "%s %s at %s", method, path, vm.name)
				assert.Check(t, target.ranSince(0) > before, "%s %s at %s: not run", method, path, vm.name)
			}
		}
	}
}
