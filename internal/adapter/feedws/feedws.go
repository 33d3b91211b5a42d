// Package feedws carries the updates of one node to another as CBOR over a
// WebSocket. The follower opens the connection; updates flow one way, and notices both.
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
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/quarantine"
	"tamarackquay/internal/wait"
)

// Path is where nodes open a feed.
const Path = "/peer/feed"

// Parameters of a request for a feed: the version of the configuration that the follower
// holds, and the platform's counter up to which it holds every change.
const (
	paramVersion  = "version"
	paramRevision = "revision"
)

const (
	// maxUpdate bounds one update: a whole configuration of some ten
	// thousand routes.
	maxUpdate = 8 << 20
	// silence ends a feed on which no byte comes; its heartbeats come several times
	// as often. Each byte counts: a feed that timed out within a large update would
	// ask for the whole of it again, over a link that is full already.
	silence = 1200 * time.Millisecond
	// writeTimeout ends a feed whose follower doesn't read.
	writeTimeout = 3 * time.Second
	// maxNotice bounds what a follower sends.
	maxNotice = 256 << 10
	// openTimeout bounds the opening of a feed.
	openTimeout = time.Second
)

// Source hands out updates.
type Source interface {
	Serve(ctx context.Context, host string, held mesh.Checkpoint, send func(*mesh.Update) error) error
}

// NewHandler serves feeds of the source, and exchanges notices with who follows. Sent is
// told of the bytes that go out.
func NewHandler(source Source, notices follow.Notices, sent func(bytes int)) http.Handler {
	encoder := &encoder{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held, err := decodeHeld(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer conn.CloseNow()
		conn.SetReadLimit(maxNotice)
		feed := notices.NewFeed()
		// The read ends when the follower has gone.
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go func() {
			defer cancel()
			takeNotices(ctx, conn, notices, feed)
		}()
		go sendNotices(ctx, conn, notices, feed, sent)
		err = source.Serve(ctx, follow.HostOf(r.RemoteAddr), held, func(update *mesh.Update) error {
			raw, err := encoder.encode(update)
			if err != nil {
				return err
			}
			sent(len(raw))
			return write(ctx, conn, raw)
		})
		if err != nil && ctx.Err() == nil {
			// The follower sees the end and opens another feed.
			_ = conn.Close(websocket.StatusGoingAway, "")
		}
	})
}

// takeNotices reads a follower's notices until the connection ends. What can't be read ends
// it; the follower then opens another feed.
func takeNotices(ctx context.Context, conn *websocket.Conn, notices follow.Notices, from quarantine.Feed) {
	for {
		_, raw, err := conn.Read(ctx)
		if err != nil {
			return
		}
		_, notice, err := decode(raw)
		if err != nil || notice == nil {
			// The follower logs the reason.
			_ = conn.Close(websocket.StatusInvalidFramePayloadData, "no notice that can be read")
			return
		}
		notices.Merge(from, notice)
	}
}

// sendNotices sends a neighbour what it lacks until the connection ends, which its reader
// sees.
func sendNotices(ctx context.Context, conn *websocket.Conn, notices follow.Notices, to quarantine.Feed, sent func(bytes int)) {
	_ = follow.SendNotices(ctx, notices, to, func(notice *quarantine.Notice) error {
		raw, err := encodeNotice(notice)
		if err != nil {
			return err
		}
		sent(len(raw))
		return write(ctx, conn, raw)
	})
}

func encodeHeld(held mesh.Checkpoint) url.Values {
	return url.Values{
		paramVersion:  {strconv.FormatUint(held.Version, 10)},
		paramRevision: {strconv.FormatUint(held.Revision, 10)},
	}
}

func decodeHeld(query url.Values) (mesh.Checkpoint, error) {
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

// Client implements follow.Feed.
type Client struct {
	http    *http.Client
	notices follow.Notices
	sent    func(bytes int)
}

var _ follow.Feed = (*Client)(nil)

// NewClient returns a client that opens its connections with the transport, and exchanges
// notices with whom it follows. Sent is told of the bytes that go out.
func NewClient(transport *http.Transport, notices follow.Notices, sent func(bytes int)) *Client {
	return &Client{http: &http.Client{Transport: transport}, notices: notices, sent: sent}
}

// Follow implements follow.Feed.
func (c *Client) Follow(ctx context.Context, address string, held mesh.Checkpoint, take func(*mesh.Update) error) error {
	conn, err := c.open(ctx, address, held)
	if err != nil {
		return err
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxUpdate)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	feed := c.notices.NewFeed()
	go sendNotices(ctx, conn, c.notices, feed, c.sent)
	for {
		update, notice, err := read(ctx, conn)
		if err != nil {
			return err
		}
		if notice != nil {
			c.notices.Merge(feed, notice)
			continue
		}
		if err := take(update); err != nil {
			return err
		}
	}
}

func (c *Client) open(ctx context.Context, address string, held mesh.Checkpoint) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	address = "ws://" + address + Path + "?" + encodeHeld(held).Encode()
	conn, _, err := websocket.Dial(ctx, address, &websocket.DialOptions{HTTPClient: c.http})
	return conn, errors.Wrap(err, "open feed")
}

// read returns the next update or notice.
func read(ctx context.Context, conn *websocket.Conn) (*mesh.Update, *quarantine.Notice, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer silent.Stop()
	_, reader, err := conn.Reader(ctx)
	if err != nil {
		return nil, nil, causeOf(ctx, err)
	}
	raw, err := io.ReadAll(&wait.IdleReader{Source: reader, Timer: silent, IdleTimeout: silence})
	if err != nil {
		return nil, nil, causeOf(ctx, err)
	}
	return decode(raw)
}

var errSilent = errors.New("the feed went silent")

// causeOf tells silence from other ends of a feed.
func causeOf(ctx context.Context, err error) error {
	if context.Cause(ctx) == errSilent {
		return errSilent
	}
	return err
}
