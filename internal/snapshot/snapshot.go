package snapshot

import (
	"github.com/pkg/errors"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/finding"
)

// Codes of findings that concern a version's parts.
const (
	CodePartMissing finding.Code = "part-missing"
	CodePartCorrupt finding.Code = "part-corrupt"
)

// Snapshot is one whole, checked version. It is immutable: a request keeps the
// snapshot it started with, and any number of goroutines may read it.
type Snapshot struct {
	manifest   *Manifest
	parts      Parts
	set        contract.Set
	services   map[string]*contract.Service
	contracts  map[string]*contract.Contract
	tokenOwner map[string]*contract.Contract
}

// Select picks from the pools the parts that the manifest names, and lists
// those that no pool has, in two rounds: first the groups, then, once all
// groups are there, the parts that they name. Parts that the manifest does not
// name are left behind.
func Select(manifest *Manifest, pools ...Parts) (held Parts, missing []Hash, err error) {
	s := &selection{pools: pools, held: Parts{}, lacking: map[Hash]bool{}}
	for _, hash := range manifest.Groups {
		s.want(hash)
	}
	if len(s.missing) > 0 {
		return s.held, s.missing, nil
	}
	for _, hash := range manifest.Groups {
		group, err := DecodeGroup(s.held[hash])
		if err != nil {
			return nil, nil, err
		}
		for _, ref := range group.Parts {
			s.want(ref.Hash)
		}
	}
	return s.held, s.missing, nil
}

// selection is the work of one Select.
type selection struct {
	pools   []Parts
	held    Parts
	lacking map[Hash]bool
	missing []Hash
}

func (s *selection) want(hash Hash) {
	for _, pool := range s.pools {
		if raw, ok := pool[hash]; ok {
			s.held[hash] = raw
			return
		}
	}
	if !s.lacking[hash] {
		s.lacking[hash] = true
		s.missing = append(s.missing, hash)
	}
}

// Assemble checks a whole version and returns its snapshot, or every finding
// that makes it bad. Nothing of a bad version is kept.
func Assemble(manifest *Manifest, held Parts) (*Snapshot, finding.List) {
	s := &Snapshot{
		manifest:   manifest,
		parts:      Parts{},
		services:   map[string]*contract.Service{},
		contracts:  map[string]*contract.Contract{},
		tokenOwner: map[string]*contract.Contract{},
	}
	if found := s.load(held); len(found) > 0 {
		return nil, found
	}
	if found := contract.Check(&s.set, contract.NoLocations{}); len(found) > 0 {
		return nil, found
	}
	s.index()
	return s, nil
}

// load takes over the parts that the manifest names and decodes them.
func (s *Snapshot) load(held Parts) finding.List {
	var found finding.List
	for _, hash := range s.manifest.Groups {
		raw, err := s.take(hash, held)
		if err != nil {
			found = append(found, partFinding("group "+hash.Short(), err))
			continue
		}
		group, err := DecodeGroup(raw)
		if err != nil {
			found = append(found, partFinding("group "+hash.Short(), err))
			continue
		}
		for _, ref := range group.Parts {
			if err := s.loadPart(ref, held); err != nil {
				found = append(found, partFinding(string(ref.Kind)+" "+ref.Name, err))
			}
		}
	}
	found.Sort()
	return found
}

// errPartMissing tells a part that is not there yet from one that is broken.
var errPartMissing = errors.New("part is missing")

// take returns a part's content after checking it against its hash. The check
// is made here as well as on receipt, so that no path into a snapshot exists
// that skips it.
func (s *Snapshot) take(hash Hash, held Parts) ([]byte, error) {
	raw, ok := held[hash]
	if !ok {
		return nil, errPartMissing
	}
	if HashOf(raw) != hash {
		return nil, errors.Wrap(ErrBadPart, "content does not match its hash")
	}
	s.parts[hash] = raw
	return raw, nil
}

func (s *Snapshot) loadPart(ref PartRef, held Parts) error {
	raw, err := s.take(ref.Hash, held)
	if err != nil {
		return err
	}
	switch ref.Kind {
	case KindService:
		var service contract.Service
		if err := decoder.Unmarshal(raw, &service); err != nil {
			return errors.Wrap(ErrBadPart, err.Error())
		}
		if service.Name != ref.Name {
			return errors.Wrapf(ErrBadPart, "holds %q", service.Name)
		}
		s.set.Services = append(s.set.Services, service)
	case KindContract:
		var c contract.Contract
		if err := decoder.Unmarshal(raw, &c); err != nil {
			return errors.Wrap(ErrBadPart, err.Error())
		}
		if c.Customer != ref.Name {
			return errors.Wrapf(ErrBadPart, "holds %q", c.Customer)
		}
		s.set.Contracts = append(s.set.Contracts, c)
	default:
		return errors.Wrapf(ErrBadPart, "unknown kind %q", ref.Kind)
	}
	return nil
}

func partFinding(key string, err error) finding.Finding {
	code := CodePartCorrupt
	if errors.Is(err, errPartMissing) {
		code = CodePartMissing
	}
	return finding.Finding{Code: code, File: "version", Key: key, Problem: err.Error(),
		Hint: "publish the version again under a higher revision"}
}

func (s *Snapshot) index() {
	for i := range s.set.Services {
		s.services[s.set.Services[i].Name] = &s.set.Services[i]
	}
	for i := range s.set.Contracts {
		c := &s.set.Contracts[i]
		s.contracts[c.Customer] = c
		for _, hash := range c.TokenHashes {
			s.tokenOwner[hash] = c
		}
	}
}

// Version is the snapshot's place in the order of versions.
func (s *Snapshot) Version() Version { return s.manifest.Version }

// Root names the snapshot's content.
func (s *Snapshot) Root() Hash { return s.manifest.Root }

// Manifest returns the manifest; callers must not change it.
func (s *Snapshot) Manifest() *Manifest { return s.manifest }

// Parts returns the version's parts for handing on to peers; callers must not
// change them.
func (s *Snapshot) Parts() Parts { return s.parts }

// Set returns the whole configuration; callers must not change it.
func (s *Snapshot) Set() *contract.Set { return &s.set }

// Service returns the named service, or nil.
func (s *Snapshot) Service(name string) *contract.Service { return s.services[name] }

// Contract returns the customer's contract, or nil.
func (s *Snapshot) Contract(customer string) *contract.Contract { return s.contracts[customer] }

// ContractByToken returns the contract whose customer owns the caller token, or
// nil. Only digests are compared, so the time taken tells nothing of tokens.
func (s *Snapshot) ContractByToken(token string) *contract.Contract {
	return s.tokenOwner[contract.HashToken(token)]
}
