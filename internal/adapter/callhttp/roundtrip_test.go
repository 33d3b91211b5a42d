package callhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/port"
)

// dyingTarget answers the first request of each connection and keeps it open.
// It runs the second request and dies before it answers.
type dyingTarget struct {
	net.Listener
	runs atomic.Int32
	last atomic.Pointer[http.Request]
}

func newDyingTarget(t *testing.T) *dyingTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := &dyingTarget{Listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return d
}

func (d *dyingTarget) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		d.last.Store(request)
		if request.URL.Path == "/run" {
			d.runs.Add(1)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func (d *dyingTarget) base() string { return "http://" + d.Addr().String() }

func guardedTransport() *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Guard(conn), nil
	}}
}

func testCall(method, path string) *port.Call {
	return &port.Call{ID: "id", Method: method, Target: path, Header: http.Header{}, Deadline: time.Now().Add(5 * time.Second)}
}

// A caller files a return without a body on a connection that was used before.
// The target runs it and dies before it answers. Plain net/http sends the
// request again by itself, as its method or header makes it look replayable,
// and the town is billed twice. The guard lets it be written once.
func TestDyingConnectionRunsOnce(t *testing.T) {
	cases := []struct{ desc, method, header string }{
		{"body-less POST with a key", http.MethodPost, "Idempotency-Key"},
		{"body-less POST with the older key", http.MethodPost, "X-Idempotency-Key"},
		{"GET on a route that is not idempotent", http.MethodGet, "Accept"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			plain := newDyingTarget(t)
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for _, path := range []string{"/warm", "/run"} {
				request, err := http.NewRequest(c.method, plain.base()+path, nil)
				assert.NilError(t, err)
				request.Header.Set(c.header, "4711")
				if response, err := transport.RoundTrip(request); err == nil {
					response.Body.Close()
				}
			}
			assert.Equal(t, plain.runs.Load(), int32(2), "net/http no longer replays; the guard may be simplified")

			ours := newDyingTarget(t)
			guarded := guardedTransport()
			defer guarded.CloseIdleConnections()
			call := testCall(c.method, "/warm")
			call.Header.Set(c.header, "4711")
			response, err := RoundTrip(t.Context(), guarded, ours.base(), call, nil)
			assert.NilError(t, err)
			response.Body.Close()
			call.Target = "/run"
			_, err = RoundTrip(t.Context(), guarded, ours.base(), call, nil)
			var unknown *port.UnknownOutcome
			assert.Assert(t, errors.As(err, &unknown), "%v", err)
			assert.Equal(t, ours.runs.Load(), int32(1))
		})
	}
}

// Where nothing was written the request did not run, and only there.
func TestOutcomeOfFailedRoundTrip(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed.Close()
	cases := []struct {
		desc   string
		base   string
		budget time.Duration
		reason port.Reason
	}{
		{"nobody listens", "http://" + closed.Addr().String(), time.Second, port.ReasonUnreachable},
		{"the process was paused until after the deadline", "http://" + silent.Addr().String(), -time.Second, port.ReasonDeadline},
		{"the target hangs", "http://" + silent.Addr().String(), 50 * time.Millisecond, ""},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			call := testCall(http.MethodPost, "/run")
			call.Deadline = time.Now().Add(c.budget)
			_, err := RoundTrip(t.Context(), guardedTransport(), c.base, call, nil)
			var refusal *port.Refusal
			if !errors.As(err, &refusal) {
				assert.Equal(t, c.reason, port.Reason(""), "%v", err)
				return
			}
			assert.Equal(t, refusal.Reason, c.reason)
		})
	}
}

// A request may be written by the attempt that holds the connection, before
// the deadline, and to one connection only.
func TestGuardHoldsBackWrites(t *testing.T) {
	pipe := func() *Conn {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		t.Cleanup(func() { near.Close(); far.Close() })
		return Guard(near)
	}
	write := func(conn *Conn, a *attempt) error {
		conn.hold(a)
		_, err := conn.Write([]byte("x"))
		return err
	}
	soon := time.Now().Add(time.Minute)
	here := func() bool { return false }
	_, err := pipe().Write([]byte("x"))
	assert.ErrorIs(t, err, errUnowned)

	late := &attempt{deadline: time.Now(), gone: here}
	assert.ErrorIs(t, write(pipe(), late), errLate)
	assert.Equal(t, late.outcome(io.EOF, false).(*port.Refusal).Reason, port.ReasonDeadline)

	once := &attempt{deadline: soon, gone: here}
	first := pipe()
	assert.NilError(t, write(first, once))
	assert.NilError(t, write(first, once))
	assert.ErrorIs(t, write(pipe(), once), errReplay)

	ended := &attempt{deadline: soon, gone: here}
	_, _ = ended.end()
	assert.ErrorIs(t, write(pipe(), ended), errEnded)
}

// slowWrite is a connection whose process is paused just before each write.
type slowWrite struct {
	net.Conn
	pause time.Duration
}

func (c slowWrite) Write(p []byte) (int, error) {
	time.Sleep(c.pause)
	return c.Conn.Write(p)
}

// Guards against a request that is started after its deadline, because the process
// was paused between a check and the write.
func TestPausedWriteIsHeldBack(t *testing.T) {
	const deadline, pause = time.Second, 9 * time.Second
	for _, test := range []struct {
		desc                string
		askSender, thenWait time.Duration
		held                bool
	}{
		{"no pause", 0, 0, false},
		{"while the sender is asked for", pause, 0, true},
		{"between the last look at the clock and the write", 0, pause, true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer near.Close()
				got := make(chan int64, 1)
				go func() {
					n, _ := io.Copy(io.Discard, far)
					got <- n
				}()
				a := &attempt{deadline: time.Now().Add(deadline), gone: func() bool {
					time.Sleep(test.askSender)
					return false
				}}
				conn := Guard(slowWrite{near, test.thenWait})
				conn.hold(a)
				_, err := conn.Write([]byte("x"))
				wrote, late := a.end()
				assert.Equal(t, wrote, !test.held)
				assert.Equal(t, late, test.held)
				if test.held {
					assert.ErrorIs(t, err, errLate)
				} else {
					assert.NilError(t, err)
				}
				near.Close()
				assert.Equal(t, <-got == 0, test.held)
			})
		})
	}
}

// Guards against a write deadline that outlives the first write and cuts a long body.
func TestBodyMayBeWrittenPastTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		conn := Guard(near)
		conn.hold(&attempt{deadline: time.Now().Add(time.Second), gone: func() bool { return false }})
		_, err := conn.Write([]byte("head"))
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		_, err = conn.Write([]byte("body"))
		assert.NilError(t, err)
	})
}

// Servers that insist on a length must get one from a body-less POST.
func TestBodylessPostHasLength(t *testing.T) {
	d := newDyingTarget(t)
	response, err := RoundTrip(t.Context(), guardedTransport(), d.base(), testCall(http.MethodPost, "/"), nil)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, d.last.Load().ContentLength, int64(0))
	assert.Equal(t, len(d.last.Load().TransferEncoding), 0)
}

// Callers and targets can't pass for a node, and hop headers end at the hop.
func TestCopyHeader(t *testing.T) {
	from := http.Header{
		"Tamarack-Outcome": {OutcomeDidNotRun}, "Connection": {"close, x-hop"}, "X-Hop": {"1"},
		"Trailer": {"X"}, "Expect": {"100-continue"}, "Etag": {`"a"`},
	}
	to := http.Header{"Connection": {"close"}}
	CopyHeader(to, from)
	assert.DeepEqual(t, to, http.Header{"Connection": {"close"}, "Etag": {`"a"`}})
}
