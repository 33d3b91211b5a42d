package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A target responds with a failure, and another with a large response, while the account is
// full but for what is reserved. Guards against a failure response that keeps the reserved
// memory: the large response then waits for memory for good, with its request, its caller and
// its connections.
func TestFailureResponseLeavesItsMemory(t *testing.T) {
	f := newFleet(t, 2)
	f.limitMemory(0, 40<<10)
	other := f.proxies[0].memory.open("other")
	defer other.close()
	assert.Assert(t, other.admit(context.Background(), "entry", 8<<10) == nil)
	f.proxies[0].stats["t1"].RecordFailure(time.Now())
	f.targets[0].serve = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	body := make([]byte, 200<<10)
	f.targets[1].serve = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "proof")
		_, _ = w.Write(body)
	}
	responses := make(chan *httptest.ResponseRecorder, 1)
	go func() { responses <- f.send(0, "GET", "/idempotent/x", "") }()
	waitFor(t, "the response", func() bool { return len(responses) == 1 })
	w := <-responses
	assert.Equal(t, f.targets[0].arrived.Load(), int32(1))
	assert.Assert(t, w.Code == http.StatusOK && w.Body.Len() == len(body), "%d with %d bytes", w.Code, w.Body.Len())
}
