// Package snapshot implements configuration versions: the manifest, which refers to
// content-addressed parts, the immutable snapshot assembled from them, and the
// validation of a version as a whole. The package is pure.
package snapshot

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Version is the version number of a configuration. Operators increase Revision with
// each publication, and Epoch when they restore the platform from an older copy, so
// that versions published after the restore are newer than all earlier ones.
type Version struct {
	Epoch    uint64 `cbor:"e" json:"epoch"`
	Revision uint64 `cbor:"r" json:"revision"`
}

// Compare returns a negative number if v is older than other, zero if they are
// equal, and a positive number if v is newer.
func (v Version) Compare(other Version) int {
	if v.Epoch != other.Epoch {
		return cmp.Compare(v.Epoch, other.Epoch)
	}
	return cmp.Compare(v.Revision, other.Revision)
}

// NewerThan reports whether v is newer than other.
func (v Version) NewerThan(other Version) bool { return v.Compare(other) > 0 }

// IsZero reports whether v is the zero version, which means no configuration yet.
func (v Version) IsZero() bool { return v == Version{} }

// String returns "epoch.revision".
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Revision) }

// ParseVersion parses the output of Version.String.
func ParseVersion(text string) (Version, error) {
	var v Version
	if _, err := fmt.Sscanf(text, "%d.%d", &v.Epoch, &v.Revision); err != nil {
		return Version{}, fmt.Errorf("version %q is not EPOCH.REVISION: %w", text, err)
	}
	return v, nil
}

// Hash is the SHA-256 digest of a part's content.
type Hash [sha256.Size]byte

// HashOf returns the hash of the content.
func HashOf(content []byte) Hash { return sha256.Sum256(content) }

// String returns the hash as lower-case hex.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Short returns the first 12 hex digits, for logs.
func (h Hash) Short() string { return h.String()[:12] }

// ParseHash parses the output of Hash.String.
func ParseHash(text string) (Hash, error) {
	var h Hash
	raw, err := hex.DecodeString(text)
	if err != nil {
		return h, fmt.Errorf("invalid hash %q: %w", text, err)
	}
	if len(raw) != len(h) {
		return h, fmt.Errorf("hash %q has %d bytes, expected %d", text, len(raw), len(h))
	}
	copy(h[:], raw)
	return h, nil
}

// MarshalText implements encoding.TextMarshaler; the hash is hex text in JSON.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	parsed, err := ParseHash(string(text))
	if err != nil {
		return err
	}
	*h = parsed
	return nil
}
