package snapshot

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Limits of parts and manifests.
const (
	// MaxPartBytes is the platform's maximum size of a value.
	MaxPartBytes = 1 << 20
	// GroupCount is the number of groups in a manifest. A change of one contract
	// changes its part, one group and the manifest; with 64 groups and a few
	// thousand resources each of the three has only a few kilobytes.
	GroupCount = 64
)

// Kind is the kind of resource in a part.
type Kind string

// The kinds of parts.
const (
	KindService  Kind = "service"
	KindContract Kind = "contract"
)

// PartRef refers to a part by its hash.
type PartRef struct {
	Kind Kind   `cbor:"k"`
	Name string `cbor:"n"`
	Hash Hash   `cbor:"h"`
}

// Group lists the parts whose kind and name hash to one index in the manifest,
// sorted by kind and name.
type Group struct {
	Parts []PartRef `cbor:"p"`
}

// Manifest identifies the exact content of a complete configuration. Publishing it
// makes a version visible atomically.
type Manifest struct {
	Version Version `cbor:"v"`
	// Parent is the root of the version on which the operator's changes are based.
	// If two operators publish at the same time, both versions have the same
	// parent, so the lost update is detected.
	Parent Hash `cbor:"p"`
	// Root is the digest of all group hashes. Equal roots mean equal content.
	Root   Hash   `cbor:"h"`
	Groups []Hash `cbor:"g"`
	// PublishedBy and PublishedAt are written to the audit trail. No decision
	// depends on them.
	PublishedBy string    `cbor:"by"`
	PublishedAt time.Time `cbor:"at"`
}

// Errors for manifests and parts that can't be used.
var (
	ErrBadManifest = errors.New("invalid manifest")
	ErrBadPart     = errors.New("invalid part")
)

// Decoding limits for external data. They limit the memory that a malformed or
// malicious message can take before it is rejected.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 10
	maxNesting       = 16
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// RootOf returns the digest of a manifest's group hashes.
func RootOf(groups []Hash) Hash {
	content := make([]byte, 0, len(groups)*len(Hash{}))
	for _, group := range groups {
		content = append(content, group[:]...)
	}
	return HashOf(content)
}

// Encode encodes the manifest for publication.
func (m *Manifest) Encode() ([]byte, error) {
	raw, err := encoder.Marshal(m)
	return raw, errors.Wrap(err, "encode manifest")
}

// DecodeManifest decodes a manifest and checks its internal consistency. Its errors wrap
// ErrBadManifest.
func DecodeManifest(raw []byte) (*Manifest, error) {
	if len(raw) > MaxPartBytes {
		return nil, errors.Wrapf(ErrBadManifest, "too large: %d bytes", len(raw))
	}
	var m Manifest
	if err := decoder.Unmarshal(raw, &m); err != nil {
		return nil, errors.Wrap(ErrBadManifest, err.Error())
	}
	if m.Version.IsZero() {
		return nil, errors.Wrap(ErrBadManifest, "version is missing")
	}
	if len(m.Groups) > GroupCount {
		return nil, errors.Wrapf(ErrBadManifest, "too many groups: %d", len(m.Groups))
	}
	if RootOf(m.Groups) != m.Root {
		return nil, errors.Wrap(ErrBadManifest, "root does not match the groups")
	}
	return &m, nil
}

// DecodeGroup decodes a group. The caller must have checked the content against its
// hash. Its errors wrap ErrBadPart.
func DecodeGroup(raw []byte) (*Group, error) {
	var g Group
	if err := decoder.Unmarshal(raw, &g); err != nil {
		return nil, errors.Wrap(ErrBadPart, err.Error())
	}
	return &g, nil
}
