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

// fleet creates peers with certificates of one authority.
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

// serve starts a peer's listener and returns the peer's VM.
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

// dial opens a connection on which a test can send arbitrary bytes.
func (f *fleet) dial(name string, to membership.VM) *websocket.Conn {
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

func heartbeatFrom(id string) port.Heartbeat {
	return port.Heartbeat{From: membership.Record{VM: membership.VM{ID: id}, Incarnation: 1, State: membership.Live}}
}

func respondAs(id string) handlerFunc {
	return func(context.Context, port.Message) (port.Message, error) { return heartbeatFrom(id), nil }
}

// Guards against a peer whose invalid messages disturb others. Its connection must be closed
// with a status that shows its operator the reason, and other peers must still be served.
func TestPeersWithInvalidMessagesAreDisconnected(t *testing.T) {
	valid, err := encode(heartbeatFrom("vm-1"), 1, 0)
	assert.NilError(t, err)
	otherSender, err := encode(port.Gossip{From: "vm-9"}, 0, 0)
	assert.NilError(t, err)
	for _, tt := range []struct {
		desc string
		sent []byte
		want websocket.StatusCode
	}{
		{"broken CBOR", []byte{0xff, 0x00}, websocket.StatusUnsupportedData},
		{"half a message", valid[:len(valid)/2], websocket.StatusUnsupportedData},
		{"too large", make([]byte, MaxRequestBytes+1), websocket.StatusMessageTooBig},
		{"another VM's name", otherSender, websocket.StatusPolicyViolation},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFleet(t)
			to := f.serve("vm-2", respondAs("vm-2"))
			conn := f.dial("vm-1", to)
			_ = conn.Write(t.Context(), websocket.MessageBinary, tt.sent)
			_, _, err := conn.Read(t.Context())
			assert.Equal(t, websocket.CloseStatus(err), tt.want, "%v", err)
			_, err = f.client("vm-1").Request(t.Context(), to, heartbeatFrom("vm-1"))
			assert.NilError(t, err)
		})
	}
}

// Guards against accepting a response that names another sender than the VM in the peer's
// certificate.
func TestResponseFromWrongSenderIsDropped(t *testing.T) {
	f := newFleet(t)
	to := f.serve("vm-2", respondAs("vm-7"))
	_, err := f.client("vm-1").Request(t.Context(), to, heartbeatFrom("vm-1"))
	assert.Check(t, errors.Is(err, port.ErrUnreachable), "%v", err)
}

// Guards against serving unauthenticated peers: without the TLS listener in front, the server
// must reject all connections.
func TestPlainHTTPIsRefused(t *testing.T) {
	server := httptest.NewServer(NewServer(respondAs("vm-2")))
	defer server.Close()
	response, err := http.Get(server.URL + Path)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusForbidden)
}

// Guards against a peer that floods a slow node with requests. Only maxInFlight may be
// handled concurrently; the rest stay in the sender's buffers, and requests of other peers
// are handled.
func TestFloodIsBounded(t *testing.T) {
	f := newFleet(t)
	var active, maxActive atomic.Int64
	release := make(chan struct{})
	to := f.serve("vm-2", handlerFunc(func(_ context.Context, m port.Message) (port.Message, error) {
		if m.(port.Heartbeat).From.VM.ID != "vm-1" {
			return heartbeatFrom("vm-2"), nil
		}
		maxActive.Store(max(maxActive.Load(), active.Add(1)))
		<-release
		active.Add(-1)
		return nil, nil
	}))
	conn := f.dial("vm-1", to)
	flood, err := encode(heartbeatFrom("vm-1"), 1, 0)
	assert.NilError(t, err)
	for range 3 * maxInFlight {
		assert.NilError(t, conn.Write(t.Context(), websocket.MessageBinary, flood))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if active.Load() < maxInFlight {
			return poll.Continue("%d are being handled", active.Load())
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	_, err = f.client("vm-3").Request(t.Context(), to, heartbeatFrom("vm-3"))
	assert.NilError(t, err)
	assert.Equal(t, maxActive.Load(), int64(maxInFlight))
	close(release)
}

// Guards against sending requests on a half-open connection: a VM fails without closing its
// connections, and its replacement starts at the same address. The old connection would be
// used until the idle timeout, which regular requests keep from expiring.
func TestHalfOpenConnectionIsReplaced(t *testing.T) {
	f := newFleet(t)
	to := f.serve("vm-2", respondAs("vm-2"))
	relay, hold := newRelay(t, to.PeerAddress)
	client := f.client("vm-1")
	via := membership.VM{ID: "vm-2", PeerAddress: relay}
	_, err := client.Request(t.Context(), via, heartbeatFrom("vm-1"))
	assert.NilError(t, err)
	hold.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), halfOpenAfter+100*time.Millisecond)
	defer cancel()
	_, err = client.Request(ctx, via, heartbeatFrom("vm-1"))
	assert.Check(t, errors.Is(err, port.ErrUnreachable))
	hold.Store(false)
	_, err = client.Request(t.Context(), via, heartbeatFrom("vm-1"))
	assert.NilError(t, err)
}

// newRelay relays connections to an address. A connection on which data is sent while hold is
// set forwards nothing from then on, as if its peer had failed without closing it.
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
			go forward(near, far, hold)
			go forward(far, near, hold)
		}
	}()
	return listener.Addr().String(), hold
}

func forward(from, to net.Conn, hold *atomic.Bool) {
	buffer := make([]byte, 1<<16)
	stalled := false
	for {
		count, err := from.Read(buffer)
		if err != nil {
			to.Close()
			return
		}
		if stalled = stalled || hold.Load(); !stalled {
			_, _ = to.Write(buffer[:count])
		}
	}
}

// Guards against a number of connections that grows with the fleet: a node that communicates
// with more than MaxClientConnections peers must close the connections idle longest.
func TestConnectionsAreBounded(t *testing.T) {
	f := newFleet(t)
	to := f.serve("vm-2", respondAs("vm-2"))
	client := f.client("vm-1")
	_, port, err := net.SplitHostPort(to.PeerAddress)
	assert.NilError(t, err)
	for i := range MaxClientConnections + 5 {
		relay, _ := newRelay(t, net.JoinHostPort("127.0.0.1", port))
		_, err := client.Request(t.Context(), membership.VM{PeerAddress: relay}, heartbeatFrom("vm-1"))
		assert.NilError(t, err, "peer %d", i)
		assert.Assert(t, client.NumOpen() <= MaxClientConnections)
	}
}

// Guards against connections that stay open after IdleTimeout, and against closing connections
// that are in use.
func TestIdleConnectionsAreClosed(t *testing.T) {
	f := newFleet(t)
	to := f.serve("vm-2", respondAs("vm-2"))
	var offset atomic.Int64
	client := NewClient(f.config("vm-1"), func() time.Time { return time.Now().Add(time.Duration(offset.Load())) })
	t.Cleanup(client.Close)
	_, err := client.Request(t.Context(), to, heartbeatFrom("vm-1"))
	assert.NilError(t, err)
	client.CloseIdle()
	assert.Equal(t, client.NumOpen(), 1)
	offset.Store(int64(IdleTimeout + time.Second))
	client.CloseIdle()
	assert.Equal(t, client.NumOpen(), 0)
}
