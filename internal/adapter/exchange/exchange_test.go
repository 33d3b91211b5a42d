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

// server accepts connections and hands each request on one, with its number on
// that connection from 0, to serve.
func server(t *testing.T, serve func(c net.Conn, request *http.Request, number int)) (address string, accepted func() int) {
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

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func ask(p *Pool, address, id string) (string, error) {
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

func TestConnectionIsUsedAgain(t *testing.T) {
	address, accepted := server(t, func(c net.Conn, r *http.Request, number int) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(c, answer(r.Header.Get("X"), fmt.Sprintf("%d %s %s %s", number, r.URL, body, r.UserAgent())))
	})
	p := pool()
	for number := range 3 {
		got, err := ask(p, address, "")
		assert.NilError(t, err)
		assert.Equal(t, got, fmt.Sprintf("%d /x?y body ", number))
	}
	assert.Equal(t, accepted(), 1)
}

// A target sends a second answer to a request, late: it arrives where the answer
// to the next request on the connection is expected. The next caller gets its
// own answer all the same, from the same connection.
func TestLateSecondAnswerIsReadPast(t *testing.T) {
	address, accepted := server(t, func(c net.Conn, r *http.Request, number int) {
		_, _ = io.Copy(io.Discard, r.Body)
		if number > 0 {
			_, _ = io.WriteString(c, answer(fmt.Sprint("id", number-1), "stray"))
		}
		_, _ = io.WriteString(c, answer(fmt.Sprint("id", number), fmt.Sprint("own", number)))
	})
	p := pool()
	for number := range 3 {
		got, err := ask(p, address, fmt.Sprint("id", number))
		assert.NilError(t, err)
		assert.Equal(t, got, fmt.Sprint("own", number))
	}
	assert.Equal(t, accepted(), 1)
}

// Bytes arrive on an idle connection, or its other side closes it. The next
// request takes a new connection.
func TestConnectionThatIsNotQuietIsDropped(t *testing.T) {
	for _, test := range []struct {
		desc  string
		after func(c net.Conn)
	}{
		{"extra bytes", func(c net.Conn) { _, _ = io.WriteString(c, answer("id", "extra")) }},
		{"closed", func(c net.Conn) { _ = c.Close() }},
	} {
		t.Run(test.desc, func(t *testing.T) {
			address, accepted := server(t, func(c net.Conn, r *http.Request, _ int) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, answer("id", "own"))
				time.Sleep(20 * time.Millisecond)
				test.after(c)
			})
			p := pool()
			for range 2 {
				got, err := ask(p, address, "id")
				assert.NilError(t, err)
				assert.Equal(t, got, "own")
				time.Sleep(100 * time.Millisecond)
			}
			assert.Equal(t, accepted(), 2)
		})
	}
}

// A target rejects a long body before it is in, keeps the connection and reads
// on. The next request must not be read as a part of that body.
func TestConnectionOfAnEarlyAnswerIsDropped(t *testing.T) {
	address, accepted := server(t, func(c net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(c, answer("id", "too large"))
		time.Sleep(100 * time.Millisecond)
	})
	p := pool()
	body, feed := io.Pipe()
	response, err := p.Do(context.Background(), address, &Request{
		Method: "POST", URI: "/", Host: "h", Header: http.Header{}, IDHeader: "Id", ID: "id", Body: body, ContentLength: 1 << 20,
	})
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	_ = feed.Close()
	_, err = ask(p, address, "id")
	assert.NilError(t, err)
	assert.Equal(t, accepted(), 2)
}

// What a failed request proves: one that could not be written did not run, one
// that was written may have.
func TestFailureTellsWhetherBytesWereSent(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = gone.Close()
	breaks, _ := server(t, func(c net.Conn, _ *http.Request, _ int) { _ = c.Close() })
	for _, test := range []struct {
		desc, address string
		sent          bool
	}{
		{"nobody listens", gone.Addr().String(), false},
		{"breaks off", breaks, true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			_, err := ask(pool(), test.address, "id")
			var failure *Failure
			assert.Assert(t, errors.As(err, &failure))
			assert.Equal(t, failure.Sent, test.sent)
		})
	}
}

// An answer without a length ends with its connection. Cut by a reset it is
// broken, not whole.
func TestUnframedAnswerCutByAReset(t *testing.T) {
	for _, test := range []struct {
		desc   string
		linger int
		whole  bool
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
			got, err := ask(pool(), address, "id")
			assert.Equal(t, got, "part")
			assert.Equal(t, err == nil, test.whole)
		})
	}
}

// The caller goes away while a target works. The target sees its connection
// reset and can stop.
func TestCancelReachesTheOtherSide(t *testing.T) {
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

func TestIdleForReadsKeepAlive(t *testing.T) {
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
		assert.Equal(t, idleFor(header), test.want, test.value)
	}
}

// Guards against a request that is started after its deadline by a process that was
// paused just before it wrote.
func TestNothingIsWrittenPastTheDeadline(t *testing.T) {
	for _, test := range []struct {
		desc    string
		writeBy time.Time
		late    bool
	}{
		{"no deadline", time.Time{}, false},
		{"before the deadline", time.Now().Add(time.Hour), false},
		{"past the deadline", time.Now(), true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			var out bytes.Buffer
			c := &conn{writeBy: test.writeBy}
			c.writer = bufio.NewWriter(writeTracker{recordingConn{out: &out}, c})
			err := c.write(&Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
			assert.Equal(t, errors.Is(err, errLate), test.late)
			assert.Equal(t, out.Len() == 0, test.late)
			assert.Equal(t, c.wrote.Load(), !test.late)
		})
	}
}

// recordingConn keeps what is written to it.
type recordingConn struct {
	net.Conn
	out *bytes.Buffer
}

func (c recordingConn) Write(p []byte) (int, error) { return c.out.Write(p) }

// Guards against taking a target for dead that listens, and a new connection for each look.
func TestRefusedTellsWhetherAnybodyListens(t *testing.T) {
	address, accepted := server(t, func(c net.Conn, r *http.Request, _ int) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, answer("id", "own"))
	})
	p := pool()
	_, err := ask(p, address, "id")
	assert.NilError(t, err)
	assert.Assert(t, !p.ConnectionRefused(context.Background(), address))
	assert.Equal(t, accepted(), 1)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.Assert(t, !p.ConnectionRefused(context.Background(), listener.Addr().String()))
	assert.NilError(t, listener.Close())
	assert.Assert(t, p.ConnectionRefused(context.Background(), listener.Addr().String()))
}
