// Package feedws sends updates and crash notices between nodes as CBOR over a WebSocket.
// The follower opens the connection. Updates are sent to the follower only, notices in
// both directions.
package feedws

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"tamarackquay/internal/follow"
	"tamarackquay/internal/membudget"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/quarantine"
	"tamarackquay/internal/wait"
)

// Path is the URL path at which nodes open feeds.
const Path = "/peer/feed"

// Query parameters of a request for a feed: the follower's configuration version, and the
// revision of the platform's store up to which the follower has all changes.
const (
	paramVersion  = "version"
	paramRevision = "revision"
)

const (
	// maxUpdate limits the bytes of an update, compressed and uncompressed. It is enough for
	// a complete configuration of about ten thousand routes.
	maxUpdate = 8 << 20
	// idleTimeout ends a feed on which no byte arrives; heartbeats are sent several times
	// within it. Every byte resets the timeout, not only a complete message: a feed that
	// timed out during a large update would request the complete update again, over a
	// link that is already full.
	idleTimeout = 1200 * time.Millisecond
	// writeTimeout ends a feed whose other side doesn't read.
	writeTimeout = 3 * time.Second
	// maxNotice limits the bytes of a message from a follower; followers send only notices.
	maxNotice = 256 << 10
	// openTimeout limits the time to open a feed.
	openTimeout = time.Second
)

// Source provides the updates that a handler serves. Serve passes the updates that a follower
// lacks to send, starting from the checkpoint held by the follower, until ctx ends or send
// fails. Host is the follower's host.
type Source interface {
	Serve(ctx context.Context, host string, checkpoint mesh.Checkpoint, send func(*mesh.Update) error) error
}

// Limit limits the feeds of a handler. Anybody who reaches the listener can open feeds.
type Limit struct {
	// Feeds is how many feeds are served at a time. Zero means no limit.
	Feeds int
	// Ended is called for each feed that was ended for a new one. It may be nil without a limit.
	Ended func()
}

// NewHandler returns a handler that serves the source's updates to followers and exchanges
// notices with them. It calls countSent with the size of each sent message.
func NewHandler(source Source, notices follow.Notices, countSent func(bytes int), limit Limit) http.Handler {
	encoder := &encoder{}
	served := membudget.NewStreams[*websocket.Conn](limit.Feeds)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		checkpoint, err := decodeCheckpoint(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer conn.CloseNow()
		host := follow.HostOf(r.RemoteAddr)
		stream, end := served.Open(host, conn)
		defer served.Close(stream)
		if end != nil {
			// Without a close frame: its client may not read. The error is of a connection that is closed already.
			_ = end.Owner.CloseNow()
			limit.Ended()
		}
		conn.SetReadLimit(maxNotice)
		feed := notices.NewFeed()
		// receiveNotices returns when the follower has disconnected.
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go func() {
			defer cancel()
			receiveNotices(ctx, conn, notices, feed)
		}()
		go sendNotices(ctx, conn, notices, feed, countSent)
		err = source.Serve(ctx, host, checkpoint, func(update *mesh.Update) error {
			raw, err := encoder.encode(update)
			if err != nil {
				return err
			}
			countSent(len(raw))
			return write(ctx, conn, raw)
		})
		if err != nil && ctx.Err() == nil {
			// The follower opens another feed when this one is closed.
			_ = conn.Close(websocket.StatusGoingAway, "")
		}
	})
}

// receiveNotices reads a follower's notices until the connection ends. It closes the
// connection on a message that isn't a valid notice; the follower then opens another feed.
func receiveNotices(ctx context.Context, conn *websocket.Conn, notices follow.Notices, from quarantine.Feed) {
	for {
		_, raw, err := conn.Read(ctx)
		if err != nil {
			return
		}
		_, notice, err := decode(raw)
		if err != nil || notice == nil {
			// The follower logs this close reason.
			_ = conn.Close(websocket.StatusInvalidFramePayloadData, "no notice that can be read")
			return
		}
		notices.Merge(from, notice)
	}
}

// sendNotices sends the notices that a neighbour lacks until the connection ends. Its error
// is ignored: the goroutine that reads from the connection detects a broken connection.
func sendNotices(ctx context.Context, conn *websocket.Conn, notices follow.Notices, to quarantine.Feed, countSent func(bytes int)) {
	_ = follow.SendNotices(ctx, notices, to, func(notice *quarantine.Notice) error {
		raw, err := encodeNotice(notice)
		if err != nil {
			return err
		}
		countSent(len(raw))
		return write(ctx, conn, raw)
	})
}

func encodeCheckpoint(checkpoint mesh.Checkpoint) url.Values {
	return url.Values{
		paramVersion:  {strconv.FormatUint(checkpoint.Version, 10)},
		paramRevision: {strconv.FormatUint(checkpoint.Revision, 10)},
	}
}

func decodeCheckpoint(query url.Values) (mesh.Checkpoint, error) {
	version, err := strconv.ParseUint(query.Get(paramVersion), 10, 64)
	if err != nil {
		return mesh.Checkpoint{}, errors.Wrap(err, paramVersion)
	}
	revision, err := strconv.ParseUint(query.Get(paramRevision), 10, 64)
	return mesh.Checkpoint{Version: version, Revision: revision}, errors.Wrap(err, paramRevision)
}

func write(ctx context.Context, conn *websocket.Conn, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, raw)
}

// Client opens feeds from other nodes. It implements follow.Feed.
type Client struct {
	http      *http.Client
	notices   follow.Notices
	countSent func(bytes int)
}

var _ follow.Feed = (*Client)(nil)

// NewClient returns a client that opens connections with the transport and exchanges notices
// with the nodes that it follows. It calls countSent with the size of each sent message.
func NewClient(transport *http.Transport, notices follow.Notices, countSent func(bytes int)) *Client {
	return &Client{http: &http.Client{Transport: transport}, notices: notices, countSent: countSent}
}

// Follow implements follow.Feed.
func (c *Client) Follow(ctx context.Context, address string, checkpoint mesh.Checkpoint, apply func(*mesh.Update) error) error {
	conn, err := c.open(ctx, address, checkpoint)
	if err != nil {
		return err
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxUpdate)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	feed := c.notices.NewFeed()
	go sendNotices(ctx, conn, c.notices, feed, c.countSent)
	for {
		update, notice, err := read(ctx, conn)
		if err != nil {
			return err
		}
		if notice != nil {
			c.notices.Merge(feed, notice)
			continue
		}
		if err := apply(update); err != nil {
			return err
		}
	}
}

func (c *Client) open(ctx context.Context, address string, checkpoint mesh.Checkpoint) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	address = "ws://" + address + Path + "?" + encodeCheckpoint(checkpoint).Encode()
	conn, _, err := websocket.Dial(ctx, address, &websocket.DialOptions{HTTPClient: c.http})
	return conn, errors.Wrap(err, "open feed")
}

// read returns the next update or notice, or errIdle if no byte arrives for idleTimeout.
func read(ctx context.Context, conn *websocket.Conn) (*mesh.Update, *quarantine.Notice, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(idleTimeout, func() { cancel(errIdle) })
	defer timer.Stop()
	_, reader, err := conn.Reader(ctx)
	if err != nil {
		return nil, nil, readError(ctx, err)
	}
	raw, err := io.ReadAll(&wait.IdleReader{Source: reader, Timer: timer, IdleTimeout: idleTimeout})
	if err != nil {
		return nil, nil, readError(ctx, err)
	}
	return decode(raw)
}

var errIdle = errors.New("feed timed out: no data received")

// readError returns errIdle if the idle timeout ended the feed, and err otherwise.
func readError(ctx context.Context, err error) error {
	if context.Cause(ctx) == errIdle {
		return errIdle
	}
	return err
}
