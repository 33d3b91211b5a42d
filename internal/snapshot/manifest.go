package snapshot

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Sizes that every part keeps to.
const (
	// MaxPartBytes is what the platform's service holds in one value.
	MaxPartBytes = 1 << 20
	// GroupCount is the number of groups a manifest names. A change of one
	// contract alters its part, one group and the manifest; with 64 groups
	// and a few thousand resources all three stay at a few kilobytes.
	GroupCount = 64
)

// Kind tells what a part holds.
type Kind string

// The kinds of parts.
const (
	KindService  Kind = "service"
	KindContract Kind = "contract"
)

// PartRef names one part from its group.
type PartRef struct {
	Kind Kind   `cbor:"k"`
	Name string `cbor:"n"`
	Hash Hash   `cbor:"h"`
}

// Group lists the parts whose names hash to one position of the manifest,
// sorted by kind and name.
type Group struct {
	Parts []PartRef `cbor:"p"`
}

// Manifest is the atomic point of a version: whoever holds it knows the exact
// content of the whole configuration.
type Manifest struct {
	Version Version `cbor:"v"`
	// Parent is the root of the version that the operator started from. Two
	// operators who publish at once name the same parent, so the lost update
	// is found.
	Parent Hash `cbor:"p"`
	// Root is the digest over all groups: equal roots mean equal content.
	Root   Hash   `cbor:"h"`
	Groups []Hash `cbor:"g"`
	// PublishedBy and PublishedAt go into the audit trail; no decision
	// depends on them.
	PublishedBy string    `cbor:"by"`
	PublishedAt time.Time `cbor:"at"`
}

// Errors of a manifest that can't be used.
var (
	ErrBadManifest = errors.New("bad manifest")
	ErrBadPart     = errors.New("bad part")
)

// Limits for decoding what arrives from outside: they bound the memory that a
// broken or hostile message can take before it is refused.
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

// RootOf is the digest over the groups of a manifest.
func RootOf(groups []Hash) Hash {
	content := make([]byte, 0, len(groups)*len(Hash{}))
	for _, group := range groups {
		content = append(content, group[:]...)
	}
	return HashOf(content)
}

// Encode renders the manifest as published.
func (m *Manifest) Encode() ([]byte, error) {
	raw, err := encoder.Marshal(m)
	return raw, errors.Wrap(err, "encode manifest")
}

// DecodeManifest reads a manifest and checks that it is consistent in itself.
func DecodeManifest(raw []byte) (*Manifest, error) {
	if len(raw) > MaxPartBytes {
		return nil, errors.Wrapf(ErrBadManifest, "%d bytes", len(raw))
	}
	var m Manifest
	if err := decoder.Unmarshal(raw, &m); err != nil {
		return nil, errors.Wrap(ErrBadManifest, err.Error())
	}
	if m.Version.IsZero() {
		return nil, errors.Wrap(ErrBadManifest, "no version")
	}
	if len(m.Groups) > GroupCount {
		return nil, errors.Wrapf(ErrBadManifest, "%d groups", len(m.Groups))
	}
	if RootOf(m.Groups) != m.Root {
		return nil, errors.Wrap(ErrBadManifest, "root is not the digest of the groups")
	}
	return &m, nil
}

// DecodeGroup reads a group whose content has been checked against its hash.
func DecodeGroup(raw []byte) (*Group, error) {
	var g Group
	if err := decoder.Unmarshal(raw, &g); err != nil {
		return nil, errors.Wrap(ErrBadPart, err.Error())
	}
	return &g, nil
}
