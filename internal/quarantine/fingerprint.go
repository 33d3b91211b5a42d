// Package quarantine detects requests that crash the targets that run them, and blocks
// them from other targets. The package is pure: the caller passes the current time.
package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests that are the same to a target, regardless of their
// sender and of how often they are sent.
type Fingerprint uint64

// Content holds the parts of a request, other than its headers, that a target receives.
type Content struct {
	Method, Host, URI string
	// Length is the length of the body in bytes, negative if unknown.
	Length int64
	// Body holds the body; of a large one, its first bytes.
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

// String formats the fingerprint for logs and headers.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// ParseFingerprint parses the result of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	return Fingerprint(value), err
}
