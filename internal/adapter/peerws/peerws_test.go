package peerws

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tamarackquay/internal/adapter/peertls"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// fleet issues certificates of one authority.
type fleet struct {
	t         testing.TB
	authority *peertls.Pair
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	authority, err := peertls.IssueAuthority("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	return &fleet{t: t, authority: authority}
}

func (f *fleet) config(name string) *peertls.Config {
	f.t.Helper()
	pair, err := peertls.IssuePeer(f.authority, name, time.Now(), time.Hour)
	assert.NilError(f.t, err)
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	assert.NilError(f.t, err)
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(f.authority.Certificate)
	return peertls.New(certificate, pool)
}

// serve starts a peer's listener and returns the VM that it stands for.
func (f *fleet) serve(name string, handler port.PeerHandler) membership.VM {
	f.t.Helper()
	server := httptest.NewUnstartedServer(NewServer(handler))
	server.TLS = f.config(name).Server
	server.StartTLS()
	f.t.Cleanup(server.Close)
	return membership.VM{ID: name, PeerAddress: server.Listener.Addr().String()}
}

func (f *fleet) client(name string) *Client {
	f.t.Helper()
	client := NewClient(f.config(name), time.Now)
	f.t.Cleanup(client.Close)
	return client
}

// raw opens a connection that sends whatever bytes a test likes.
func (f *fleet) raw(name string, to membership.VM) *websocket.Conn {
	f.t.Helper()
	transport := &http.Transport{TLSClientConfig: f.config(name).Client}
	conn, _, err := websocket.Dial(f.t.Context(), "wss://"+to.PeerAddress+Path, &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}})
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { conn.CloseNow() })
	return conn
}

type handlerFunc func(context.Context, port.Message) (port.Message, error)

func (h handlerFunc) Handle(ctx context.Context, m port.Message) (port.Message, error) {
	return h(ctx, m)
}

func beatOf(id string) port.Heartbeat {
	return port.Heartbeat{From: membership.Record{VM: membership.VM{ID: id}, Incarnation: 1, State: membership.Live}}
}

func answering(id string) handlerFunc {
	return func(context.Context, port.Message) (port.Message, error) { return beatOf(id), nil }
}

// A peer sends what no peer should. Its connection ends with a status that tells
// its operator why, and others go on being served.
func TestBrokenPeersAreCutOff(t *testing.T) {
	good, err := encode(beatOf("vm-1"), 1, 0)
	assert.NilError(t, err)
	stranger, err := encode(port.Gossip{From: "vm-9"}, 0, 0)
	assert.NilError(t, err)
	for _, tt := range []struct {
		desc string
		sent []byte
		want websocket.StatusCode
	}{
		{"broken CBOR", []byte{0xff, 0x00}, websocket.StatusUnsupportedData},
		{"half a message", good[:len(good)/2], websocket.StatusUnsupportedData},
		{"too large", make([]byte, MaxRequestBytes+1), websocket.StatusMessageTooBig},
		{"another VM's name", stranger, websocket.StatusPolicyViolation},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFleet(t)
			to := f.serve("vm-2", answering("vm-2"))
			conn := f.raw("vm-1", to)
			_ = conn.Write(t.Context(), websocket.MessageBinary, tt.sent)
			_, _, err := conn.Read(t.Context())
			assert.Equal(t, websocket.CloseStatus(err), tt.want, "%v", err)
			_, err = f.client("vm-1").Request(t.Context(), to, beatOf("vm-1"))
			assert.NilError(t, err)
		})
	}
}

// The answer must come from the VM that the connection was proven to lead to.
func TestAnswerInAnotherNameIsDropped(t *testing.T) {
	f := newFleet(t)
	to := f.serve("vm-2", answering("vm-7"))
	_, err := f.client("vm-1").Request(t.Context(), to, beatOf("vm-1"))
	assert.Check(t, errors.Is(err, port.ErrUnreachable), "%v", err)
}

// A server without the TLS listener in front refuses everyone.
func TestPlainHTTPIsRefused(t *testing.T) {
	server := httptest.NewServer(NewServer(answering("vm-2")))
	defer server.Close()
	response, err := http.Get(server.URL + Path)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusForbidden)
}

// A peer floods a slow node with questions. Only so many are worked on at a
// time; the rest wait in the peer's own buffers, and other peers are answered.
func TestFloodIsBounded(t *testing.T) {
	f := newFleet(t)
	var working, most atomic.Int64
	release := make(chan struct{})
	to := f.serve("vm-2", handlerFunc(func(_ context.Context, m port.Message) (port.Message, error) {
		if m.(port.Heartbeat).From.VM.ID != "vm-1" {
			return beatOf("vm-2"), nil
		}
		most.Store(max(most.Load(), working.Add(1)))
		<-release
		working.Add(-1)
		return nil, nil
	}))
	conn := f.raw("vm-1", to)
	flood, err := encode(beatOf("vm-1"), 1, 0)
	assert.NilError(t, err)
	for range 3 * maxInFlight {
		assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, flood))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if working.Load() < maxInFlight {
			return poll.Continue("%d are worked on", working.Load())
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	_, err = f.client("vm-3").Request(t.Context(), to, beatOf("vm-3"))
	assert.NilError(t, err)
	assert.Equal(t, most.Load(), int64(maxInFlight))
	close(release)
}

// A VM vanishes without closing its connections, and its successor comes up at
// the same address. Questions would go on into the old connection until it is
// idle for a minute, which it never is.
func TestHalfOpenLinkIsReplaced(t *testing.T) {
	f := newFleet(t)
	to := f.serve("vm-2", answering("vm-2"))
	relay, hold := newRelay(t, to.PeerAddress)
	client := f.client("vm-1")
	via := membership.VM{ID: "vm-2", PeerAddress: relay}
	_, err := client.Request(t.Context(), via, beatOf("vm-1"))
	assert.NilError(t, err)
	hold.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), halfOpenAfter+100*time.Millisecond)
	defer cancel()
	_, err = client.Request(ctx, via, beatOf("vm-1"))
	assert.Check(t, errors.Is(err, port.ErrUnreachable))
	hold.Store(false)
	_, err = client.Request(t.Context(), via, beatOf("vm-1"))
	assert.NilError(t, err)
}

// newRelay passes connections on to an address. A connection that carries
// anything while hold is set falls silent for good, as if its peer had vanished.
func newRelay(t *testing.T, to string) (string, *atomic.Bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	hold := &atomic.Bool{}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				near.Close()
				return
			}
			go pass(near, far, hold)
			go pass(far, near, hold)
		}
	}()
	return listener.Addr().String(), hold
}

func pass(from, to net.Conn, hold *atomic.Bool) {
	buffer := make([]byte, 1<<16)
	silent := false
	for {
		count, err := from.Read(buffer)
		if err != nil {
			to.Close()
			return
		}
		if silent = silent || hold.Load(); !silent {
			_, _ = to.Write(buffer[:count])
		}
	}
}

// A node talks to more peers than it may keep connections to: those idle longest
// are closed, so neither side's count grows with the fleet.
func TestConnectionsAreBounded(t *testing.T) {
	f := newFleet(t)
	to := f.serve("vm-2", answering("vm-2"))
	client := f.client("vm-1")
	_, port, err := net.SplitHostPort(to.PeerAddress)
	assert.NilError(t, err)
	for i := range MaxClientConnections + 5 {
		relay, _ := newRelay(t, net.JoinHostPort("127.0.0.1", port))
		_, err := client.Request(t.Context(), membership.VM{PeerAddress: relay}, beatOf("vm-1"))
		assert.NilError(t, err, "peer %d", i)
		assert.Assert(t, client.NumOpen() <= MaxClientConnections)
	}
}

// Links idle for long are closed; those in use stay.
func TestIdleLinksAreClosed(t *testing.T) {
	f := newFleet(t)
	to := f.serve("vm-2", answering("vm-2"))
	var ahead atomic.Int64
	client := NewClient(f.config("vm-1"), func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) })
	t.Cleanup(client.Close)
	_, err := client.Request(t.Context(), to, beatOf("vm-1"))
	assert.NilError(t, err)
	client.CloseIdle()
	assert.Equal(t, client.NumOpen(), 1)
	ahead.Store(int64(IdleTimeout + time.Second))
	client.CloseIdle()
	assert.Equal(t, client.NumOpen(), 0)
}
