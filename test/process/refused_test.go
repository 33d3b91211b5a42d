package process

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/standin/usertarget"
)

// Guards against a promise that a request hasn't run, given for one that has: a target ends a run
// with a status that makes that promise, without saying that it didn't run the request.
func TestUnmarkedTargetStatusIsNotPromised(t *testing.T) {
	fleet, targets := newSidecarFleet(t, 2)
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		for _, target := range targets {
			target.server.SetMode(usertarget.Mode{FailureRate: 1, FailureStatus: status})
		}
		for _, vm := range fleet.vms {
			for range 4 {
				desc := fmt.Sprintf("%d at %s", status, vm.name)
				before := ranOf(targets)
				response := vm.call(t, http.MethodPost, "/once/x", "certificate")
				assert.Equal(t, ranOf(targets)-before, 1, desc)
				assert.Check(t, response.StatusCode == http.StatusBadGateway, "%s: answered %d", desc, response.StatusCode)
				assert.Check(t, response.Header.Get(usertarget.HeaderSignature) == "", desc)
				// The users' pages ask for unchanged statuses; this promise is of no use to a request
				// that may run again.
				assert.Check(t, vm.call(t, http.MethodGet, "/x", "").StatusCode == status, desc)
			}
		}
	}
}

func ranOf(targets []*sidecarTarget) int {
	ran := 0
	for _, target := range targets {
		ran += target.ranSince(0)
	}
	return ran
}

// call sends a request to the VM's node and reads the response.
func (v *sidecarVM) call(t *testing.T, method, path, body string) *http.Response {
	t.Helper()
	response, err := http.DefaultClient.Do(v.newRequest(method, path, strings.NewReader(body)))
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response
}

// Guards against a success that no target gave, for a caller that closes its sending side and reads on:
// the node takes that for the end of the caller, as TCP shows no difference.
func TestCallerThatClosesItsSendingSideGetsNoSuccess(t *testing.T) {
	fleet, targets := newSidecarFleet(t, 2)
	for _, target := range targets {
		target.server.SetMode(usertarget.Mode{Slowdown: 40})
	}
	for _, vm := range fleet.vms {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			conn, err := net.Dial("tcp", vm.address(portCallers))
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			request := vm.newRequest(method, "/once/x", strings.NewReader("certificate"))
			assert.NilError(t, request.Write(conn))
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			response, err := http.ReadResponse(bufio.NewReader(conn), request)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Check(t, response.StatusCode == http.StatusBadGateway, "%s at %s: answered %d", method, vm.name, response.StatusCode)
		}
	}
}
