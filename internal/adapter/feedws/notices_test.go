package feedws

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tamarackquay/internal/mesh"
	"tamarackquay/internal/quarantine"
)

const poison = quarantine.Fingerprint(7)

func crashed(crashes *quarantine.SharedLedger, ids ...uint64) {
	for _, id := range ids {
		crashes.RecordCrash(quarantine.Crash{ID: id, Answered: true, Suspects: []quarantine.Fingerprint{poison}})
	}
}

// Guards against crashes that only go down a feed, or only up: a node that nobody follows
// sees one as well.
func TestNoticesGoBothWays(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	above, below := quarantine.NewSharedLedger(wallClock{}), quarantine.NewSharedLedger(wallClock{})
	var mu sync.Mutex
	bytes := 0
	sent := func(count int) {
		mu.Lock()
		defer mu.Unlock()
		bytes += count
	}
	server := NewHandler(sourceOf{&mesh.Update{}}, above, func(int) {})
	go http.Serve(listener, server)
	defer listener.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		client := NewClient(&http.Transport{}, below, sent)
		_ = client.Follow(ctx, listener.Addr().String(), mesh.Checkpoint{}, func(*mesh.Update) error { return nil })
	}()
	crashed(above, 1, 2)
	crashed(below, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if above.BlockRemaining(poison) > 0 && below.BlockRemaining(poison) > 0 {
			return poll.Success()
		}
		return poll.Continue("not both know")
	})
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, bytes > 0)
}

// Guards against crashes that don't pass from one follower to another which has the same
// address, as behind a relay.
func TestNoticesPassBetweenFollowers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go http.Serve(listener, NewHandler(sourceOf{&mesh.Update{}}, quarantine.NewSharedLedger(wallClock{}), func(int) {}))
	defer listener.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	followers := []*quarantine.SharedLedger{quarantine.NewSharedLedger(wallClock{}), quarantine.NewSharedLedger(wallClock{})}
	for _, crashes := range followers {
		client := NewClient(&http.Transport{}, crashes, func(int) {})
		go func() {
			_ = client.Follow(ctx, listener.Addr().String(), mesh.Checkpoint{}, func(*mesh.Update) error { return nil })
		}()
	}
	crashed(followers[0], 1, 2, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if followers[1].BlockRemaining(poison) > 0 {
			return poll.Success()
		}
		return poll.Continue("the other follower doesn't know")
	})
}

// Guards against a follower that sends what nobody can read, or too much.
func TestBrokenNoticeEndsTheFeed(t *testing.T) {
	for _, test := range []struct {
		desc string
		raw  []byte
	}{
		{"no CBOR", []byte("x")},
		{"no notice", []byte{0xa0}},
		{"too much", make([]byte, maxNotice+1)},
	} {
		t.Run(test.desc, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			serveFeed(t, listener, sourceOf{&mesh.Update{}}, func(int) {})
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
			defer stop()
			conn, err := newClient().open(ctx, listener.Addr().String(), mesh.Checkpoint{})
			assert.NilError(t, err)
			defer conn.CloseNow()
			assert.NilError(t, conn.Write(ctx, websocket.MessageBinary, test.raw))
			for err == nil {
				_, _, err = conn.Read(ctx)
			}
			assert.NilError(t, ctx.Err(), "the feed goes on")
		})
	}
}
