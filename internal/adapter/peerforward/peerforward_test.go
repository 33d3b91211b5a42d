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

func (f ownerFunc) ServePeer(w http.ResponseWriter, r *http.Request, call *port.Call) { f(w, r, call) }

func forward(t *testing.T, server, client *peertls.Config, handler http.Handler, body string) (*port.Response, error) {
	t.Helper()
	there := httptest.NewUnstartedServer(handler)
	there.TLS = server.Server
	there.StartTLS()
	t.Cleanup(there.Close)
	forwarder := NewClient(client, time.Now)
	t.Cleanup(forwarder.Close)
	call := &port.Call{ID: "id", Method: http.MethodPost, Target: "/returns?a=1", Header: http.Header{"X-A": {"1"}}, Deadline: time.Now().Add(5 * time.Second)}
	if body != "" {
		call.Body, call.ContentLength = io.NopCloser(&zeroReader{left: len(body)}), int64(len(body))
	}
	return forwarder.Forward(t.Context(), membership.VM{ID: "vm", PeerAddress: there.Listener.Addr().String()}, call)
}

type zeroReader struct{ left int }

func (r *zeroReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	count := min(len(p), r.left)
	r.left -= count
	return count, nil
}

// What a peer says of a call arrives as it was said, and only for this call.
func TestOutcomesOverPeers(t *testing.T) {
	peer := identity(t, authority(t))
	refuse := NewHandler(ownerFunc(func(w http.ResponseWriter, _ *http.Request, call *port.Call) {
		assert.Check(t, call.Target == "/returns?a=1" && call.Header.Get("X-A") == "1")
		callhttp.WriteError(w, port.Refuse(port.ReasonQueueFull, 1500*time.Millisecond, "full"))
	}), time.Now)
	_, err := forward(t, peer, peer, refuse, "signed")
	var refusal *port.Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, *refusal, port.Refusal{Reason: port.ReasonQueueFull, RetryAfter: 1500 * time.Millisecond, Detail: "full"})

	crossed := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(callhttp.HeaderRequestID, "another")
		_, _ = io.WriteString(w, "someone else's")
	})
	_, err = forward(t, peer, peer, crossed, "")
	var unknown *port.UnknownOutcome
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
}

// A process that is no peer sits at a peer's old address. Not a byte of the
// caller's return reaches it, so the return did not run.
func TestStrangerGetsNothing(t *testing.T) {
	stranger := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a stranger got the call") })
	_, err := forward(t, identity(t, authority(t)), identity(t, authority(t)), stranger, "")
	var refusal *port.Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.Reason, port.ReasonUnreachable)
}

// An idle connection between two nodes, both of its ends in this process. The
// figure is for docs/CAPACITY.md and gates nothing.
func TestMemoryOfIdleConnections(t *testing.T) {
	if os.Getenv("TAMARACK_MEASURE") == "" {
		t.Skip("a measurement; set TAMARACK_MEASURE=1")
	}
	const count = 100
	peer := identity(t, authority(t))
	all := make(chan struct{})
	var arrived atomic.Int32
	handler := NewHandler(ownerFunc(func(_ http.ResponseWriter, r *http.Request, _ *port.Call) {
		if arrived.Add(1) == count {
			close(all)
		}
		select {
		case <-all:
		case <-r.Context().Done():
		}
	}), time.Now)
	there := httptest.NewUnstartedServer(handler)
	there.TLS = peer.Server
	there.StartTLS()
	defer there.Close()
	client := NewClient(peer, time.Now)
	client.transport.MaxIdleConnsPerHost = count
	defer client.Close()
	before := inUse()
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() {
			call := &port.Call{ID: strconv.Itoa(i), Method: http.MethodGet, Target: "/", Header: http.Header{}, Deadline: time.Now().Add(20 * time.Second)}
			answer, err := client.Forward(t.Context(), membership.VM{PeerAddress: there.Listener.Addr().String()}, call)
			assert.Check(t, err)
			if err == nil {
				_, _ = io.Copy(io.Discard, answer.Body)
				answer.Body.Close()
			}
		})
	}
	calls.Wait()
	t.Logf("%d bytes a connection, both ends", (int64(inUse())-int64(before))/count)
}

func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
