// Package exchange sends requests over pooled HTTP/1.1 connections and matches responses
// to requests by id.
//
// net/http encodes and parses the messages; this package only manages the connections.
// http.Transport is not used, because it assigns the next response on a connection to
// the current request and retries requests that look replayable. If a target sent a
// second response late, one caller would get the response of another, and a retried
// request might issue a certificate twice. This package writes a request to one
// connection once, and skips responses to other requests.
package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Request is one request to send.
type Request struct {
	Method string
	// URI is the path and query as received.
	URI    string
	Host   string
	Header http.Header
	// Body may be nil. It is read at most once.
	Body io.Reader
	// ContentLength is -1 if it is unknown.
	ContentLength int64
	// IDHeader is the name of the response header that echoes the request's id,
	// and ID the expected value. If IDHeader is empty, any response is accepted.
	IDHeader string
	ID       string
	// Reserve is called before more of a response's header is read than a connection buffers
	// anyway. It reports whether memory is granted; Do fails if it isn't. It may be nil.
	Reserve func(bytes int64) bool
}

// Response is a response whose header has been received. Body must be closed. A read
// error other than io.EOF means that the body is incomplete.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if it is unknown.
	ContentLength int64
	Body          io.ReadCloser
	// BodySent is closed once no further byte of the request's body will be sent: it was sent
	// completely, or the connection is closed. Until then only Do may read that body. It is
	// nil if the response came without Do, and the body then counts as sent.
	BodySent <-chan struct{}
	// Cancel makes a pending read of Body fail; unlike Close, it may be called at the same
	// time as Read. It is nil if the sender provides none: then the end of the context
	// passed to Do has this effect.
	Cancel func()
}

// Failure is the error of a request that got no response.
type Failure struct {
	// Sent is true if any bytes were or may have been written, so that the receiver
	// may have run the request. Otherwise it did not run and never will.
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

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// IsHostUnresponsive reports whether a request failed because the receiver's VM did not
// respond at all, not even by refusing the connection.
func IsHostUnresponsive(err error) bool {
	var timeout net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) || errors.As(err, &timeout) && timeout.Timeout()
}

// maxUnmatched limits how many responses are read to find that of the request, and
// maxUnmatchedBytes the size of each response to another request.
const (
	maxUnmatched      = 4
	maxUnmatchedBytes = 4 << 20
)

var (
	errUnmatched      = errors.New("too many answers to other requests")
	errProtocolChange = errors.New("the answer changes the protocol")
	errDeadline       = errors.New("the deadline is over")
)

// IsBodySent reports whether no further byte of the request's body will be sent.
func (r *Response) IsBodySent() bool {
	if r.BodySent == nil {
		return true
	}
	select {
	case <-r.BodySent:
		return true
	default:
		return false
	}
}

// Do sends the request to an address (IP:port) and returns the response. When ctx ends,
// the connection is reset, so that the receiver can stop running the request. The error
// is always a *Failure, and no further byte of the request's body is then sent.
//
// A receiver may respond successfully before it has read a long body and read on afterwards.
// Do goes on sending the body then, also when the response has been read completely, until a
// read of the request's body fails or the deadline of ctx passes.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, &Failure{Cause: err}
	}
	c.writeDeadline, _ = ctx.Deadline()
	stop := context.AfterFunc(ctx, c.abort)
	if ctx.Err() != nil {
		stop()
		c.close(true)
		return nil, &Failure{Cause: ctx.Err()}
	}
	c.sending.reset()
	sent := newBodySending()
	if isLongBody(r) {
		// The receiver may respond before it has read a long body.
		go func() { sent.finish(c.write(r)) }()
	} else {
		sent.finish(c.write(r))
	}
	response, err := c.readResponse(r)
	if err != nil {
		stop()
		wasSent := c.sending.end()
		c.close(true)
		return nil, &Failure{Sent: wasSent, Cause: firstError(ctx.Err(), err)}
	}
	body := &body{ReadCloser: response.Body, conn: c, stop: stop, sending: sent, response: response}
	return &Response{
		Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength, Body: body, BodySent: sent.ended,
	}, nil
}

// bodySending is the sending of a request and its body.
type bodySending struct {
	// written receives the result of writing the request.
	written chan error
	// ended is closed when no further byte will be sent.
	ended chan struct{}
	once  sync.Once
}

func newBodySending() *bodySending {
	return &bodySending{written: make(chan error, 1), ended: make(chan struct{})}
}

func (s *bodySending) finish(err error) {
	s.written <- err
	s.end()
}

func (s *bodySending) end() { s.once.Do(func() { close(s.ended) }) }

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// smallBodyBytes is the size up to which a body fits into the socket buffer, so that the
// write can't block on a receiver that responds before it reads the body.
const smallBodyBytes = 8 << 10

func isLongBody(r *Request) bool {
	return r.Body != nil && (r.ContentLength < 0 || r.ContentLength > smallBodyBytes)
}

// write writes the request with the caller's headers as they are. An empty User-Agent is
// set if there is none, because net/http would otherwise add its own.
func (c *conn) write(r *Request) error {
	request := &http.Request{
		Method: r.Method, URL: rawURL(r.URI), Host: r.Host, Header: r.Header,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: r.ContentLength,
	}
	if r.Body != nil {
		request.Body = io.NopCloser(&endedReader{Reader: r.Body})
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// endedReader returns the end of a body, or its error, again without reading it once more. After a body
// of known length, net/http reads on to find its end, and the body may be closed by then: it is that of
// a request whose handler has returned.
type endedReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *endedReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.Reader.Read(p)
	r.err = err
	return n, err
}

// rawURL returns a URL that preserves the bytes of the path as sent by the caller. An opaque
// URL does, unless it begins with two slashes, which net/url takes for a host.
func rawURL(uri string) *url.URL {
	if !strings.HasPrefix(uri, "//") {
		return &url.URL{Opaque: uri}
	}
	escaped, query, hasQuery := strings.Cut(uri, "?")
	path, err := url.PathUnescape(escaped)
	if err != nil {
		// net/http refuses requests with such a path before they get here.
		path = escaped
	}
	return &url.URL{Path: path, RawPath: escaped, RawQuery: query, ForceQuery: hasQuery}
}

// readResponse returns the response to the request once its header is read. Responses to
// other requests are skipped.
func (c *conn) readResponse(r *Request) (*http.Response, error) {
	for range maxUnmatched {
		response, err := c.readFinalResponse(r)
		if err != nil {
			return nil, err
		}
		if r.IDHeader == "" || response.Header.Get(r.IDHeader) == r.ID {
			return response, nil
		}
		size, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxUnmatchedBytes))
		if err != nil {
			return nil, err
		}
		if response.Close || size == maxUnmatchedBytes {
			return nil, errors.Wrap(errUnmatched, "the connection ends with one")
		}
	}
	return nil, errUnmatched
}

// readFinalResponse returns the next response that is not informational (1xx).
func (c *conn) readFinalResponse(r *Request) (*http.Response, error) {
	c.header.expect(r.Reserve, c.reader)
	if c.header.err != nil {
		return nil, c.header.err
	}
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			// net/http may report what it has read until then as malformed.
			return nil, firstError(c.header.err, err)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocolChange
		}
		if response.StatusCode >= http.StatusOK {
			c.header.expecting = false
			return response, nil
		}
	}
}

// body is a response body. It returns the connection to the pool when it has been read
// completely, and resets the connection if it is closed before.
type body struct {
	io.ReadCloser
	conn     *conn
	stop     func() bool
	sending  *bodySending
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

func (b *body) finish(complete bool) {
	if b.done {
		return
	}
	b.done = true
	active := b.stop()
	select {
	case err := <-b.sending.written:
		b.release(complete && active && err == nil)
	default:
		// The response came before the request's body was written completely.
		if complete && active && b.acceptsRest() {
			go b.sendRest()
			return
		}
		// The receiver would read the next request as a part of that body.
		b.release(false)
	}
}

// sendRest waits until the request's body is sent. The end of the context doesn't cut it off,
// but its deadline does.
func (b *body) sendRest() {
	// These fail only on a closed connection, to which the body can't be written either.
	_ = b.conn.SetWriteDeadline(b.conn.writeDeadline)
	err := <-b.sending.written
	_ = b.conn.SetWriteDeadline(time.Time{})
	b.release(err == nil)
}

// acceptsRest reports whether the receiver may read the rest of the request's body after its
// response. After a failure, the sender should stop (RFC 9112, section 9.5).
func (b *body) acceptsRest() bool { return b.response.StatusCode < http.StatusMultipleChoices }

// release returns the connection to the pool, or resets it.
func (b *body) release(reusable bool) {
	defer b.sending.end()
	if reusable && !b.response.Close && b.conn.reader.Buffered() == 0 {
		b.conn.pool.put(b.conn, keepAliveTimeout(b.response.Header))
		return
	}
	b.conn.close(!reusable)
}

// idleMargin is how long before the receiver's announced idle timeout a connection is no
// longer used: a request sent while the receiver closes the connection has an unknown
// outcome.
const idleMargin = time.Second

// keepAliveTimeout returns the timeout in the Keep-Alive header, less idleMargin, or zero
// if there is none.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, value := range header["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
			if !ok {
				continue
			}
			if timeout, err := time.ParseDuration(text + "s"); err == nil {
				return max(timeout-idleMargin, time.Millisecond)
			}
		}
	}
	return 0
}
