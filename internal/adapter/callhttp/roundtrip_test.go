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

// crashingTarget simulates a target that crashes while it runs a request: a request to
// /run is counted, and the connection is closed without a response. All other requests
// are answered. A connection is closed after two requests.
type crashingTarget struct {
	net.Listener
	runs atomic.Int32
	last atomic.Pointer[http.Request]
}

func newCrashingTarget(t *testing.T) *crashingTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := &crashingTarget{Listener: listener}
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

func (d *crashingTarget) serve(conn net.Conn) {
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

func (d *crashingTarget) base() string { return "http://" + d.Addr().String() }

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

// Guards against running a request twice. The target runs a request without a body on a
// reused connection and crashes before it responds. net/http alone sends the request
// again, because its method or header makes it look replayable. The guard allows only
// one write.
func TestBrokenConnectionIsNotReplayed(t *testing.T) {
	cases := []struct{ desc, method, header string }{
		{"body-less POST with a key", http.MethodPost, "Idempotency-Key"},
		{"body-less POST with the older key", http.MethodPost, "X-Idempotency-Key"},
		{"GET on a route that is not idempotent", http.MethodGet, "Accept"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			plainTarget := newCrashingTarget(t)
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for _, path := range []string{"/warm", "/run"} {
				request, err := http.NewRequest(c.method, plainTarget.base()+path, nil)
				assert.NilError(t, err)
				request.Header.Set(c.header, "4711")
				if response, err := transport.RoundTrip(request); err == nil {
					response.Body.Close()
				}
			}
			assert.Equal(t, plainTarget.runs.Load(), int32(2), "net/http no longer replays; the guard may be simplified")

			guardedTarget := newCrashingTarget(t)
			guarded := guardedTransport()
			defer guarded.CloseIdleConnections()
			call := testCall(c.method, "/warm")
			call.Header.Set(c.header, "4711")
			response, err := RoundTrip(t.Context(), guarded, guardedTarget.base(), call, nil)
			assert.NilError(t, err)
			response.Body.Close()
			call.Target = "/run"
			_, err = RoundTrip(t.Context(), guarded, guardedTarget.base(), call, nil)
			var unknown *port.UnknownOutcome
			assert.Assert(t, errors.As(err, &unknown), "%v", err)
			assert.Equal(t, guardedTarget.runs.Load(), int32(1))
		})
	}
}

// Guards against a wrong outcome: a request is refused, as proven not to have run, if
// and only if nothing was written.
func TestOutcomeOfFailedRoundTrip(t *testing.T) {
	hanging, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer hanging.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed.Close()
	cases := []struct {
		desc   string
		base   string
		budget time.Duration
		reason port.Reason
	}{
		{"nothing listens on the port", "http://" + closed.Addr().String(), time.Second, port.ReasonUnreachable},
		{"the process was paused until after the deadline", "http://" + hanging.Addr().String(), -time.Second, port.ReasonDeadline},
		{"the target hangs", "http://" + hanging.Addr().String(), 50 * time.Millisecond, ""},
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

// Guards against writes that could run a request late or twice: a connection can be
// written to only by its assigned attempt, only if the attempt starts before the
// deadline and has not ended, and an attempt can write to only one connection.
func TestGuardRejectsInvalidWrites(t *testing.T) {
	pipe := func() *Conn {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		t.Cleanup(func() { near.Close(); far.Close() })
		return Guard(near)
	}
	write := func(conn *Conn, a *attempt) error {
		conn.assign(a)
		_, err := conn.Write([]byte("x"))
		return err
	}
	soon := time.Now().Add(time.Minute)
	notClosed := func() bool { return false }
	_, err := pipe().Write([]byte("x"))
	assert.ErrorIs(t, err, errNoAttempt)

	expired := &attempt{deadline: time.Now(), senderClosed: notClosed}
	assert.ErrorIs(t, write(pipe(), expired), errDeadline)
	assert.Equal(t, expired.outcome(io.EOF, false).(*port.Refusal).Reason, port.ReasonDeadline)

	once := &attempt{deadline: soon, senderClosed: notClosed}
	first := pipe()
	assert.NilError(t, write(first, once))
	assert.NilError(t, write(first, once))
	assert.ErrorIs(t, write(pipe(), once), errReplay)

	ended := &attempt{deadline: soon, senderClosed: notClosed}
	_, _ = ended.end()
	assert.ErrorIs(t, write(pipe(), ended), errEnded)
}

// slowWriteConn is a connection that waits before each write, as if the process were
// paused there.
type slowWriteConn struct {
	net.Conn
	pause time.Duration
}

func (c slowWriteConn) Write(p []byte) (int, error) {
	time.Sleep(c.pause)
	return c.Conn.Write(p)
}

// Guards against a request that is started after its deadline because the process was
// paused between a check and the write.
func TestWriteAfterPauseIsRejected(t *testing.T) {
	const deadline, pause = time.Second, 9 * time.Second
	for _, test := range []struct {
		desc                   string
		checkPause, writePause time.Duration
		expired                bool
	}{
		{"no pause", 0, 0, false},
		{"pause during the check of the sender", pause, 0, true},
		{"pause between the check of the deadline and the write", 0, pause, true},
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
				a := &attempt{deadline: time.Now().Add(deadline), senderClosed: func() bool {
					time.Sleep(test.checkPause)
					return false
				}}
				conn := Guard(slowWriteConn{near, test.writePause})
				conn.assign(a)
				_, err := conn.Write([]byte("x"))
				wrote, expired := a.end()
				assert.Equal(t, wrote, !test.expired)
				assert.Equal(t, expired, test.expired)
				if test.expired {
					assert.ErrorIs(t, err, errDeadline)
				} else {
					assert.NilError(t, err)
				}
				near.Close()
				assert.Equal(t, <-got == 0, test.expired)
			})
		})
	}
}

// Guards against a write deadline that stays set after the first write and interrupts a
// long body.
func TestBodyMayBeWrittenPastTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		conn := Guard(near)
		conn.assign(&attempt{deadline: time.Now().Add(time.Second), senderClosed: func() bool { return false }})
		_, err := conn.Write([]byte("head"))
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		_, err = conn.Write([]byte("body"))
		assert.NilError(t, err)
	})
}

// A POST without a body must have a Content-Length, which some servers require.
func TestBodylessPostHasLength(t *testing.T) {
	d := newCrashingTarget(t)
	response, err := RoundTrip(t.Context(), guardedTransport(), d.base(), testCall(http.MethodPost, "/"), nil)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, d.last.Load().ContentLength, int64(0))
	assert.Equal(t, len(d.last.Load().TransferEncoding), 0)
}

// Guards against callers and targets that impersonate a node, and against forwarded
// hop-by-hop headers.
func TestCopyHeader(t *testing.T) {
	from := http.Header{
		"Tamarack-Outcome": {OutcomeDidNotRun}, "Connection": {"close, x-hop"}, "X-Hop": {"1"},
		"Trailer": {"X"}, "Expect": {"100-continue"}, "Etag": {`"a"`},
	}
	to := http.Header{"Connection": {"close"}}
	CopyHeader(to, from)
	assert.DeepEqual(t, to, http.Header{"Connection": {"close"}, "Etag": {`"a"`}})
}
