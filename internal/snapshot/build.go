package snapshot

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tamarackquay/internal/contract"
)

// Parts holds encoded groups and resources by the hash of their content.
type Parts map[Hash][]byte

// Publication holds the manifest and the parts of a version. The parts are
// published first and the manifest last.
type Publication struct {
	Manifest *Manifest
	Parts    Parts
}

// Origin holds a version's number, the root of its parent version, and by whom and
// when it was published.
type Origin struct {
	Version     Version
	Parent      Hash
	PublishedBy string
	PublishedAt time.Time
}

// Build encodes a set that has passed contract.Check as a publication.
func Build(set *contract.Set, origin Origin) (*Publication, error) {
	parts := Parts{}
	groups := make([]Group, GroupCount)
	add := func(kind Kind, name string, resource any) error {
		raw, err := encoder.Marshal(resource)
		if err != nil {
			return errors.Wrapf(err, "encode %s %s", kind, name)
		}
		if len(raw) > MaxPartBytes {
			return errors.Errorf("%s %s has %d bytes, the platform accepts at most %d per value", kind, name, len(raw), MaxPartBytes)
		}
		hash := HashOf(raw)
		parts[hash] = raw
		group := &groups[groupIndex(kind, name)]
		group.Parts = append(group.Parts, PartRef{Kind: kind, Name: name, Hash: hash})
		return nil
	}
	for i := range set.Services {
		if err := add(KindService, set.Services[i].Name, &set.Services[i]); err != nil {
			return nil, err
		}
	}
	for i := range set.Contracts {
		if err := add(KindContract, set.Contracts[i].Customer, &set.Contracts[i]); err != nil {
			return nil, err
		}
	}
	hashes, err := encodeGroups(groups, parts)
	if err != nil {
		return nil, err
	}
	return &Publication{
		Manifest: &Manifest{
			Version: origin.Version, Parent: origin.Parent, Root: RootOf(hashes), Groups: hashes,
			PublishedBy: origin.PublishedBy, PublishedAt: origin.PublishedAt,
		},
		Parts: parts,
	}, nil
}

func encodeGroups(groups []Group, parts Parts) ([]Hash, error) {
	hashes := make([]Hash, len(groups))
	for i := range groups {
		slices.SortFunc(groups[i].Parts, func(a, b PartRef) int {
			return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
		})
		raw, err := encoder.Marshal(&groups[i])
		if err != nil {
			return nil, errors.Wrap(err, "encode group")
		}
		hashes[i] = HashOf(raw)
		parts[hashes[i]] = raw
	}
	return hashes, nil
}

func groupIndex(kind Kind, name string) int {
	return int(xxhash.Sum64String(string(kind)+"/"+name) % GroupCount)
}
