package process

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/standin/userfiles"
)

// Guards against a request whose end is not certain, or what follows it, that runs; at the listeners of
// both kinds of nodes.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	t.Parallel()
	fleet, targets := newSidecarFleet(t, 2)
	contracts := newFleet(t, spec{"a-tally", "a-1", "a", "tally"})
	contracts.publish(crowdContracts())
	contracts.waitVersion()
	ran := ranOf(targets)
	fields := fmt.Sprintf("Host: %s\r\nAuthorization: Bearer modest\r\n", userfiles.Host)
	const coded = "Transfer-Encoding: chunked\r\n"
	for _, listener := range []struct{ desc, address, method, path, fields string }{
		{"callers", fleet.vms[0].address(portCallers), "POST", "/once/x", fields},
		{"nodes", fleet.vms[0].address(portPeers), "POST", "/once/x", fields + "Tamarack-Terms: attempt-1;once;0;1000;1000;0;0;0;1000;0.00;0\r\n"},
		{"readiness", fleet.vms[0].address(portReady), "GET", "/ready", fields},
		{"metrics", fleet.vms[0].address(portMetrics), "GET", "/metrics", fields},
		{"callers with contracts", contracts.nodes["a-tally"].callers, "GET", "/tallies/x", fields},
	} {
		follows := "0\r\n\r\n" + listener.method + " " + listener.path + " HTTP/1.1\r\n" + listener.fields + "Content-Length: 0\r\n\r\n"
		for _, form := range []string{
			listener.method + " " + listener.path + " HTTP/1.0\r\nConnection: keep-alive\r\n" + coded + listener.fields + "\r\n",
			listener.method + " " + listener.path + " HTTP/1.1\r\nContent-Length: 4\r\n" + coded + listener.fields + "\r\n",
		} {
			conn, err := net.Dial("tcp", listener.address)
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			_, err = io.WriteString(conn, form+follows)
			assert.NilError(t, err)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err, listener.desc)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusBadRequest, listener.desc)
			assert.Equal(t, response.Header.Get(callhttp.HeaderOutcome), callhttp.OutcomeDidNotRun)
			_, err = reader.ReadByte()
			assert.Assert(t, errors.Is(err, io.EOF), "%s: %v", listener.desc, err)
		}
	}
	assert.Equal(t, ranOf(targets), ran)
	for _, vm := range fleet.vms {
		assert.Equal(t, vm.call(t, http.MethodPost, "/once/x", "certificate").StatusCode, http.StatusOK)
	}
	contracts.assertOrdinaryRequest(t, "a-tally")
}
