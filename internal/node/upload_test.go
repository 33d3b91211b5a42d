package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/targethttp"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// earlyTarget starts a target that responds before it reads the request's body, and reads on. It
// returns its address, and each body with the error at its end.
func earlyTarget(t *testing.T, status, length int) (string, <-chan earlyRead) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	reads := make(chan earlyRead, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			reads <- earlyRead{err: err}
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Early\r\nContent-Length: %d\r\n\r\n%s", status, length, make([]byte, length))
		body, err := io.ReadAll(request.Body)
		reads <- earlyRead{body, err}
	}()
	return listener.Addr().String(), reads
}

type earlyRead struct {
	body []byte
	err  error
}

// upload sends a body slowly and returns the status of the response.
func upload(t *testing.T, address string, body []byte) int {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = fmt.Fprintf(conn, "POST /returns HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer token\r\nContent-Length: %d\r\n\r\n", len(body))
	assert.NilError(t, err)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for piece := range bytes.Lines(body) {
			if _, err := conn.Write(piece); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	<-sent
	return response.StatusCode
}

// lines returns numbered lines of some kilobytes each.
func lines(count int) []byte {
	var b []byte
	for i := range count {
		for j := range 500 {
			b = binary.BigEndian.AppendUint64(b, uint64(1+i*500+j)<<32)
		}
		b = append(b, '\n')
	}
	return b
}

// A target responds before it has read a long body, and reads on. Guards against other bytes in
// the place of the rest of the body, at the node that sends to the target and at the one before.
func TestEarlyResponseLeavesUploadIntact(t *testing.T) {
	serveEntry := func(n *Node, target *targethttp.Target) http.HandlerFunc {
		n.ports.Forward = &fakeOwners{respond: func(ctx context.Context, _ int, _ membership.VM, call *port.Call) (*port.Response, error) {
			return target.Do(ctx, call)
		}}
		return n.ServeCaller
	}
	serveOwner := func(n *Node, target *targethttp.Target) http.HandlerFunc {
		n.config.Self.Service = "tally"
		n.ports.Target = target
		n.gate.Configure(newTerms(n.current.Load(), n.config))
		return func(w http.ResponseWriter, r *http.Request) {
			n.ServeForwarded(w, r, &port.Call{
				ID: "id", Customer: "co-operative", Service: "tally", Route: "returns", Method: r.Method, Target: "/returns", Header: http.Header{},
				StallTimeout: time.Second, Deadline: time.Now().Add(5 * time.Second), Body: r.Body, ContentLength: r.ContentLength,
			})
		}
	}
	for _, test := range []struct {
		desc           string
		handler        func(*Node, *targethttp.Target) http.HandlerFunc
		status, length int
	}{
		{"entry, success", serveEntry, http.StatusOK, 100},
		{"entry, large success", serveEntry, http.StatusOK, 1 << 20},
		{"entry, failure", serveEntry, http.StatusRequestEntityTooLarge, 100},
		{"owner, success", serveOwner, http.StatusOK, 100},
		{"owner, large success", serveOwner, http.StatusOK, 1 << 20},
		{"owner, failure", serveOwner, http.StatusRequestEntityTooLarge, 100},
	} {
		t.Run(test.desc, func(t *testing.T) {
			address, reads := earlyTarget(t, test.status, test.length)
			target := targethttp.New(address, 4)
			defer target.Close()
			server := httptest.NewUnstartedServer(test.handler(newEntry(t, nil), target))
			server.Config.ConnContext = callhttp.ConnContext
			server.Start()
			defer server.Close()
			body := lines(50)
			assert.Equal(t, upload(t, server.Listener.Addr().String(), body), test.status)
			select {
			case read := <-reads:
				assert.Assert(t, bytes.HasPrefix(body, read.body), "other bytes within %d (end: %v)", len(read.body), read.err)
				assert.Assert(t, read.err != nil || len(read.body) == len(body))
			case <-time.After(10 * time.Second):
				t.Fatal("the target still reads")
			}
		})
	}
}
