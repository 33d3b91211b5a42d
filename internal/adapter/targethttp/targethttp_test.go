package targethttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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

// What a target says of a request is believed where its protocol promises it,
// and nowhere else: a target can't pass for a node.
func TestWhatTargetsSay(t *testing.T) {
	cases := []struct {
		desc    string
		header  http.Header
		refused port.Reason
		unknown bool
	}{
		{"an answer", http.Header{}, "", false},
		{"shed before running", http.Header{"Target-Shed": {"not-run"}, "Retry-After": {"3"}}, port.ReasonShed, false},
		{"shed in other words", http.Header{"Target-Shed": {"maybe"}}, "", false},
		{"the mark of a node", http.Header{"Tamarack-Outcome": {"did-not-run"}}, "", false},
		{"the answer to another request", http.Header{"Tamarack-Request-Id": {"other"}}, "", true},
		{"the answer to this request", http.Header{"Tamarack-Request-Id": {"id"}}, "", false},
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
			answer, err := do(t, strings.TrimPrefix(server.URL, "http://"))
			var refusal *port.Refusal
			var unknown *port.UnknownOutcome
			assert.Equal(t, errors.As(err, &refusal), c.refused != "", "%v", err)
			assert.Equal(t, errors.As(err, &unknown), c.unknown, "%v", err)
			if err == nil {
				passed := http.Header{}
				callhttp.CopyHeader(passed, answer.Header)
				assert.Equal(t, passed.Get(callhttp.HeaderOutcome), "")
				answer.Body.Close()
			}
			assert.Equal(t, got.Get(callhttp.HeaderChain), "a,b,s")
			left, err := callhttp.ParseMillis(got.Get(callhttp.HeaderBudget))
			assert.NilError(t, err)
			assert.Assert(t, left > 500*time.Millisecond && left <= time.Second)
		})
	}
}

// A target answers without a length and is killed in the middle. The end of its
// connection looks like the end of the body, so such an answer is never passed
// on as whole.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
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
