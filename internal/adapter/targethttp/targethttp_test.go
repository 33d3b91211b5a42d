package targethttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
)

func do(t *testing.T, address string) (*port.Response, error) {
	t.Helper()
	target := New(address, 10)
	t.Cleanup(func() { target.Close() })
	return target.Do(t.Context(), &port.Call{
		ID: "id", Method: http.MethodGet, Target: "/", Header: http.Header{}, Service: "s", Chain: []string{"a", "b"}, Deadline: time.Now().Add(time.Second),
	})
}

// Guards against a target that impersonates a node, and against wrong outcomes: a request
// counts as refused only if the target reports exactly that it did not run, and a response
// to another request makes the outcome unknown.
func TestTargetResponseOutcomes(t *testing.T) {
	cases := []struct {
		desc    string
		header  http.Header
		refused port.Reason
		unknown bool
	}{
		{"a response", http.Header{}, "", false},
		{"shed before running", http.Header{"Target-Shed": {"not-run"}, "Retry-After": {"3"}}, port.ReasonShed, false},
		{"unknown value of the shed header", http.Header{"Target-Shed": {"maybe"}}, "", false},
		{"a header reserved for nodes", http.Header{"Tamarack-Outcome": {"did-not-run"}}, "", false},
		{"the response to another request", http.Header{"Tamarack-Request-Id": {"other"}}, "", true},
		{"the response to this request", http.Header{"Tamarack-Request-Id": {"id"}}, "", false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			var got http.Header
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got = r.Header
				for name, values := range c.header {
					w.Header()[name] = values
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer server.Close()
			response, err := do(t, strings.TrimPrefix(server.URL, "http://"))
			var refusal *port.Refusal
			var unknown *port.UnknownOutcome
			assert.Equal(t, errors.As(err, &refusal), c.refused != "", "%v", err)
			assert.Equal(t, errors.As(err, &unknown), c.unknown, "%v", err)
			if err == nil {
				forwarded := http.Header{}
				callhttp.CopyHeader(forwarded, response.Header)
				assert.Equal(t, forwarded.Get(callhttp.HeaderOutcome), "")
				response.Body.Close()
			}
			assert.Equal(t, got.Get(callhttp.HeaderChain), "a,b,s")
			budget, err := callhttp.ParseMillis(got.Get(callhttp.HeaderBudget))
			assert.NilError(t, err)
			assert.Assert(t, budget > 500*time.Millisecond && budget <= time.Second)
		})
	}
}

// Guards against starting work that has no time left: a call whose deadline has passed, or
// whose remaining time is less than the unit of the budget header, never reaches the target.
func TestCallWithoutTimeLeftIsNotSent(t *testing.T) {
	var arrived atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	target := New(strings.TrimPrefix(server.URL, "http://"), 10)
	defer target.Close()
	call := func(left time.Duration) error {
		response, err := target.Do(t.Context(), &port.Call{ID: "id", Method: http.MethodGet, Target: "/", Header: http.Header{}, Deadline: time.Now().Add(left)})
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	// This call leaves an open connection, so that the others could be sent at once.
	assert.NilError(t, call(time.Minute))
	for range 20 {
		for _, left := range []time.Duration{-time.Second, minBudget - 1} {
			var refusal *port.Refusal
			assert.Assert(t, errors.As(call(left), &refusal))
			assert.Equal(t, refusal.Reason, port.ReasonDeadline)
		}
	}
	assert.Equal(t, arrived.Load(), int32(1))
}

// Guards against an incomplete response that looks complete. A target responds without a
// length and is killed in the middle. The end of its connection looks like the end of the
// body, so such a response must never be forwarded.
func TestResponseWithoutLengthIsNotForwarded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
	}()
	_, err = do(t, listener.Addr().String())
	var unknown *port.UnknownOutcome
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
}
