package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func issueAuthority(t *testing.T, name string) *Pair {
	t.Helper()
	authority, err := IssueAuthority(name, time.Now(), time.Hour)
	assert.NilError(t, err)
	return authority
}

// newConfig returns the configuration of a peer that accepts the authorities.
func newConfig(t *testing.T, pair *Pair, accepts ...*Pair) *Config {
	t.Helper()
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	for _, authority := range accepts {
		pool.AppendCertsFromPEM(authority.Certificate)
	}
	return New(certificate, pool)
}

func issuePeer(t *testing.T, authority *Pair, now time.Time) *Pair {
	t.Helper()
	pair, err := IssuePeer(authority, "vm-1", now, time.Hour)
	assert.NilError(t, err)
	return pair
}

// listen serves TLS and sends one byte on each connection after a successful handshake.
func listen(t *testing.T, config *tls.Config) string {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if conn.(*tls.Conn).Handshake() == nil {
					_, _ = conn.Write([]byte{1})
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// handshake returns nil if both sides accept each other. In TLS 1.3, the client has to read from
// the connection to detect that the server rejected its certificate.
func handshake(address string, config *tls.Config) error {
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: 2 * time.Second}, "tcp", address, config)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = conn.Read(make([]byte, 1))
	return err
}

// Guards against accepting a process that is not a peer, either as a client of the peers'
// listener or as a server at a reused address: a peer would send it all contracts and
// forward calls to it.
func TestOnlyPeersAreAccepted(t *testing.T) {
	ours, theirs := issueAuthority(t, "ours"), issueAuthority(t, "theirs")
	peer := issuePeer(t, ours, time.Now())
	for _, tt := range []struct {
		desc    string
		client  *Pair
		accepts []*Pair
		good    bool
	}{
		{desc: "a peer", client: peer, accepts: []*Pair{ours}, good: true},
		{desc: "another authority's certificate", client: issuePeer(t, theirs, time.Now()), accepts: []*Pair{ours}},
		{desc: "an expired certificate", client: issuePeer(t, ours, time.Now().Add(-3*time.Hour)), accepts: []*Pair{ours}},
		{desc: "a certificate that is not valid yet", client: issuePeer(t, ours, time.Now().Add(3*time.Hour)), accepts: []*Pair{ours}},
		{desc: "the authority's own certificate", client: ours, accepts: []*Pair{ours}},
		{desc: "a client that does not accept the server's authority", client: peer, accepts: []*Pair{theirs}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			address := listen(t, newConfig(t, peer, ours).Server)
			err := handshake(address, newConfig(t, tt.client, tt.accepts...).Client)
			assert.Equal(t, err == nil, tt.good, "%v", err)
		})
	}
}

// Guards against accepting a client without a certificate, or one that uses plain HTTP.
func TestClientWithoutCertificateIsRejected(t *testing.T) {
	authority := issueAuthority(t, "ours")
	address := listen(t, newConfig(t, issuePeer(t, authority, time.Now()), authority).Server)
	assert.Check(t, handshake(address, &tls.Config{InsecureSkipVerify: true}) != nil)
	assert.Check(t, handshake(address, &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}) != nil)
	response, err := http.Get("http://" + address)
	if err == nil {
		response.Body.Close()
		assert.Check(t, response.StatusCode != http.StatusOK)
	}
}

// Guards against failed connections while the authority is rotated in a running fleet: first all
// peers accept both authorities, then each gets a certificate of the new one, then the old
// one is removed. In each step all peers must accept each other; after the last, the old
// certificate must be rejected.
func TestAuthorityIsRotatedWithoutInterruption(t *testing.T) {
	before, after := issueAuthority(t, "before"), issueAuthority(t, "after")
	oldPeer, newPeer := issuePeer(t, before, time.Now()), issuePeer(t, after, time.Now())
	dir := t.TempDir()
	files := Files{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authorities: []string{filepath.Join(dir, "authority")}}
	write := func(pair *Pair, accepts []byte) {
		assert.NilError(t, os.WriteFile(files.Certificate, pair.Certificate, 0o600))
		assert.NilError(t, os.WriteFile(files.Key, pair.Key, 0o600))
		assert.NilError(t, os.WriteFile(files.Authorities[0], accepts, 0o600))
	}
	both := append(append([]byte{}, before.Certificate...), after.Certificate...)
	write(oldPeer, before.Certificate)
	server, err := Load(files)
	assert.NilError(t, err)
	address := listen(t, server.Server)
	assert.NilError(t, handshake(address, newConfig(t, oldPeer, before).Client))
	for _, step := range []struct {
		pair     *Pair
		accepts  []byte
		old, new bool
	}{
		{oldPeer, both, true, true},
		{newPeer, both, true, true},
		{newPeer, after.Certificate, false, true},
	} {
		write(step.pair, step.accepts)
		changed, err := server.Reload()
		assert.NilError(t, err)
		assert.Check(t, changed)
		assert.Equal(t, handshake(address, newConfig(t, oldPeer, before, after).Client) == nil, step.old)
		assert.Equal(t, handshake(address, newConfig(t, newPeer, before, after).Client) == nil, step.new)
	}
	changed, err := server.Reload()
	assert.NilError(t, err)
	assert.Check(t, !changed)
	write(newPeer, []byte("broken"))
	_, err = server.Reload()
	assert.Check(t, err != nil)
	assert.NilError(t, handshake(address, newConfig(t, newPeer, after).Client), "the old credentials must stay in use if the files are broken")
}
