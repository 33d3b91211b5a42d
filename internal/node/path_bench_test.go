package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callerhttp"
	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/peerforward"
	"tamarackquay/internal/adapter/peertls"
	"tamarackquay/internal/adapter/targethttp"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/requestbody"
)

// newIdentity returns a peer's TLS identity, issued by an authority of the test.
func newIdentity(tb testing.TB) *peertls.Config {
	tb.Helper()
	authority, err := peertls.IssueAuthority("test", time.Now(), time.Hour)
	assert.NilError(tb, err)
	pair, err := peertls.IssuePeer(authority, "peer", time.Now(), time.Hour)
	assert.NilError(tb, err)
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	assert.NilError(tb, err)
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority.Certificate)
	return peertls.New(certificate, pool)
}

// BenchmarkForwardedCall measures one small call over loopback: caller, entry
// node, owner node, target and back, all in this process.
func BenchmarkForwardedCall(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
	defer upstream.Close()
	identity := newIdentity(b)
	owner := newEntry(b, nil)
	owner.config.Self.Service = "tally"
	owner.ports.Target = targethttp.New(strings.TrimPrefix(upstream.URL, "http://"), 100)
	owner.gate.Configure(newTerms(owner.current.Load(), owner.config))
	peers := httptest.NewUnstartedServer(peerforward.NewHandler(owner, time.Now))
	peers.TLS = identity.Server
	peers.Config.ConnContext = callhttp.ConnContext
	peers.StartTLS()
	defer peers.Close()
	entry := newEntry(b, nil)
	entry.ports.Forward = peerforward.NewClient(identity, time.Now)
	view := &membership.View{Targets: map[string][]membership.VM{"tally": {{
		ID: "owner", FailureDomain: "domain-0", Region: "region-0", Service: "tally", PeerAddress: peers.Listener.Addr().String(),
	}}}}
	entry.view.Store(view)
	callers := callerhttp.NewServer(entry, callerhttp.Limits{HeaderBytes: 32 << 10, BodyBytes: 1 << 20})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() { _ = callers.Run(listener) }()
	defer callers.Close()
	request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/tallies/1", nil)
	assert.NilError(b, err)
	request.Header.Set("Authorization", "Bearer token")
	b.ReportAllocs()
	for b.Loop() {
		response, err := http.DefaultTransport.RoundTrip(request)
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatal(response.Status)
		}
	}
}

// maxEntryAllocations bounds the allocations of an entry node for one small call,
// including the recorder and the fake response of this test.
const maxEntryAllocations = 60

// The allocations of the entry node must not grow unnoticed: at 430,000 calls/s
// over 1,600 nodes garbage collection costs CPU time on every core.
func TestEntryAllocations(t *testing.T) {
	owners := &fakeOwners{respond: func(context.Context, int, membership.VM, *port.Call) (*port.Response, error) {
		return okResponse("whole"), nil
	}}
	n := newEntry(t, owners)
	request := httptest.NewRequest(http.MethodGet, "/tallies/1", nil)
	request.Header.Set("Authorization", "Bearer token")
	got := testing.AllocsPerRun(200, func() {
		owners.calls, owners.to = owners.calls[:0], owners.to[:0]
		n.ServeCaller(httptest.NewRecorder(), request)
	})
	t.Logf("%.0f allocations", got)
	assert.Assert(t, got <= maxEntryAllocations, "%.0f allocations", got)
}

// A choice among 1,600 targets must allocate no more than one among six.
func TestChoiceAllocations(t *testing.T) {
	for _, each := range []int{3, 800} {
		n := newEntry(t, nil)
		n.view.Store(viewOf(each))
		current := n.current.Load()
		route := current.Contract("co-operative").Route("/tallies")
		f := n.newForwarder(&port.Call{Service: "tally"}, route, nil, &requestbody.Body{})
		f.choose(time.Now(), 0)
		got := testing.AllocsPerRun(200, func() { f.choose(time.Now(), 0) })
		t.Logf("%d targets: %.0f allocations", 2*each, got)
		assert.Assert(t, got <= 2)
	}
}
