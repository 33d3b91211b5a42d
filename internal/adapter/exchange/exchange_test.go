package exchange

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// server starts a listener that calls serve for each request. The number counts the
// requests on a connection from 0. accepted returns the number of accepted connections.
func server(t testing.TB, serve func(c net.Conn, request *http.Request, number int)) (address string, accepted func() int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	count := make(chan int, 1)
	count <- 0
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			count <- <-count + 1
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for number := 0; ; number++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					serve(c, request, number)
				}
			}()
		}
	}()
	return listener.Addr().String(), func() int {
		n := <-count
		count <- n
		return n
	}
}

func pool() *Pool {
	return NewPool(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, AckTimeout: time.Second, MaxIdle: 4})
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(p *Pool, address, id string) (string, error) {
	response, err := p.Do(context.Background(), address, &Request{
		Method: "POST", URI: "/x?y", Host: "h", Header: http.Header{}, IDHeader: "Id", ID: id,
		Body: strings.NewReader("body"), ContentLength: 4,
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	address, accepted := server(t, func(c net.Conn, r *http.Request, number int) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(c, responseText(r.Header.Get("X"), fmt.Sprintf("%d %s %s %s", number, r.URL, body, r.UserAgent())))
	})
	p := pool()
	for number := range 3 {
		got, err := send(p, address, "")
		assert.NilError(t, err)
		assert.Equal(t, got, fmt.Sprintf("%d /x?y body ", number))
	}
	assert.Equal(t, accepted(), 1)
}

// Guards against a caller that gets the response of another. A target sends a second
// response to a request, which arrives when the response to the next request on the
// connection is expected. It must be skipped, and the connection stays in use.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	address, accepted := server(t, func(c net.Conn, r *http.Request, number int) {
		_, _ = io.Copy(io.Discard, r.Body)
		if number > 0 {
			_, _ = io.WriteString(c, responseText(fmt.Sprint("id", number-1), "stray"))
		}
		_, _ = io.WriteString(c, responseText(fmt.Sprint("id", number), fmt.Sprint("own", number)))
	})
	p := pool()
	for number := range 3 {
		got, err := send(p, address, fmt.Sprint("id", number))
		assert.NilError(t, err)
		assert.Equal(t, got, fmt.Sprint("own", number))
	}
	assert.Equal(t, accepted(), 1)
}

// Guards against a request that is written to an unusable connection: the target sends
// unexpected bytes on an idle connection, or closes it. The next request must use a new
// connection.
func TestUnusableConnectionIsDropped(t *testing.T) {
	for _, test := range []struct {
		desc  string
		after func(c net.Conn)
	}{
		{"extra bytes", func(c net.Conn) { _, _ = io.WriteString(c, responseText("id", "extra")) }},
		{"closed", func(c net.Conn) { _ = c.Close() }},
	} {
		t.Run(test.desc, func(t *testing.T) {
			address, accepted := server(t, func(c net.Conn, r *http.Request, _ int) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, responseText("id", "own"))
				time.Sleep(20 * time.Millisecond)
				test.after(c)
			})
			p := pool()
			for range 2 {
				got, err := send(p, address, "id")
				assert.NilError(t, err)
				assert.Equal(t, got, "own")
				time.Sleep(100 * time.Millisecond)
			}
			assert.Equal(t, accepted(), 2)
		})
	}
}

// Guards against a request that is read as a part of the previous body. A target
// responds before it has received a long body completely, and continues to read. The next
// request must use a new connection.
func TestConnectionWithEarlyResponseIsDropped(t *testing.T) {
	address, accepted := server(t, func(c net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(c, responseText("id", "too large"))
		time.Sleep(100 * time.Millisecond)
	})
	p := pool()
	body, bodyWriter := io.Pipe()
	response, err := p.Do(context.Background(), address, &Request{
		Method: "POST", URI: "/", Host: "h", Header: http.Header{}, IDHeader: "Id", ID: "id", Body: body, ContentLength: 1 << 20,
	})
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	_ = bodyWriter.Close()
	_, err = send(p, address, "id")
	assert.NilError(t, err)
	assert.Equal(t, accepted(), 2)
}

// Guards against a wrong outcome of a failed request: one that could not be written did
// not run, and one that was written may have run.
func TestFailureReportsWhetherRequestWasSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = closed.Close()
	breaking, _ := server(t, func(c net.Conn, _ *http.Request, _ int) { _ = c.Close() })
	for _, test := range []struct {
		desc, address string
		sent          bool
	}{
		{"nothing listens on the port", closed.Addr().String(), false},
		{"connection closed without a response", breaking, true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			_, err := send(pool(), test.address, "id")
			var failure *Failure
			assert.Assert(t, errors.As(err, &failure))
			assert.Equal(t, failure.Sent, test.sent)
		})
	}
}

// Guards against an incomplete response that is taken for a complete one. A response
// without a length ends when its connection is closed; if the connection is reset, the
// response is incomplete.
func TestResetMakesUnframedResponseIncomplete(t *testing.T) {
	for _, test := range []struct {
		desc     string
		linger   int
		complete bool
	}{
		{"closed", -1, true},
		{"reset", 0, false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: id\r\nConnection: close\r\n\r\npart")
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(test.linger)
				_ = c.Close()
			})
			got, err := send(pool(), address, "id")
			assert.Equal(t, got, "part")
			assert.Equal(t, err == nil, test.complete)
		})
	}
}

// When the caller disconnects while a target runs its request, the connection must be
// reset, so that the target can stop.
func TestCancelResetsTheConnection(t *testing.T) {
	reset := make(chan error, 1)
	address, _ := server(t, func(c net.Conn, r *http.Request, _ int) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := c.Read(make([]byte, 1))
		reset <- err
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := pool().Do(ctx, address, &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Assert(t, <-reset != nil)
}

func TestKeepAliveTimeout(t *testing.T) {
	for _, test := range []struct {
		value string
		want  time.Duration
	}{
		{"timeout=5", 4 * time.Second},
		{"max=3, timeout=5", 4 * time.Second},
		{"timeout=1", time.Millisecond},
		{"timeout=x", 0},
		{"", 0},
	} {
		header := http.Header{}
		if test.value != "" {
			header.Set("Keep-Alive", test.value)
		}
		assert.Equal(t, keepAliveTimeout(header), test.want, test.value)
	}
}

// Guards against a request that is started after its deadline because the process was
// paused just before the write.
func TestNothingIsWrittenPastTheDeadline(t *testing.T) {
	for _, test := range []struct {
		desc     string
		deadline time.Time
		expired  bool
	}{
		{"no deadline", time.Time{}, false},
		{"before the deadline", time.Now().Add(time.Hour), false},
		{"past the deadline", time.Now(), true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			var out bytes.Buffer
			c := &conn{writeDeadline: test.deadline}
			c.writer = bufio.NewWriter(&writeTracker{Conn: recordingConn{out: &out}, conn: c})
			err := c.write(&Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
			assert.Equal(t, errors.Is(err, errDeadline), test.expired)
			assert.Equal(t, out.Len() == 0, test.expired)
			assert.Equal(t, c.sending.end(), !test.expired)
		})
	}
}

// recordingConn records the bytes written to it.
type recordingConn struct {
	net.Conn
	out *bytes.Buffer
}

func (c recordingConn) Write(p []byte) (int, error) { return c.out.Write(p) }

// Guards against reporting a target that listens as not listening, and against opening a
// new connection for each check.
func TestConnectionRefused(t *testing.T) {
	address, accepted := server(t, func(c net.Conn, r *http.Request, _ int) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, responseText("id", "own"))
	})
	p := pool()
	_, err := send(p, address, "id")
	assert.NilError(t, err)
	assert.Assert(t, !p.ConnectionRefused(context.Background(), address))
	assert.Equal(t, accepted(), 1)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.Assert(t, !p.ConnectionRefused(context.Background(), listener.Addr().String()))
	assert.NilError(t, listener.Close())
	assert.Assert(t, p.ConnectionRefused(context.Background(), listener.Addr().String()))
}

// Guards against a target that gets another path than the caller sent, for paths that begin with
// two slashes or contain escapes.
func TestPathReachesTheReceiverUnchanged(t *testing.T) {
	got := make(chan string, 1)
	address, _ := server(t, func(c net.Conn, request *http.Request, _ int) {
		got <- request.RequestURI
		_, _ = io.WriteString(c, responseText("1", ""))
	})
	p := pool()
	for _, uri := range []string{"/a%2fb?q=%2f", "//a%2fb/c", "//x//y?", "//h%20i/?a=1&b", "//%e2%82%ac/%2F%2f", "/a//b"} {
		response, err := p.Do(t.Context(), address, &Request{Method: "GET", URI: uri, Host: "h", Header: http.Header{}})
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, <-got, uri)
	}
}
