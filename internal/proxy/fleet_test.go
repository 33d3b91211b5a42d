package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/adapter/metrics"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/targetreport"
)

// headers holds the header names used by the callers and targets of the tests.
var headers = Headers{
	RequestID: "X-Id", Deadline: "X-Deadline-Ms", ExpectedTarget: "X-Expected", CallerService: "X-Caller",
	Signature: "X-Proof", NotExecuted: "X-Did-Not-Run", Load: "X-Load",
	TargetID: "X-Target", Warmup: "X-Warmup-Ms", RequestLimit: "X-Limit", Leaving: "X-Leaving",
}

// decodeTestLoad decodes "running,waiting,slots", optionally followed by the work factor in percent.
func decodeTestLoad(text string) (targetreport.Load, error) {
	var load targetreport.Load
	count, err := fmt.Sscanf(text, "%d,%d,%d,%f", &load.Running, &load.Waiting, &load.Slots, &load.WorkFactor)
	load.WorkFactor /= 100
	if count >= 3 {
		return load, nil
	}
	return targetreport.Load{}, err
}

// testDrainGrace is the DrainGrace of the nodes; requests are much faster.
const testDrainGrace = time.Minute

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// shiftedClock is ahead of the wall clock by an offset.
type shiftedClock struct{ offset atomic.Int64 }

func (c *shiftedClock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

func (c *shiftedClock) advance(d time.Duration) { c.offset.Add(int64(d)) }

// testTarget is a target of the fleet. Tests may replace serve.
type testTarget struct {
	id      string
	arrived atomic.Int32
	serve   func(w http.ResponseWriter, r *http.Request)
	// address is the listen address; server is the running process until it crashes.
	address string
	server  atomic.Pointer[http.Server]
}

func (s *testTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.arrived.Add(1)
	w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
	if expected := r.Header.Get(headers.ExpectedTarget); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.serve(w, r)
}

// respond responds like a target that ran the request.
func (s *testTarget) respond(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(headers.Signature, "proof")
	fmt.Fprintf(w, "%s ran %s %s", s.id, r.URL, body)
}

// shedHandler returns a handler that sheds requests without running them.
func shedHandler(load string) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.NotExecuted, "1")
		w.Header().Set(headers.Load, load)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// fleet is a mesh of real proxies on loopback, one for each target.
type fleet struct {
	proxies []*Proxy
	targets []*testTarget
	table   *mesh.Table
	logs    *lockedBuffer
}

// lockedBuffer collects the log lines of all nodes.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

const testSlots = 4

// newFleet starts the given number of nodes, each with a target of the service "s". The
// routes "/idempotent/" and "/once/" lead to this service.
func newFleet(t testing.TB, count int) *fleet {
	f := &fleet{logs: &lockedBuffer{}, table: mesh.NewTable(&mesh.Config{Version: 1, Routes: []mesh.Route{
		testRoute("/idempotent/", mesh.Idempotent), testRoute("/once/", mesh.NonIdempotent),
	}})}
	members := make([]*mesh.Member, count)
	peers := listenOnSamePort(t, count)
	for i := range count {
		target := &testTarget{id: fmt.Sprint("t", i)}
		target.serve = target.respond
		f.targets = append(f.targets, target)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", i+2))
		assert.NilError(t, err)
		target.address = listener.Addr().String()
		target.server.Store(serveUntilCleanup(t, listener, target))
		members[i] = &mesh.Member{Target: mesh.Target{
			ID: target.id, Service: "s", Address: listener.Addr().String(), FailureDomain: "a", Slots: testSlots, State: mesh.Ready,
		}}
	}
	for i := range count {
		f.start(t, i, peers[i], members)
	}
	return f
}

func (f *fleet) start(t testing.TB, i int, peers net.Listener, members []*mesh.Member) {
	options := exchange.Options{DialTimeout: 150 * time.Millisecond, IdleTimeout: time.Second, AckTimeout: time.Second, MaxIdle: 8, MaxHeaderBytes: 64 << 10}
	p := New(Config{
		Headers: headers, DecodeLoad: decodeTestLoad, FailureDomain: "a", Region: "r", Regions: map[string]string{"a": "r"},
		TargetAddress: members[i].Address, PeerPort: peers.Addr().(*net.TCPAddr).Port, RetryRatio: 0.2, RetrySlack: 100, DrainGrace: testDrainGrace, Seed: uint64(i),
	}, Ports{
		Clock: wallClock{}, Peers: exchange.NewPool(options), Target: exchange.NewPool(options),
		Log: &log.Logger{
			TimeFormat: time.RFC3339Nano, Context: log.NewContext(nil).Str("node", fmt.Sprint("n", i)).Value(),
			Writer: &log.IOWriter{Writer: f.logs},
		}, Meter: metrics.New(),
	})
	p.SetService("caller-service")
	p.SetSnapshot(&Snapshot{Table: f.table, Services: map[string][]*mesh.Member{"s": members}, Local: members[i], ListedVMs: len(members)})
	serveUntilCleanup(t, peers, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != PingPath {
			p.ServePeer(w, r)
		}
	}))
	f.proxies = append(f.proxies, p)
}

// setDialTimeout sets how long nodes wait for connections.
func (f *fleet) setDialTimeout(timeout time.Duration) {
	options := exchange.Options{DialTimeout: timeout, IdleTimeout: time.Second, AckTimeout: time.Second, MaxIdle: 8, MaxHeaderBytes: 64 << 10}
	for _, p := range f.proxies {
		p.ports.Peers, p.ports.Target = exchange.NewPool(options), exchange.NewPool(options)
	}
}

// setTimeouts makes requests and connections wait for long, so that a starved machine refuses none.
func (f *fleet) setTimeouts(timeout time.Duration) {
	for i := range f.table.Config.Routes {
		route := &f.table.Config.Routes[i]
		route.Timeout, route.TargetLatency = timeout, timeout
	}
	f.setDialTimeout(timeout)
}

func testRoute(prefix string, kind mesh.Kind) mesh.Route {
	return mesh.Route{
		Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 2 * time.Second,
		TargetLatency: 200 * time.Millisecond, MaxAttempts: 2, Shares: []mesh.Share{{Service: "s", Weight: 1}},
	}
}

// listenOnSamePort listens on the same port of several loopback addresses. A port that is
// free on the first address may be in use on another by a different process, so several
// ports are tried.
func listenOnSamePort(t testing.TB, count int) []net.Listener {
	const tries = 20
	var failed error
	for range tries {
		listeners, err := trySamePort(count)
		if err == nil {
			return listeners
		}
		failed = err
	}
	assert.NilError(t, failed)
	return nil
}

func trySamePort(count int) ([]net.Listener, error) {
	var listeners []net.Listener
	port := "0"
	for i := range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("127.0.0.%d", i+2), port))
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, err
		}
		listeners = append(listeners, listener)
		port = strconv.Itoa(listener.Addr().(*net.TCPAddr).Port)
	}
	return listeners, nil
}

func serveUntilCleanup(t testing.TB, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return server
}

var requestCount atomic.Int64

func nextRequestID() string { return fmt.Sprint("request-", requestCount.Add(1)) }

// lastRequestID returns the id of the last request sent.
func lastRequestID() string { return fmt.Sprint("request-", requestCount.Load()) }

// send sends a request to a node as a caller does.
func (f *fleet) send(node int, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "h"
	r.Header.Set(headers.RequestID, nextRequestID())
	w := httptest.NewRecorder()
	f.proxies[node].ServeCaller(w, r)
	return w
}

func (f *fleet) totalArrivals() int {
	total := 0
	for _, target := range f.targets {
		total += int(target.arrived.Load())
	}
	return total
}
