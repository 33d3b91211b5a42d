package callerhttp

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
)

// entryFunc reads the whole body, as forwarding it does, and answers.
type entryFunc func(r *http.Request, body []byte, err error)

func (f entryFunc) ServeCaller(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	f(r, body, err)
	if err != nil {
		callhttp.WriteError(w, &port.UnknownOutcome{Stage: "body", Cause: err})
	}
}

// send starts the callers' listener and sends the raw text.
func send(t *testing.T, entry Entry, raw string) (*http.Response, callhttp.Outcome) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(entry, Limits{HeaderBytes: 4 << 10, BodyBytes: 1 << 10})
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	connection, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer connection.Close()
	go io.WriteString(connection, raw)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	var outcome callhttp.Outcome
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	_ = json.Unmarshal(content, &outcome)
	return response, outcome
}

// Each request is measured against the limit; that must cost no allocation.
func TestMeasuringHeadersAllocatesNothing(t *testing.T) {
	request := httptest.NewRequest(http.MethodGet, "/tallies/1", nil)
	request.Header.Set("Authorization", "Bearer x")
	assert.Equal(t, testing.AllocsPerRun(100, func() { callhttp.HeaderBytes(request) }), 0.0)
}

// A caller that sends too much is told what was too large and, where that is
// so, that nothing ran; the process goes on. Past twice the limit, headers are
// not even read.
func TestOversizedRequestsAreTold(t *testing.T) {
	header := func(bytes int) string { return "X-Large: " + strings.Repeat("a", bytes) + "\r\n" }
	chunk := strings.Repeat("b", 2<<10)
	for _, test := range []struct {
		desc, raw string
		status    int
		reason    port.Reason
		served    bool
	}{
		{"fits", "GET / HTTP/1.1\r\nHost: x\r\n" + header(3<<10) + "\r\n", http.StatusOK, "", true},
		{"headers over the limit", "GET / HTTP/1.1\r\nHost: x\r\n" + header(5<<10) + "\r\n",
			http.StatusRequestHeaderFieldsTooLarge, port.ReasonHeaderTooLarge, false},
		{"path over the limit", "GET /" + strings.Repeat("p", 5<<10) + " HTTP/1.1\r\nHost: x\r\n\r\n",
			http.StatusRequestHeaderFieldsTooLarge, port.ReasonHeaderTooLarge, false},
		{"headers far over the limit", "GET / HTTP/1.1\r\nHost: x\r\n" + header(64<<10) + "\r\n",
			http.StatusRequestHeaderFieldsTooLarge, "", false},
		{"body over the limit, length told", fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(chunk), chunk),
			http.StatusRequestEntityTooLarge, port.ReasonBodyTooLarge, false},
		{"body over the limit, length not told",
			fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(chunk), chunk),
			http.StatusBadGateway, "", true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			served := false
			response, outcome := send(t, entryFunc(func(*http.Request, []byte, error) { served = true }), test.raw)
			assert.Equal(t, response.StatusCode, test.status)
			assert.Equal(t, outcome.Reason, test.reason)
			assert.Equal(t, served, test.served)
			if test.reason != "" {
				assert.Equal(t, outcome.Outcome, callhttp.OutcomeDidNotRun)
			}
			if test.served && test.status != http.StatusOK {
				assert.Equal(t, outcome.Outcome, callhttp.OutcomeUnknown)
			}
		})
	}
}
