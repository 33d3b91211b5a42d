// Package peertls authenticates peers with mutual TLS. A peer is any process with a certificate
// that is signed by one of the authorities in the settings. Several authorities can be
// accepted at the same time, so that they can be rotated without interruption. The common
// name of a peer certificate is the VM's id.
package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrAuthority means that a process uses an authority's certificate as its own.
var ErrAuthority = errors.New("an authority's certificate proves no peer")

// ErrNoName means that a peer certificate contains no VM id.
var ErrNoName = errors.New("peer certificate has no common name")

// Files lists the PEM files with the certificate and key of a process and the accepted
// authorities.
type Files struct {
	Certificate string
	Key         string
	Authorities []string
}

// Config holds the TLS configuration of both sides of peer connections. Each new connection uses
// the credentials loaded last.
type Config struct {
	// Server is for accepting connections of peers, Client for opening connections to them.
	Server *tls.Config
	Client *tls.Config

	files       Files
	credentials atomic.Pointer[credentials]
}

// credentials holds the certificate of a process and the authorities with which it verifies
// peers.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	server      *tls.Config
}

// Load reads the files and returns the configuration of both sides.
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
			return tls.Certificate{}, nil, errors.Errorf("peer authority file %s contains no certificate", name)
		}
	}
	return certificate, pool, nil
}

// New returns the configuration of both sides for a certificate and the accepted authorities.
func New(certificate tls.Certificate, authorities *x509.CertPool) *Config {
	c := &Config{}
	c.setCredentials(certificate, authorities)
	c.Server = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.credentials.Load().server, nil
		},
	}
	c.Client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.credentials.Load().certificate, nil
		},
		// VMs are replaced at the same addresses and have numbers as names, so their
		// certificates can't contain a host name. VerifyConnection checks the chain to
		// an authority instead; without this check, any process at a reused address
		// would be accepted as a peer.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, c.credentials.Load().authorities)
		},
	}
	return c
}

func (c *Config) setCredentials(certificate tls.Certificate, authorities *x509.CertPool) {
	c.credentials.Store(&credentials{certificate: certificate, authorities: authorities, server: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authorities,
		NextProtos:   []string{"http/1.1"},
		VerifyConnection: func(state tls.ConnectionState) error {
			return rejectAuthority(state.PeerCertificates)
		},
		// A resumed session is not verified again, so it would still be accepted after
		// its authority was removed from the settings.
		SessionTicketsDisabled: true,
	}})
}

// Reload reads the files again, for all new connections, and reports whether they have changed.
// On an error, the old credentials stay in use.
func (c *Config) Reload() (changed bool, err error) {
	certificate, pool, err := read(c.files)
	if err != nil {
		return false, err
	}
	old := c.credentials.Load()
	sameCertificate := slices.EqualFunc(old.certificate.Certificate, certificate.Certificate, slices.Equal)
	if sameCertificate && old.authorities.Equal(pool) {
		return false, nil
	}
	c.setCredentials(certificate, pool)
	return true, nil
}

// VMID returns the VM id in the verified certificate of the other side of a connection, or
// ErrNoName.
func VMID(state *tls.ConnectionState) (string, error) {
	if state == nil || len(state.PeerCertificates) == 0 || state.PeerCertificates[0].Subject.CommonName == "" {
		return "", ErrNoName
	}
	return state.PeerCertificates[0].Subject.CommonName, nil
}

// rejectAuthority rejects a peer that uses an authority's certificate. If an authority's key were
// left on a VM by mistake, an attacker with access to the VM could issue peer certificates.
func rejectAuthority(chain []*x509.Certificate) error {
	if len(chain) > 0 && chain[0].IsCA {
		return ErrAuthority
	}
	return nil
}

func verifyPeer(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer showed no certificate")
	}
	if err := rejectAuthority(state.PeerCertificates); err != nil {
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
