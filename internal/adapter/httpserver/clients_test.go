package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/membudget"
	"tamarackquay/internal/port"
)

// limitedServer is a server of few clients whose handler waits, if a request asks for it, until release
// is closed.
type limitedServer struct {
	*Server
	address string
	ended   atomic.Int32
	release chan struct{}
}

func startLimited(t *testing.T, limits ClientLimits) *limitedServer {
	t.Helper()
	s := &limitedServer{release: make(chan struct{})}
	s.Server = New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/wait":
			<-s.release
		case "/hijack":
			conn, _, err := http.NewResponseController(w).Hijack()
			assert.Check(t, err)
			_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\n\r\n")
			_, _ = io.Copy(conn, conn)
			return
		}
		_, _ = io.WriteString(w, "served")
	}), 64<<10)
	newClients := func(limits membudget.ClientLimits) *membudget.Clients {
		return membudget.NewClients(membudget.New(math.MaxInt64), &sync.Mutex{}, limits)
	}
	s.LimitClients(newClients, limits, func() { s.ended.Add(1) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = listener.Addr().String()
	go func() { _ = s.Run(listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// open opens a connection, sends text and returns a reader of what the server sends.
func (s *limitedServer) open(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	return conn, bufio.NewReader(conn)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func statusOf(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	if response.StatusCode != http.StatusOK {
		assert.Equal(t, response.Header.Get(callhttp.HeaderOutcome), callhttp.OutcomeDidNotRun)
		assert.Equal(t, response.Header.Get(callhttp.HeaderReason), string(port.ReasonMemory))
	}
	return response.StatusCode
}

// Guards against connections without requests that keep a server from others, and against a request that
// is broken off for a new connection.
func TestWaitingClientsMakeRoom(t *testing.T) {
	const conns = 4
	s := startLimited(t, ClientLimits{Conns: conns})
	_, busy := s.open(t, get("/wait"))
	kept, keptReader := s.open(t, get("/x"))
	assert.Equal(t, statusOf(t, keptReader), http.StatusOK)
	for range 3 * conns {
		_, reader := s.open(t, get("/x"))
		assert.Equal(t, statusOf(t, reader), http.StatusOK)
	}
	assert.Equal(t, statusOf(t, keptReader), http.StatusServiceUnavailable, "the connection that has been idle for longest ends")
	_, err := kept.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	close(s.release)
	assert.Equal(t, statusOf(t, busy), http.StatusOK)
	assert.Assert(t, s.ended.Load() > 0)
}

// Guards against a promise of another kind than "not run" for a connection that comes when all others are
// in use.
func TestConnectionWithoutRoomIsRefused(t *testing.T) {
	const conns = 4
	s := startLimited(t, ClientLimits{Conns: conns})
	var busy []*bufio.Reader
	for range conns {
		_, reader := s.open(t, get("/hijack"))
		_, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		busy = append(busy, reader)
	}
	_, refused := s.open(t, "")
	assert.Equal(t, statusOf(t, refused), http.StatusServiceUnavailable)
	assert.Equal(t, s.ended.Load(), int32(1))
	assert.Equal(t, len(busy), conns)
}

// Guards against headers that take more memory than their part, and against a header within the limits that
// is refused in calm, or counted after its request.
func TestHeadersAreCounted(t *testing.T) {
	lines := func(count int) string {
		var text strings.Builder
		for i := range count {
			fmt.Fprintf(&text, "x%d: y\r\n", i)
		}
		return text.String()
	}
	const headerBytes = 1 << 20
	s := startLimited(t, ClientLimits{Bytes: 2 * headerBytes})
	conn, reader := s.open(t, "")
	for range 20 {
		_, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: x\r\n"+lines(5000)+"\r\n")
		assert.NilError(t, err)
		assert.Equal(t, statusOf(t, reader), http.StatusOK)
	}
	const waiting, fit = 6, 1
	for range waiting {
		s.open(t, "GET /x HTTP/1.1\r\nHost: x\r\n"+lines(3000))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ended := s.ended.Load(); ended < waiting-fit {
			return poll.Continue("%d connections ended", ended)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	_, err := io.WriteString(conn, get("/x"))
	assert.NilError(t, err)
	assert.Equal(t, statusOf(t, reader), http.StatusOK)
}

// Guards against a client that keeps its connection, and never gets its response, because it doesn't send
// the body of a request that is refused.
func TestResponseDoesNotAwaitBodyForEver(t *testing.T) {
	const conns = 4
	s := startLimited(t, ClientLimits{Conns: conns})
	const upload = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\nb"
	slow, slowReader := s.open(t, upload)
	assert.Equal(t, statusOf(t, slowReader), http.StatusOK)
	_, err := slow.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	for range 3 * conns {
		s.open(t, upload)
	}
	_, reader := s.open(t, get("/x"))
	assert.Equal(t, statusOf(t, reader), http.StatusOK)
}

func TestMaxConns(t *testing.T) {
	for _, test := range []struct {
		desc   string
		limits ClientLimits
		want   int
	}{
		{"no limit", ClientLimits{}, 0},
		{"connections", ClientLimits{Conns: 7}, 7},
		{"memory", ClientLimits{Bytes: 10*connBytes + 1}, 10},
		{"less memory than connections", ClientLimits{Bytes: 10 * connBytes, Conns: 11}, 10},
		{"fewer connections than memory", ClientLimits{Bytes: 10 * connBytes, Conns: 9}, 9},
	} {
		t.Run(test.desc, func(t *testing.T) { assert.Equal(t, test.limits.MaxConns(), test.want) })
	}
}
