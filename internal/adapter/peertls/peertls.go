// Package peertls proves peers to each other by mutual TLS. A peer is whoever
// holds a certificate signed by one of the authorities in the settings; several
// are accepted at once, so that authorities can be rotated without a gap.
package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// Files names the PEM files that a process proves itself with.
type Files struct {
	Certificate string
	Key         string
	Authorities []string
}

// Config holds the two sides of peer connections.
type Config struct {
	Server *tls.Config
	Client *tls.Config
}

// Load reads the files and returns both sides' configuration.
func Load(files Files) (*Config, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, errors.Wrap(err, "peer certificate")
	}
	pool := x509.NewCertPool()
	for _, name := range files.Authorities {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "peer authority")
		}
		if !pool.AppendCertsFromPEM(raw) {
			return nil, errors.Errorf("peer authority %s holds no certificate", name)
		}
	}
	return New(certificate, pool), nil
}

// New returns both sides' configuration for a certificate and its authorities.
func New(certificate tls.Certificate, authorities *x509.CertPool) *Config {
	server := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authorities,
		NextProtos:   []string{"http/1.1"},
	}
	client := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		// VMs are replaced at the same addresses and named by number, so a
		// certificate can't name its host. The chain to an authority is
		// checked below in place of the host name; without that check any
		// process on a reused address could pass for a peer.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, authorities)
		},
	}
	return &Config{Server: server, Client: client}
}

func verifyPeer(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer showed no certificate")
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
