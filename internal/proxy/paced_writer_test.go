package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/link"
)

// largeResponse returns a complete response of the given size.
func largeResponse(size int) *bufferedResponse {
	return &bufferedResponse{response: &exchangeResponse{Status: http.StatusOK, Header: http.Header{}}, body: make([]byte, size)}
}

// blockedWriter is a receiver that doesn't read until it is released; its writes then return
// the error.
type blockedWriter struct {
	*httptest.ResponseRecorder
	blocked chan<- struct{}
	release <-chan struct{}
	err     error
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	w.blocked <- struct{}{}
	<-w.release
	if w.err != nil {
		return 0, w.err
	}
	return w.ResponseRecorder.Write(b)
}

// All sending slots are in use by receivers that have stopped reading. Another response must
// be sent completely meanwhile, and the slow ones once their receivers read again; one whose
// receiver is gone must give back its slot.
func TestSlowReceiversDoNotKeepTheLink(t *testing.T) {
	const size = 3 * link.LargeSize
	p := newFleet(t, 1).proxies[0]
	p.link = link.NewPacer(100e6)
	send := func(w http.ResponseWriter) error {
		now := time.Now()
		transfer := &link.Transfer{Due: now.Add(time.Minute), Deadline: now.Add(2 * time.Minute), Size: size}
		return p.sendResponse(context.Background(), w, largeResponse(size), transfer)
	}
	blocked, release := make(chan struct{}, 1000), make(chan struct{})
	ended := make(chan error)
	var slow []*blockedWriter
	for i := range link.MaxConcurrent {
		w := &blockedWriter{ResponseRecorder: httptest.NewRecorder(), blocked: blocked, release: release}
		if i == 0 {
			w.err = errors.New("the receiver is gone")
		}
		slow = append(slow, w)
		go func() { ended <- send(w) }()
	}
	for range slow {
		<-blocked
	}
	quick := httptest.NewRecorder()
	assert.NilError(t, send(quick))
	assert.Equal(t, quick.Body.Len(), size)
	close(release)
	failed := 0
	for range slow {
		if err := <-ended; err != nil {
			failed++
		}
	}
	assert.Equal(t, failed, 1)
	assert.Equal(t, slow[1].Body.Len(), size)
	// All slots are free again.
	for range link.MaxConcurrent {
		assert.Assert(t, p.transfers.Start(&link.Transfer{}))
	}
	assert.Assert(t, !p.transfers.Start(&link.Transfer{}))
	assert.Equal(t, len(p.transferReady), 0)
}
