package peertls

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// serialBits is the size of a certificate's random serial number, within the limit of RFC 5280.
const serialBits = 127

// Pair is a certificate and its key, both as PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// IssueAuthority creates a self-signed certificate authority for peers. The name is its
// common name; the certificate is valid for the lifetime after now.
func IssueAuthority(name string, now time.Time, lifetime time.Duration) (*Pair, error) {
	template, key, err := newTemplate(name, now, lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	return sign(template, template, key, key)
}

// IssuePeer creates the peer certificate of a VM, signed by the authority and valid for
// the lifetime after now.
func IssuePeer(authority *Pair, vmID string, now time.Time, lifetime time.Duration) (*Pair, error) {
	parent, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load authority")
	}
	template, key, err := newTemplate(vmID, now, lifetime)
	if err != nil {
		return nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return sign(template, parent.Leaf, key, parent.PrivateKey)
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate serial number")
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		// An hour of tolerance for VMs whose clocks are behind.
		NotBefore: now.Add(-time.Hour),
		NotAfter:  now.Add(lifetime),
	}
	return template, key, nil
}

func sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey, signer any) (*Pair, error) {
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode key")
	}
	return &Pair{Certificate: encodePEM("CERTIFICATE", raw), Key: encodePEM("PRIVATE KEY", private)}, nil
}

func encodePEM(kind string, raw []byte) []byte {
	var out bytes.Buffer
	// Writing to a buffer can't fail.
	_ = pem.Encode(&out, &pem.Block{Type: kind, Bytes: raw})
	return out.Bytes()
}
