package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/link"
	"tamarackquay/internal/membudget"
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

// longestStall returns the longest time for which a receiver of the node has taken nothing.
func (m *memory) longestStall() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := time.Duration(0)
	for h := range m.writing {
		longest = max(longest, m.account.Stalled(h, m.clock.Now()))
	}
	return longest
}

// A target pauses in the middle of its response, and the caller has read all of it until there.
// Guards against ending the response because its receiver took nothing for some seconds, as if
// it were a slow reader.
func TestReaderThatWaitsForTheTargetIsNotSlow(t *testing.T) {
	const half = 200 << 10
	f := newFleet(t, 1)
	f.widen(8)
	clock := f.limitMemory(0, 100<<10)
	resume := make(chan struct{})
	f.targets[0].serve = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "proof")
		w.Header().Set("Content-Length", strconv.Itoa(2*half))
		_, _ = w.Write(make([]byte, half))
		_ = http.NewResponseController(w).Flush()
		<-resume
		_, _ = w.Write(make([]byte, half))
	}
	caller := openSlowReader(t, f.callerAddress(t, 0))
	response, err := http.ReadResponse(caller.reader, nil)
	assert.NilError(t, err)
	// The server of the callers' listener keeps up to 4 KiB until more follows.
	_, err = io.CopyN(io.Discard, response.Body, half-8<<10)
	assert.NilError(t, err)
	f.pass(0, clock, 2*membudget.SlowAfter)
	waitFor(t, "a receiver that isn't blamed", func() bool { return f.proxies[0].memory.longestStall() == 0 })
	other := f.proxies[0].memory.open("other")
	assert.Assert(t, other.admit(context.Background(), "entry", 70<<10) != nil)
	other.close()
	close(resume)
	rest, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, rest, int64(half+8<<10))
}

// All sending slots of the link are in use. Guards against blaming the receiver for the time
// in which its response waits for a slot.
func TestReceiverThatWaitsForTheLinkIsNotSlow(t *testing.T) {
	f := newFleet(t, 1)
	p := f.proxies[0]
	p.link = link.NewPacer(100e6)
	clock := f.limitMemory(0, 1<<20)
	hold := p.memory.open("x")
	defer hold.close()
	assert.Assert(t, hold.admit(context.Background(), "owner", 0) == nil)
	recorder := httptest.NewRecorder()
	hold.startWriting(recorder)
	for range link.MaxConcurrent {
		assert.Assert(t, p.transfers.Start(&link.Transfer{}))
	}
	writer := newPacedWriter(context.Background(), p, recorder, &link.Transfer{Due: time.Now().Add(time.Minute)})
	writer.hold = hold
	written := make(chan error, 1)
	go func() {
		_, err := writer.Write(make([]byte, 2*pacedChunk))
		written <- err
	}()
	waitFor(t, "a waiting response", func() bool { _, waiting, _ := p.Transfers(); return waiting == 1 })
	f.pass(0, clock, 2*membudget.SlowAfter)
	assert.Equal(t, p.memory.longestStall(), time.Duration(0))
	p.endTransfer()
	assert.NilError(t, <-written)
	f.pass(0, clock, 2*membudget.SlowAfter)
	assert.Assert(t, p.memory.longestStall() >= membudget.SlowAfter)
}
