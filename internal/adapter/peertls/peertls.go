// Package peertls proves peers to each other by mutual TLS. A peer is whoever
// holds a certificate signed by one of the authorities in the settings; several
// are accepted at once, so that authorities can be rotated without a gap. The
// certificate's common name is the VM's id.
package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrAuthority says that a process uses an authority's certificate as its own.
var ErrAuthority = errors.New("an authority's certificate proves no peer")

// ErrNoName says that a certificate names no VM.
var ErrNoName = errors.New("peer certificate has no common name")

// Files names the PEM files that a process proves itself with.
type Files struct {
	Certificate string
	Key         string
	Authorities []string
}

// Config holds the two sides of peer connections. Both use the proof that was
// last loaded, for every new connection.
type Config struct {
	Server *tls.Config
	Client *tls.Config

	files Files
	proof atomic.Pointer[proof]
}

// proof is what a process proves itself and others with.
type proof struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	server      *tls.Config
}

// Load reads the files and returns both sides' configuration.
func Load(files Files) (*Config, error) {
	certificate, pool, err := read(files)
	if err != nil {
		return nil, err
	}
	config := New(certificate, pool)
	config.files = files
	return config, nil
}

func read(files Files) (tls.Certificate, *x509.CertPool, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "peer certificate")
	}
	pool := x509.NewCertPool()
	for _, name := range files.Authorities {
		raw, err := os.ReadFile(name)
		if err != nil {
			return tls.Certificate{}, nil, errors.Wrap(err, "peer authority")
		}
		if !pool.AppendCertsFromPEM(raw) {
			return tls.Certificate{}, nil, errors.Errorf("peer authority %s holds no certificate", name)
		}
	}
	return certificate, pool, nil
}

// New returns both sides' configuration for a certificate and its authorities.
func New(certificate tls.Certificate, authorities *x509.CertPool) *Config {
	c := &Config{}
	c.use(certificate, authorities)
	c.Server = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.proof.Load().server, nil
		},
	}
	c.Client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.proof.Load().certificate, nil
		},
		// VMs are replaced at the same addresses and named by number, so a
		// certificate can't name its host. The chain to an authority is
		// checked below in place of the host name; without that check any
		// process on a reused address could pass for a peer.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, c.proof.Load().authorities)
		},
	}
	return c
}

func (c *Config) use(certificate tls.Certificate, authorities *x509.CertPool) {
	c.proof.Store(&proof{certificate: certificate, authorities: authorities, server: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authorities,
		NextProtos:   []string{"http/1.1"},
		VerifyConnection: func(state tls.ConnectionState) error {
			return refuseAuthority(state.PeerCertificates)
		},
		// A resumed session is not verified anew: it would outlive the
		// authority that was taken out of the settings.
		SessionTicketsDisabled: true,
	}})
}

// Reload reads the files again for all connections made from now on, and
// reports whether they changed. On an error the old proof stays in use.
func (c *Config) Reload() (changed bool, err error) {
	certificate, pool, err := read(c.files)
	if err != nil {
		return false, err
	}
	old := c.proof.Load()
	sameCertificate := slices.EqualFunc(old.certificate.Certificate, certificate.Certificate, slices.Equal)
	if sameCertificate && old.authorities.Equal(pool) {
		return false, nil
	}
	c.use(certificate, pool)
	return true, nil
}

// Name returns the VM id that the other side of a connection has proven.
func VMID(state *tls.ConnectionState) (string, error) {
	if state == nil || len(state.PeerCertificates) == 0 || state.PeerCertificates[0].Subject.CommonName == "" {
		return "", ErrNoName
	}
	return state.PeerCertificates[0].Subject.CommonName, nil
}

// refuseAuthority refuses an authority as a peer: its key, left on a VM by
// mistake, would let whoever takes that VM make peers of their own.
func refuseAuthority(chain []*x509.Certificate) error {
	if len(chain) > 0 && chain[0].IsCA {
		return ErrAuthority
	}
	return nil
}

func verifyPeer(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer showed no certificate")
	}
	if err := refuseAuthority(state.PeerCertificates); err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "peer certificate")
}
