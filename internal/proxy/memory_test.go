package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callerhttp"
	"tamarackquay/internal/membudget"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
)

// manualClock is a clock that the test moves.
type manualClock struct{ nanos atomic.Int64 }

func (c *manualClock) Now() time.Time { return time.Unix(0, c.nanos.Load()) }

// limitMemory gives a node an account with its own clock.
func (f *fleet) limitMemory(node int, limit int64) *manualClock {
	p, clock := f.proxies[node], &manualClock{}
	clock.nanos.Store(time.Unix(1000, 0).UnixNano())
	ports := p.ports
	ports.Clock = clock
	p.memory = newMemory(limit, ports, p.requestLog)
	return clock
}

// pass moves a node's clock while the node runs.
func (f *fleet) pass(node int, clock *manualClock, duration time.Duration) {
	for range duration / (100 * time.Millisecond) {
		clock.nanos.Add(int64(100 * time.Millisecond))
		f.proxies[node].memory.tick()
	}
}

// widen gives the targets many slots and the requests much time, so that only memory limits
// them.
func (f *fleet) widen(slots int) {
	route := testRoute("/idempotent/", mesh.Idempotent)
	route.Timeout, route.TargetLatency = time.Minute, time.Minute
	f.setDialTimeout(time.Minute)
	table := mesh.NewTable(&mesh.Config{Version: 2, Routes: []mesh.Route{route}})
	for _, p := range f.proxies {
		snapshot := *p.snapshot.Load()
		local := *snapshot.Local
		local.Slots = slots
		snapshot.Table, snapshot.Local = table, &local
		snapshot.Services = map[string][]*mesh.Member{"s": {&local}}
		p.SetSnapshot(&snapshot)
	}
}

// serveBody makes a target respond with a body.
func (s *testTarget) serveBody(body []byte, served *atomic.Int32) {
	s.serve = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "proof")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if _, err := w.Write(body); err == nil {
			served.Add(1)
		}
	}
}

// callerAddress starts a node's listener for callers.
func (f *fleet) callerAddress(t testing.TB, node int) string {
	server := callerhttp.NewServer(f.proxies[node], callerhttp.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 30, SendBytes: 64 << 10})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Run(listener)
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// slowReader is a caller that has read only the beginning of its response.
type slowReader struct {
	conn   net.Conn
	reader *bufio.Reader
}

// openSlowReader sends a request and reads the first bytes of the response.
func openSlowReader(t *testing.T, address string) *slowReader {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "GET /idempotent/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", headers.RequestID, nextRequestID())
	s := &slowReader{conn: conn, reader: bufio.NewReader(conn)}
	_, err = s.reader.Peek(12)
	assert.NilError(t, err)
	return s
}

// finish reads the rest of the response. An error means that it visibly broke off.
func (s *slowReader) finish() (int, []byte, error) {
	response, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return 0, nil, err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// 200 callers request 2 MB each and stop reading. Guards against a node whose memory grows
// with each of them: without the account, it buffers 1 MB for each. Guards as well against
// responses that end early and look complete, against an account that the slow readers
// block for good, and against one that is not empty in the end.
func TestMemoryIsBoundedWithManySlowReaders(t *testing.T) {
	const readers, limit, overhead = 200, 16 << 20, 24 << 20
	f := newFleet(t, 1)
	f.widen(2 * readers)
	clock := f.limitMemory(0, limit)
	body := bytes.Repeat([]byte("0123456789abcdef"), 2<<20/16)
	var served atomic.Int32
	f.targets[0].serveBody(body, &served)
	address := f.callerAddress(t, 0)
	before := liveHeap()
	slow := make([]*slowReader, readers)
	var opening sync.WaitGroup
	// On a busy machine, more at once would miss the few milliseconds that a request may wait
	// for a slot.
	const atOnce = 4
	for first := range atOnce {
		opening.Go(func() {
			for i := first; i < readers; i += atOnce {
				slow[i] = openSlowReader(t, address)
			}
		})
	}
	opening.Wait()
	assert.Equal(t, f.totalArrivals(), readers)
	used := int64(liveHeap()) - int64(before)
	t.Logf("%d bytes of heap, %d of them accounted", used, f.proxies[0].memory.total())
	assert.Assert(t, used < limit+overhead, "%d bytes", used)

	waitFor(t, "the end of the excess readers", func() bool {
		f.pass(0, clock, 2*membudget.SlowAfter)
		return strings.Count(f.logs.String(), "slow reader ended") >= readers-membudget.MaxSlowReaders
	})
	var complete, broken atomic.Int32
	var finishing sync.WaitGroup
	for _, s := range slow {
		finishing.Go(func() {
			status, got, err := s.finish()
			if err != nil {
				broken.Add(1)
				return
			}
			complete.Add(1)
			assert.Check(t, status == http.StatusOK && bytes.Equal(got, body), "%d with %d bytes", status, len(got))
		})
	}
	finishing.Wait()
	t.Logf("%d complete, %d broken", complete.Load(), broken.Load())
	assert.Assert(t, broken.Load() >= readers-membudget.MaxSlowReaders && complete.Load() > 0)
	waitFor(t, "an empty account", func() bool { return f.proxies[0].memory.total() == 0 })
	assert.Equal(t, f.proxies[0].InFlight(), int64(0))
}

func (m *memory) total() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.account.Total()
}

// liveHeap returns the bytes of heap that are in use.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// unreadBody fails the test if it is read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body was read")
	return 0, io.EOF
}

// Guards against reading the body of a request for which there is no memory, and against a
// refusal of a request that ran. A slow reader that holds enough is ended for the request.
func TestRequestIsRefusedWithoutMemory(t *testing.T) {
	f := newFleet(t, 1)
	f.limitMemory(0, 100<<10)
	hold := f.proxies[0].memory.open("other")
	assert.Assert(t, hold.admit(context.Background(), "entry", 50<<10) == nil)
	r := httptest.NewRequest("POST", "/once/x", unreadBody{t})
	r.Host, r.ContentLength = "h", 40<<10
	w := httptest.NewRecorder()
	f.proxies[0].ServeCaller(w, r)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, reasonOf(w), port.ReasonMemory)
	assert.Equal(t, w.Header().Get("Retry-After"), "0.250")
	assert.Equal(t, f.totalArrivals(), 0)

	assert.Equal(t, f.send(0, "POST", "/once/x", "small").Code, http.StatusOK)
	hold.close()
	assert.Equal(t, f.send(0, "POST", "/once/x", strings.Repeat("x", 40<<10)).Code, http.StatusOK)
	assert.Equal(t, f.proxies[0].memory.total(), int64(0))
}

// A slow reader holds nearly all memory. Guards against refusing a request while the memory
// can be had from the slow reader, whose response visibly breaks off.
func TestSlowReaderEndsForRequest(t *testing.T) {
	f := newFleet(t, 1)
	f.widen(8)
	clock := f.limitMemory(0, 100<<10)
	var served atomic.Int32
	f.targets[0].serveBody(make([]byte, 24<<20), &served)
	large := f.targets[0].serve
	f.targets[0].serve = func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			large(w, r)
			return
		}
		f.targets[0].respond(w, r)
	}
	slow := openSlowReader(t, f.callerAddress(t, 0))
	hold := f.proxies[0].memory.open("other")
	assert.Assert(t, hold.admit(context.Background(), "entry", 50<<10) == nil)
	// The reader counts as slow only once the buffers of its connection are full.
	waitFor(t, "a request to be served", func() bool {
		f.pass(0, clock, 2*membudget.SlowAfter)
		return f.send(0, "POST", "/idempotent/x", strings.Repeat("x", 10<<10)).Code == http.StatusOK
	})
	_, _, err := slow.finish()
	assert.Assert(t, err != nil, "a response that was ended looks complete")
	hold.close()
	waitFor(t, "an empty account", func() bool { return f.proxies[0].memory.total() == 0 })
	assert.Assert(t, strings.Contains(f.logs.String(), "slow reader ended"))
}

// The owner node of the nearest target has no memory. The request runs at another target,
// once.
func TestOwnerWithoutMemoryIsPassedOver(t *testing.T) {
	f := newFleet(t, 2)
	f.limitMemory(1, 10)
	f.proxies[0].stats["t0"].RecordFailure(time.Now())
	assert.Equal(t, f.send(0, "POST", "/once/x", "").Body.String(), "t0 ran /once/x ")
	assert.Equal(t, f.totalArrivals(), 1)
}

// A caller reads nothing of a large response. Guards against a target that waits for the
// caller, and would cut off the response, while the account has room.
func TestResponseIsReadAheadOfItsReader(t *testing.T) {
	f := newFleet(t, 2)
	f.widen(8)
	for node := range f.proxies {
		f.limitMemory(node, 4<<30)
	}
	body := bytes.Repeat([]byte("0123456789abcdef"), 24<<20/16)
	var served atomic.Int32
	f.targets[0].serveBody(body, &served)
	slow := openSlowReader(t, f.callerAddress(t, 0))
	waitFor(t, "the target to have sent its response", func() bool { return served.Load() == 1 })
	status, got, err := slow.finish()
	assert.NilError(t, err)
	assert.Assert(t, status == http.StatusOK && bytes.Equal(got, body))
}

// A target ends in the middle of a response that is read ahead. Guards against a response
// that looks complete, against a reading goroutine that stays, and against memory that is
// not returned.
func TestSourceBreaksWhileReadAhead(t *testing.T) {
	for _, limit := range []int64{64 << 10, 1 << 30} {
		f := newFleet(t, 1)
		f.limitMemory(0, limit)
		f.targets[0].serve = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headers.Signature, "proof")
			w.Header().Set("Content-Length", strconv.Itoa(4<<20))
			_, _ = w.Write(make([]byte, 3<<20))
			panic(http.ErrAbortHandler)
		}
		slow := openSlowReader(t, f.callerAddress(t, 0))
		_, _, err := slow.finish()
		assert.Assert(t, err != nil)
		waitFor(t, "an empty account", func() bool { return f.proxies[0].memory.total() == 0 })
	}
}

// Callers send bodies and request large responses at two nodes with little memory; some leave
// in the middle, and some responses break. Guards against a refusal for lack of memory of a
// request that ran, against a response that ends early and looks complete, against a
// non-idempotent request that runs twice, and against memory that is not returned.
func TestRefusalsForMemoryAreTrueUnderLoad(t *testing.T) {
	const callers, requests = 12, 15
	f := newFleet(t, 2)
	for node := range f.proxies {
		f.limitMemory(node, 150<<10)
	}
	var ran sync.Map
	body := bytes.Repeat([]byte("0123456789abcdef"), 3<<20/2/16)
	for _, target := range f.targets {
		target.serve = func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if _, twice := ran.LoadOrStore(r.Header.Get(headers.RequestID), true); twice {
				t.Error("a request ran twice")
			}
			w.Header().Set(headers.Signature, "proof")
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			if strings.HasSuffix(r.URL.Path, "breaks") {
				_, _ = w.Write(body[:len(body)-1])
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write(body)
		}
	}
	addresses := []string{f.callerAddress(t, 0), f.callerAddress(t, 1)}
	var complete, refused, broken atomic.Int32
	var sending sync.WaitGroup
	for caller := range callers {
		sending.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := range requests {
				path := "/once/x"
				if i%5 == 4 {
					path = "/once/breaks"
				}
				id := nextRequestID()
				r, _ := http.NewRequest("POST", "http://"+addresses[caller%2]+path, strings.NewReader(strings.Repeat("x", i*10<<10)))
				r.Host = "h"
				r.Header.Set(headers.RequestID, id)
				response, err := client.Do(r)
				if err != nil {
					broken.Add(1)
					continue
				}
				if i%7 == 6 {
					_ = response.Body.Close()
					continue
				}
				got, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				switch _, executed := ran.Load(id); {
				case err != nil:
					broken.Add(1)
				case response.StatusCode == http.StatusOK:
					complete.Add(1)
					assert.Check(t, bytes.Equal(got, body))
				case response.Header.Get("Tamarack-Outcome") == "did-not-run":
					refused.Add(1)
					assert.Check(t, !executed, "%s: %s", id, got)
				}
			}
		})
	}
	sending.Wait()
	t.Logf("%d complete, %d refused, %d broken", complete.Load(), refused.Load(), broken.Load())
	assert.Assert(t, complete.Load() > 0 && broken.Load() > 0)
	assert.Assert(t, strings.Contains(f.logs.String(), `"reason":"memory"`))
	for _, p := range f.proxies {
		waitFor(t, "empty accounts", func() bool { return p.memory.total() == 0 && p.InFlight() == 0 })
		p.mu.Lock()
		assert.Equal(t, p.localRuns.memory.Held(), int64(0))
		p.mu.Unlock()
	}
}

// A target crashes while it holds 1.6 MB of requests. Guards against sending its next
// incarnation as much again at once, and against holding back what fits.
func TestCrashedTargetGetsFewerBytesAtOnce(t *testing.T) {
	const size, requests = 400_000, 4
	f := newFleet(t, 1)
	target := f.targets[0]
	assert.Equal(t, f.send(0, "POST", "/once/x", "").Code, http.StatusOK)
	var holding atomic.Int32
	release := make(chan struct{})
	started := make(chan struct{}, requests)
	target.serve = func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch n := holding.Add(1); {
		case n == requests:
			target.crash()
			fallthrough
		case n < requests:
			<-r.Context().Done()
		default:
			started <- struct{}{}
			<-release
			target.respond(w, r)
		}
	}
	var sending sync.WaitGroup
	for i := range requests {
		sending.Go(func() { f.send(0, "POST", fmt.Sprint("/once/", i), strings.Repeat("x", size)) })
	}
	sending.Wait()
	memory := &f.proxies[0].localRuns.memory
	waitFor(t, "a bound", func() bool {
		f.proxies[0].mu.Lock()
		defer f.proxies[0].mu.Unlock()
		return memory.Bound() == requests*size/4*3 && memory.Held() == 0
	})
	target.restart(t)
	arrived := f.totalArrivals()
	for i := range 3 {
		sending.Go(func() {
			assert.Check(t, f.send(0, "POST", fmt.Sprint("/once/again", i), strings.Repeat("x", size)).Code == http.StatusOK)
		})
	}
	for range 3 {
		<-started
	}
	assert.Equal(t, reasonOf(f.send(0, "POST", "/once/more", "x")), port.ReasonMemory)
	assert.Equal(t, f.totalArrivals(), arrived+3)
	close(release)
	sending.Wait()
	assert.Equal(t, f.send(0, "POST", "/once/more", "x").Code, http.StatusOK)
}
