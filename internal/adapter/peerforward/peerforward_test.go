package peerforward

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/peertls"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

func identity(t *testing.T, authority *peertls.Pair) *peertls.Config {
	t.Helper()
	pair, err := peertls.IssuePeer(authority, "vm", time.Now(), time.Hour)
	assert.NilError(t, err)
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority.Certificate)
	return peertls.New(certificate, pool)
}

func authority(t *testing.T) *peertls.Pair {
	t.Helper()
	pair, err := peertls.IssueAuthority("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	return pair
}

type ownerFunc func(w http.ResponseWriter, r *http.Request, call *port.Call)

func (f ownerFunc) ServeForwarded(w http.ResponseWriter, r *http.Request, call *port.Call) {
	f(w, r, call)
}

func forward(t *testing.T, server, client *peertls.Config, handler http.Handler, body string) (*port.Response, error) {
	t.Helper()
	ts := httptest.NewUnstartedServer(handler)
	ts.TLS = server.Server
	ts.StartTLS()
	t.Cleanup(ts.Close)
	forwarder := NewClient(client, time.Now)
	t.Cleanup(forwarder.Close)
	call := &port.Call{ID: "id", Method: http.MethodPost, Target: "/returns?a=1", Header: http.Header{"X-A": {"1"}}, Deadline: time.Now().Add(5 * time.Second)}
	if body != "" {
		call.Body, call.ContentLength = io.NopCloser(&zeroReader{remaining: len(body)}), int64(len(body))
	}
	return forwarder.Forward(t.Context(), membership.VM{ID: "vm", PeerAddress: ts.Listener.Addr().String()}, call)
}

type zeroReader struct{ remaining int }

func (r *zeroReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	count := min(len(p), r.remaining)
	r.remaining -= count
	return count, nil
}

// Guards against changed or mixed-up outcomes: a refusal must arrive unchanged at the
// entry node, and a response to another request must result in an unknown outcome.
func TestOutcomesAreForwardedUnchanged(t *testing.T) {
	peer := identity(t, authority(t))
	refusing := NewHandler(ownerFunc(func(w http.ResponseWriter, _ *http.Request, call *port.Call) {
		assert.Check(t, call.Target == "/returns?a=1" && call.Header.Get("X-A") == "1")
		callhttp.WriteError(w, port.Refuse(port.ReasonQueueFull, 1500*time.Millisecond, "full"))
	}), time.Now)
	_, err := forward(t, peer, peer, refusing, "signed")
	var refusal *port.Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, *refusal, port.Refusal{Reason: port.ReasonQueueFull, RetryAfter: 1500 * time.Millisecond, Detail: "full"})

	mismatched := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(callhttp.HeaderRequestID, "another")
		_, _ = io.WriteString(w, "response to another request")
	})
	_, err = forward(t, peer, peer, mismatched, "")
	var unknown *port.UnknownOutcome
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
}

// Guards against sending a request to a process that is not an authenticated peer but now
// has a peer's old address. No byte of the request may reach it, so that the request is
// proven not to have run.
func TestUnknownPeerReceivesNothing(t *testing.T) {
	unknownPeer := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("an unknown peer received the call") })
	_, err := forward(t, identity(t, authority(t)), identity(t, authority(t)), unknownPeer, "")
	var refusal *port.Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.Reason, port.ReasonUnreachable)
}

// Measures the memory of an idle connection between two nodes, with both ends in this
// process. The result is reported in docs/CAPACITY.md; the test does not check it.
func TestMemoryOfIdleConnections(t *testing.T) {
	if os.Getenv("TAMARACK_MEASURE") == "" {
		t.Skip("a measurement; set TAMARACK_MEASURE=1")
	}
	const count = 100
	peer := identity(t, authority(t))
	allArrived := make(chan struct{})
	var arrived atomic.Int32
	handler := NewHandler(ownerFunc(func(_ http.ResponseWriter, r *http.Request, _ *port.Call) {
		if arrived.Add(1) == count {
			close(allArrived)
		}
		select {
		case <-allArrived:
		case <-r.Context().Done():
		}
	}), time.Now)
	ts := httptest.NewUnstartedServer(handler)
	ts.TLS = peer.Server
	ts.StartTLS()
	defer ts.Close()
	client := NewClient(peer, time.Now)
	client.transport.MaxIdleConnsPerHost = count
	defer client.Close()
	before := memoryInUse()
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() {
			call := &port.Call{ID: strconv.Itoa(i), Method: http.MethodGet, Target: "/", Header: http.Header{}, Deadline: time.Now().Add(20 * time.Second)}
			response, err := client.Forward(t.Context(), membership.VM{PeerAddress: ts.Listener.Addr().String()}, call)
			assert.Check(t, err)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
		})
	}
	calls.Wait()
	t.Logf("%d bytes a connection, both ends", (int64(memoryInUse())-int64(before))/count)
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
