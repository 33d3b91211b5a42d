// Package quarantine finds requests that crash the targets that run them, and keeps
// them from further targets. The package is pure: time is handed in.
package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is the same for requests that are the same to a target, whoever sends
// them and however often.
type Fingerprint uint64

// Content is what a target sees of a request apart from its headers.
type Content struct {
	Method, Host, URI string
	// Length is the body's length in bytes, negative when it is not known.
	Length int64
	// Body holds the first bytes of a large body.
	Body []byte
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(c *Content) Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{c.Method, c.Host, c.URI, strconv.FormatInt(c.Length, 10)} {
		// Writes to a digest never fail.
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\n")
	}
	_, _ = digest.Write(c.Body)
	return Fingerprint(digest.Sum64())
}

// String renders the fingerprint for logs and headers.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// ParseFingerprint reads what String wrote.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	return Fingerprint(value), err
}
