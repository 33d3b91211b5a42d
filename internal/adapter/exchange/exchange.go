// Package exchange sends requests over kept HTTP/1.1 connections and matches
// answers to requests by id.
//
// The messages are written and parsed by net/http; only the connections are kept
// here. http.Transport takes whatever answer comes next for the answer to the
// request, and repeats requests that it deems replayable. A target that sends a
// second answer late would then have one caller's answer handed to another, and
// a certificate might be issued twice. Here a request is written to one
// connection once, and answers to other requests are read past.
package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Request is one request to send.
type Request struct {
	Method string
	// URI is the path and query as they were received.
	URI    string
	Host   string
	Header http.Header
	// Body may be nil. It is read at most once.
	Body io.Reader
	// ContentLength is -1 when it is not known.
	ContentLength int64
	// IDHeader names the header that an answer echoes, ID the value that this
	// request's answer has. Without a name every answer is taken.
	IDHeader string
	ID       string
}

// Response is an answer whose header has come. Body must be closed. A read error
// other than io.EOF means that the body is broken.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 when it is not known.
	ContentLength int64
	Body          io.ReadCloser
}

// Failure is the error of a request without an answer.
type Failure struct {
	// Sent says that bytes were written: the other side may have acted on
	// them. If not, the request did not run.
	Sent  bool
	Cause error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Sent {
		return "sent without an answer: " + f.Cause.Error()
	}
	return "not sent: " + f.Cause.Error()
}

// Unwrap gives the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// IsSilence reports whether a request failed because the other side's VM gave no
// answer at all, not even that nobody listens there.
func IsHostUnresponsive(err error) bool {
	var timeout net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) || errors.As(err, &timeout) && timeout.Timeout()
}

// maxStray is how many answers to other requests are read past on the way to
// one's own, and maxStrayBytes the size of one of them.
const (
	maxStray      = 4
	maxStrayBytes = 4 << 20
)

var (
	errStray   = errors.New("too many answers to other requests")
	errUpgrade = errors.New("the answer changes the protocol")
	errLate    = errors.New("the deadline is over")
)

// Do sends the request to an address, an IP:port, and returns its answer. When
// ctx ends, the connection is reset, so that the other side stops working. The
// error is always a *Failure.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, &Failure{Cause: err}
	}
	c.writeBy, _ = ctx.Deadline()
	stop := context.AfterFunc(ctx, c.abort)
	if ctx.Err() != nil {
		stop()
		c.close(true)
		return nil, &Failure{Cause: ctx.Err()}
	}
	written := make(chan error, 1)
	c.wrote.Store(false)
	if longBody(r) {
		// The other side may answer before it has read a long body.
		go func() { written <- c.write(r) }()
	} else {
		written <- c.write(r)
	}
	response, err := c.answer(r)
	if err != nil {
		stop()
		c.close(true)
		return nil, &Failure{Sent: c.wrote.Load(), Cause: firstError(ctx.Err(), err)}
	}
	body := &body{ReadCloser: response.Body, conn: c, stop: stop, written: written, response: response}
	return &Response{Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength, Body: body}, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// smallBody is what fits the socket's buffer, so that writing it can't wait for
// a reader that answers first.
const smallBody = 8 << 10

func longBody(r *Request) bool {
	return r.Body != nil && (r.ContentLength < 0 || r.ContentLength > smallBody)
}

// write sends the request. The caller's headers go out as they are; net/http
// would add a User-Agent of its own to requests that have none.
func (c *conn) write(r *Request) error {
	request := &http.Request{
		Method: r.Method, URL: rawURL(r.URI), Host: r.Host, Header: r.Header,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: r.ContentLength,
	}
	if r.Body != nil {
		request.Body = io.NopCloser(r.Body)
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// rawURL keeps the bytes of the path as the caller wrote them.
func rawURL(uri string) *url.URL {
	if strings.HasPrefix(uri, "//") {
		path, query, _ := strings.Cut(uri, "?")
		return &url.URL{Path: path, RawQuery: query}
	}
	return &url.URL{Opaque: uri}
}

// answer reads up to the header of the request's own answer.
func (c *conn) answer(r *Request) (*http.Response, error) {
	for range maxStray {
		response, err := c.next(r.Method)
		if err != nil {
			return nil, err
		}
		if r.IDHeader == "" || response.Header.Get(r.IDHeader) == r.ID {
			return response, nil
		}
		size, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
		if err != nil {
			return nil, err
		}
		if response.Close || size == maxStrayBytes {
			return nil, errors.Wrap(errStray, "the connection ends with one")
		}
	}
	return nil, errStray
}

// next reads the next final response.
func (c *conn) next(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errUpgrade
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// body gives the connection back when it has been read whole, and resets the
// connection when it is given up before.
type body struct {
	io.ReadCloser
	conn     *conn
	stop     func() bool
	written  chan error
	response *http.Response
	done     bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.finish(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(whole bool) {
	if b.done {
		return
	}
	b.done = true
	live := b.stop()
	select {
	case err := <-b.written:
		live = live && err == nil
	default:
		// Answered early: the rest of the request's body is still on its way,
		// and the next request would be read as a part of it.
		live = false
	}
	if whole && live && !b.response.Close && b.conn.reader.Buffered() == 0 {
		b.conn.pool.put(b.conn, idleFor(b.response.Header))
		return
	}
	b.conn.close(!whole || !live)
}

// writeTracker notes the first byte that goes out.
type writeTracker struct {
	net.Conn
	conn *conn
}

// Write implements io.Writer. The deadline is looked at once more before the first
// byte: a process that was paused wakes with requests whose time is over.
func (w writeTracker) Write(p []byte) (int, error) {
	if !w.conn.wrote.Load() && !w.conn.writeBy.IsZero() && !time.Now().Before(w.conn.writeBy) {
		return 0, errLate
	}
	n, err := w.Conn.Write(p)
	if n > 0 {
		w.conn.wrote.Store(true)
	}
	return n, err
}

// idleMargin is kept from the time after which the other side says it closes an
// idle connection: a request that meets the close has an unknown outcome.
const idleMargin = time.Second

// idleFor reads the Keep-Alive header's timeout; zero when there is none.
func idleFor(header http.Header) time.Duration {
	for _, value := range header["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
			if !ok {
				continue
			}
			if seconds, err := time.ParseDuration(text + "s"); err == nil {
				return max(seconds-idleMargin, time.Millisecond)
			}
		}
	}
	return 0
}
