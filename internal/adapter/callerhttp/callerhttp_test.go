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

// entryFunc is an Entry that reads the complete body, as forwarding does, and responds.
type entryFunc func(r *http.Request, body []byte, err error)

func (f entryFunc) ServeCaller(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	f(r, body, err)
	if err != nil {
		callhttp.WriteError(w, &port.UnknownOutcome{Stage: "body", Cause: err})
		return
	}
	w.WriteHeader(http.StatusOK)
}

// send starts a server, sends the raw text to it and returns the response and its outcome.
func send(t *testing.T, entry Entry, raw string) (*http.Response, callhttp.ErrorBody) {
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
	var outcome callhttp.ErrorBody
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	_ = json.Unmarshal(content, &outcome)
	return response, outcome
}

// The header size of every request is checked, so the check must not allocate.
func TestHeaderBytesAllocatesNothing(t *testing.T) {
	request := httptest.NewRequest(http.MethodGet, "/tallies/1", nil)
	request.Header.Set("Authorization", "Bearer x")
	assert.Equal(t, testing.AllocsPerRun(100, func() { callhttp.HeaderBytes(request) }), 0.0)
}

// Guards against a crash or a wrong response caused by an oversized request. The response
// must state which limit was exceeded and, if that is certain, that the request did not
// run. Headers over twice the limit are not read.
func TestOversizedRequestsAreRefused(t *testing.T) {
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
		{"body over the limit, length given", fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(chunk), chunk),
			http.StatusRequestEntityTooLarge, port.ReasonBodyTooLarge, false},
		{"body over the limit, length not given",
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
