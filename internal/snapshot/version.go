// Package snapshot holds configuration versions: a manifest that names
// content-addressed parts, the immutable snapshot assembled from them, and the
// checks that make a version good or bad as a whole. The package is pure.
package snapshot

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Version orders configurations. Operators raise Revision with each
// publication, and Epoch when they restore the platform from an older copy, so
// that versions published after the restore are above all that came before.
type Version struct {
	Epoch    uint64 `cbor:"e" json:"epoch"`
	Revision uint64 `cbor:"r" json:"revision"`
}

// Compare is negative when v is older than other, zero when equal.
func (v Version) Compare(other Version) int {
	if v.Epoch != other.Epoch {
		return cmp.Compare(v.Epoch, other.Epoch)
	}
	return cmp.Compare(v.Revision, other.Revision)
}

// NewerThan reports whether v comes after other.
func (v Version) NewerThan(other Version) bool { return v.Compare(other) > 0 }

// IsZero reports whether v is the version of a process that has none yet.
func (v Version) IsZero() bool { return v == Version{} }

// String renders "epoch.revision".
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Revision) }

// ParseVersion reads the form that String writes.
func ParseVersion(text string) (Version, error) {
	var v Version
	if _, err := fmt.Sscanf(text, "%d.%d", &v.Epoch, &v.Revision); err != nil {
		return Version{}, fmt.Errorf("version %q is not EPOCH.REVISION: %w", text, err)
	}
	return v, nil
}

// Hash is the SHA-256 digest that names a part by its content.
type Hash [sha256.Size]byte

// HashOf names the content.
func HashOf(content []byte) Hash { return sha256.Sum256(content) }

// String renders the hash as lower-case hex.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Short renders the first 12 hex digits, for logs.
func (h Hash) Short() string { return h.String()[:12] }

// ParseHash reads the form that String writes.
func ParseHash(text string) (Hash, error) {
	var h Hash
	raw, err := hex.DecodeString(text)
	if err != nil {
		return h, fmt.Errorf("hash %q: %w", text, err)
	}
	if len(raw) != len(h) {
		return h, fmt.Errorf("hash %q has %d bytes, want %d", text, len(raw), len(h))
	}
	copy(h[:], raw)
	return h, nil
}

// MarshalText renders the hash for JSON.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads the hash from JSON.
func (h *Hash) UnmarshalText(text []byte) error {
	parsed, err := ParseHash(string(text))
	if err != nil {
		return err
	}
	*h = parsed
	return nil
}
