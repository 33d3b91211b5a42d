package feedws

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/mesh"
	"tamarackquay/internal/quarantine"
)

// Guards against clients that open feeds without end: the oldest feed of the host ends for a new one.
func TestFeedsStayWithinLimit(t *testing.T) {
	const limit, feeds = 2, 5
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var ended atomic.Int32
	handler := NewHandler(singleUpdateSource{&mesh.Update{}}, quarantine.NewSharedLedger(wallClock{}), func(int) {},
		Limit{Feeds: limit, Ended: func() { ended.Add(1) }})
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	var results []<-chan error
	for range feeds {
		updated, result := make(chan struct{}), make(chan error, 1)
		go func() {
			result <- newClient().Follow(t.Context(), listener.Addr().String(), mesh.Checkpoint{}, func(*mesh.Update) error {
				close(updated)
				return nil
			})
		}()
		<-updated
		results = append(results, result)
	}
	for _, result := range results[:feeds-limit] {
		assert.Assert(t, <-result != nil)
	}
	assert.Equal(t, int(ended.Load()), feeds-limit)
	for _, result := range results[feeds-limit:] {
		select {
		case err := <-result:
			t.Errorf("a feed within the limit ended: %v", err)
		default:
		}
	}
}
