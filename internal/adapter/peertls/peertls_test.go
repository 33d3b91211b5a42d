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

// configOf returns the configuration of a peer that accepts the authorities.
func configOf(t *testing.T, pair *Pair, accepts ...*Pair) *Config {
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

// listen serves TLS and answers each connection that proves itself with a byte.
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

// meet returns nil when both sides accept each other. In TLS 1.3 the client
// learns only by reading that the server refused its certificate.
func meet(address string, config *tls.Config) error {
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: 2 * time.Second}, "tcp", address, config)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = conn.Read(make([]byte, 1))
	return err
}

// A process that is no peer must not reach the peers' listener, and a peer must
// not take a stranger at a reused address for one: it would tell it of every
// contract, and hand it calls.
func TestOnlyPeersMeet(t *testing.T) {
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
			address := listen(t, configOf(t, peer, ours).Server)
			err := meet(address, configOf(t, tt.client, tt.accepts...).Client)
			assert.Equal(t, err == nil, tt.good, "%v", err)
		})
	}
}

// A process without a certificate is refused, as is one that speaks plain HTTP.
func TestNoCertificateNoEntry(t *testing.T) {
	authority := issueAuthority(t, "ours")
	address := listen(t, configOf(t, issuePeer(t, authority, time.Now()), authority).Server)
	assert.Check(t, meet(address, &tls.Config{InsecureSkipVerify: true}) != nil)
	assert.Check(t, meet(address, &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}) != nil)
	response, err := http.Get("http://" + address)
	if err == nil {
		response.Body.Close()
		assert.Check(t, response.StatusCode != http.StatusOK)
	}
}

// The authority is rotated while the fleet runs: first all accept both, then
// each gets a certificate of the new one, then the old one is taken out. At each
// step every two peers meet; after the last, the old certificate is refused.
func TestAuthorityIsRotatedWithoutAGap(t *testing.T) {
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
	assert.NilError(t, meet(address, configOf(t, oldPeer, before).Client))
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
		assert.Equal(t, meet(address, configOf(t, oldPeer, before, after).Client) == nil, step.old)
		assert.Equal(t, meet(address, configOf(t, newPeer, before, after).Client) == nil, step.new)
	}
	changed, err := server.Reload()
	assert.NilError(t, err)
	assert.Check(t, !changed)
	write(newPeer, []byte("broken"))
	_, err = server.Reload()
	assert.Check(t, err != nil)
	assert.NilError(t, meet(address, configOf(t, newPeer, after).Client), "broken files leave the old proof in use")
}
