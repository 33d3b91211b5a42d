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

func recordCrashes(crashes *quarantine.SharedLedger, ids ...uint64) {
	for _, id := range ids {
		crashes.RecordCrash(quarantine.Crash{ID: id, Answered: true, Suspects: []quarantine.Fingerprint{poison}})
	}
}

// Guards against notices that are sent in one direction of a feed only: a node without
// followers must also be able to report crashes to the node that it follows.
func TestNoticesFlowInBothDirections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	serverLedger, clientLedger := quarantine.NewSharedLedger(wallClock{}), quarantine.NewSharedLedger(wallClock{})
	var mu sync.Mutex
	bytes := 0
	countSent := func(count int) {
		mu.Lock()
		defer mu.Unlock()
		bytes += count
	}
	server := NewHandler(singleUpdateSource{&mesh.Update{}}, serverLedger, func(int) {}, Limit{})
	go http.Serve(listener, server)
	defer listener.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		client := NewClient(&http.Transport{}, clientLedger, countSent)
		_ = client.Follow(ctx, listener.Addr().String(), mesh.Checkpoint{}, func(*mesh.Update) error { return nil })
	}()
	recordCrashes(serverLedger, 1, 2)
	recordCrashes(clientLedger, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if serverLedger.BlockRemaining(poison) > 0 && clientLedger.BlockRemaining(poison) > 0 {
			return poll.Success()
		}
		return poll.Continue("not both nodes have the notices")
	})
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, bytes > 0)
}

// Guards against notices that are not forwarded from one follower to another one with the
// same address, as seen behind a relay.
func TestNoticesAreForwardedBetweenFollowers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go http.Serve(listener, NewHandler(singleUpdateSource{&mesh.Update{}}, quarantine.NewSharedLedger(wallClock{}), func(int) {}, Limit{}))
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
	recordCrashes(followers[0], 1, 2, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if followers[1].BlockRemaining(poison) > 0 {
			return poll.Success()
		}
		return poll.Continue("the other follower has not received the notices")
	})
}

// Guards against keeping a feed open after the follower sent a message that can't be decoded,
// contains no notice, or is too large.
func TestInvalidNoticeClosesFeed(t *testing.T) {
	for _, test := range []struct {
		desc string
		raw  []byte
	}{
		{"invalid CBOR", []byte("x")},
		{"no notice", []byte{0xa0}},
		{"too much", make([]byte, maxNotice+1)},
	} {
		t.Run(test.desc, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			serveFeed(t, listener, singleUpdateSource{&mesh.Update{}}, func(int) {})
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
			defer stop()
			conn, err := newClient().open(ctx, listener.Addr().String(), mesh.Checkpoint{})
			assert.NilError(t, err)
			defer conn.CloseNow()
			assert.NilError(t, conn.Write(ctx, websocket.MessageBinary, test.raw))
			for err == nil {
				_, _, err = conn.Read(ctx)
			}
			assert.NilError(t, ctx.Err(), "the feed was not closed")
		})
	}
}
