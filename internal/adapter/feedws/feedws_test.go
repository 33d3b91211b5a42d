package feedws

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/mesh"
	"tamarackquay/internal/quarantine"
)

// makeRoutes returns routes with random, unrelated names.
func makeRoutes(count int) []mesh.Route {
	random := rand.New(rand.NewPCG(1, 1))
	var made []mesh.Route
	for i := range count {
		made = append(made, mesh.Route{
			Name: fmt.Sprintf("r-%07x", random.IntN(1<<28)), Host: "calls.example", Prefix: fmt.Sprintf("/%d%d/", i, random.IntN(1e5)),
			Kind: mesh.Idempotent, Timeout: time.Second, TargetLatency: 400 * time.Millisecond, Priority: 2, MaxAttempts: 2,
			Shares: []mesh.Share{{Service: "s", Weight: 1}},
		})
	}
	return made
}

func TestUpdateRoundTrip(t *testing.T) {
	targets := []mesh.Target{{ID: "t", Service: "s", Address: "10.0.0.1:1", State: mesh.Ready, Revision: 7}}
	delta := mesh.Diff(nil, &mesh.Config{Version: 3, Routes: makeRoutes(2), Limits: mesh.Limits{HeaderBytes: 5}})
	for _, test := range []struct {
		desc   string
		update mesh.Update
	}{
		{"a heartbeat", mesh.Update{Age: time.Second, RTT: time.Millisecond}},
		{"an update of a view that was never current", mesh.Update{Age: -1}},
		{"targets", mesh.Update{Targets: targets, Removed: []mesh.Removal{{ID: "u", Revision: 6}}}},
		{"a configuration", mesh.Update{Config: delta, Targets: targets}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			raw, err := (&encoder{}).encode(&test.update)
			assert.NilError(t, err)
			got, _, err := decode(raw)
			assert.NilError(t, err)
			assert.DeepEqual(t, *got, test.update)
		})
	}
}

// Guards against sending a large change uncompressed, and against compressing it again for
// each follower: a thousand routes are added, and all followers of a node request them at
// about the same time. Each receives about a tenth of the uncompressed bytes, and they are
// compressed once.
func TestLargeChangesAreCompressedOnce(t *testing.T) {
	update := &mesh.Update{Config: mesh.Diff(nil, &mesh.Config{Version: 3, Routes: makeRoutes(1000)})}
	plain, err := cbor.Marshal(update)
	assert.NilError(t, err)
	e := &encoder{}
	first, err := e.encode(update)
	assert.NilError(t, err)
	assert.Assert(t, len(first)*5 < len(plain), "%d of %d bytes", len(first), len(plain))
	_, err = e.encode(update)
	assert.NilError(t, err)
	assert.Equal(t, len(e.cache), 1)
	for version := range uint64(maxCachedDeltas + 10) {
		_, err := e.encode(&mesh.Update{Config: &mesh.ConfigDelta{Base: version, Version: version + 10}})
		assert.NilError(t, err)
	}
	assert.Equal(t, len(e.cache), maxCachedDeltas)
}

func TestInvalidMessagesAreRefused(t *testing.T) {
	bomb, err := compress(&mesh.ConfigDelta{Removed: []string{strings.Repeat("x", maxUpdate)}})
	assert.NilError(t, err)
	for _, test := range []struct {
		desc string
		m    any
	}{
		{"no message", "text"},
		{"no update", message{}},
		{"bytes that aren't compressed", message{Update: &mesh.Update{}, Config: []byte{1, 2, 3}}},
		{"a configuration larger than maxUpdate when decompressed", message{Update: &mesh.Update{}, Config: bomb}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			raw, err := cbor.Marshal(test.m)
			assert.NilError(t, err)
			_, _, err = decode(raw)
			assert.Assert(t, err != nil)
		})
	}
}

// slowListener simulates the server's side of a congested link in virtual time: its
// connections write a few bytes at a time.
type slowListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func newSlowListener() *slowListener {
	return &slowListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *slowListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return slowConn{conn}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *slowListener) Close() error {
	close(l.closed)
	return nil
}

func (l *slowListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *slowListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	l.accepted <- server
	return client, nil
}

type slowConn struct{ net.Conn }

const slowChunkBytes, slowPause = 2 << 10, idleTimeout / 8

func (c slowConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		n, err := c.Conn.Write(b[written:min(written+slowChunkBytes, len(b))])
		written += n
		if err != nil {
			return written, err
		}
		time.Sleep(slowPause)
	}
	return written, nil
}

// singleUpdateSource sends one update to each follower and then nothing.
type singleUpdateSource struct{ update *mesh.Update }

func (s singleUpdateSource) Serve(ctx context.Context, _ string, _ mesh.Checkpoint, send func(*mesh.Update) error) error {
	if err := send(s.update); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

func serveFeed(t *testing.T, listener net.Listener, source Source, countSent func(int)) {
	t.Helper()
	server := httptest.NewUnstartedServer(NewHandler(source, quarantine.NewSharedLedger(wallClock{}), countSent, Limit{}))
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

func newClient() *Client {
	return NewClient(&http.Transport{}, quarantine.NewSharedLedger(wallClock{}), func(int) {})
}

var errStop = errors.New("update received")

// Guards against an idle timeout during a large update: on a congested link its transfer
// takes longer than idleTimeout. Each received byte must reset the timeout.
func TestSlowMessageResetsIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := newSlowListener()
		sent := 0
		update := &mesh.Update{Config: mesh.Diff(nil, &mesh.Config{Version: 3, Routes: makeRoutes(2500)})}
		server := &http.Server{Handler: NewHandler(singleUpdateSource{update}, quarantine.NewSharedLedger(wallClock{}), func(bytes int) { sent += bytes }, Limit{})}
		go func() { _ = server.Serve(listener) }()
		client := NewClient(&http.Transport{DialContext: listener.dial}, quarantine.NewSharedLedger(wallClock{}), func(int) {})
		begin := time.Now()
		err := client.Follow(t.Context(), "slow-node:1", mesh.Checkpoint{}, func(got *mesh.Update) error {
			assert.Equal(t, len(got.Config.Changed), 2500)
			return errStop
		})
		took := time.Since(begin)
		// The handler ends once it has noticed that the follower is gone.
		assert.Check(t, server.Close())
		time.Sleep(writeTimeout)
		assert.Equal(t, err, errStop)
		assert.Assert(t, took > idleTimeout, "the link was not slow")
		assert.Assert(t, sent > 8*slowChunkBytes, "%d bytes counted", sent)
	})
}

// Guards against a follower that stays with an unresponsive node: the followed node keeps the
// connection open but sends nothing. The feed must time out, so that the follower can open
// one from another node.
func TestIdleFeedEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	serveFeed(t, listener, singleUpdateSource{&mesh.Update{}}, func(int) {})
	received := 0
	err = newClient().Follow(context.Background(), listener.Addr().String(), mesh.Checkpoint{}, func(*mesh.Update) error {
		received++
		return nil
	})
	assert.Equal(t, err, errIdle)
	assert.Equal(t, received, 1)
}

// Guards against followers that get all targets again when the node that they follow restarts:
// the links of a large fleet would be full while it starts.
func TestCompleteUpdateHoldsFewBytesPerTarget(t *testing.T) {
	const count = 1600
	listing := &mesh.Update{Complete: true, RecordedSince: 2 * count, Revision: 2 * count}
	for i := range count {
		listing.Targets = append(listing.Targets, mesh.Target{
			ID: fmt.Sprintf("i-%08x", i*7919), Service: "tally", Address: "10.1.0.41:8628", FailureDomain: "lm-a", Slots: 12,
			State: mesh.Ready, Started: time.Now().UnixMilli(), Revision: uint64(i) + 1,
		})
	}
	view := mesh.NewView()
	assert.NilError(t, view.Apply(time.Now(), listing))
	size := func(revision uint64) int {
		update, _ := view.Since(time.Now(), view.PositionFor(mesh.Checkpoint{Revision: revision}))
		assert.Assert(t, update.Complete)
		content, err := (&encoder{}).encode(update)
		assert.NilError(t, err)
		return len(content)
	}
	held, all := size(2*count-1), size(0)
	t.Logf("%d bytes to a follower that holds all targets, %d to one that holds none", held, all)
	assert.Assert(t, held < all/5, "%d of %d bytes", held, all)
}
