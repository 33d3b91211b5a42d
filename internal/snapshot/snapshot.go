package snapshot

import (
	"github.com/pkg/errors"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/finding"
)

// Finding codes for a version's parts.
const (
	CodePartMissing finding.Code = "part-missing"
	CodePartCorrupt finding.Code = "part-corrupt"
)

// Snapshot is a complete, validated version. It is immutable: a request uses the same
// snapshot from start to end, and any number of goroutines may read it.
type Snapshot struct {
	manifest        *Manifest
	parts           Parts
	set             contract.Set
	services        map[string]*contract.Service
	contracts       map[string]*contract.Contract
	contractByToken map[string]*contract.Contract
}

// Select returns the parts of the manifest that are in the pools, and the hashes of
// those that are in none. It takes two rounds: as long as groups are missing, only
// the groups are listed as missing, then the parts to which the groups refer. Parts
// that do not belong to the manifest are not selected.
func Select(manifest *Manifest, pools ...Parts) (selected Parts, missing []Hash, err error) {
	s := &selection{pools: pools, selected: Parts{}, missingSet: map[Hash]bool{}}
	for _, hash := range manifest.Groups {
		s.require(hash)
	}
	if len(s.missing) > 0 {
		return s.selected, s.missing, nil
	}
	for _, hash := range manifest.Groups {
		group, err := DecodeGroup(s.selected[hash])
		if err != nil {
			return nil, nil, err
		}
		for _, ref := range group.Parts {
			s.require(ref.Hash)
		}
	}
	return s.selected, s.missing, nil
}

// selection holds the state of one Select call.
type selection struct {
	pools      []Parts
	selected   Parts
	missingSet map[Hash]bool
	missing    []Hash
}

func (s *selection) require(hash Hash) {
	for _, pool := range s.pools {
		if raw, ok := pool[hash]; ok {
			s.selected[hash] = raw
			return
		}
	}
	if !s.missingSet[hash] {
		s.missingSet[hash] = true
		s.missing = append(s.missing, hash)
	}
}

// Assemble validates a complete version and returns its snapshot, or all findings
// that make it invalid. No part of an invalid version is used.
func Assemble(manifest *Manifest, available Parts) (*Snapshot, finding.List) {
	s := &Snapshot{
		manifest:        manifest,
		parts:           Parts{},
		services:        map[string]*contract.Service{},
		contracts:       map[string]*contract.Contract{},
		contractByToken: map[string]*contract.Contract{},
	}
	if found := s.load(available); len(found) > 0 {
		return nil, found
	}
	if found := contract.Check(&s.set, contract.NoLocations{}); len(found) > 0 {
		return nil, found
	}
	s.index()
	return s, nil
}

// load verifies and decodes the parts of the manifest.
func (s *Snapshot) load(available Parts) finding.List {
	var found finding.List
	for _, hash := range s.manifest.Groups {
		raw, err := s.verifiedPart(hash, available)
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
			if err := s.loadPart(ref, available); err != nil {
				found = append(found, partFinding(string(ref.Kind)+" "+ref.Name, err))
			}
		}
	}
	found.Sort()
	return found
}

// errPartMissing marks parts that have not been received, in contrast to corrupt ones.
var errPartMissing = errors.New("part is missing")

// verifiedPart returns a part's content after checking it against its hash, and adds it
// to the snapshot. Received parts are checked on receipt too; checking here as well
// ensures that no unchecked part can get into a snapshot.
func (s *Snapshot) verifiedPart(hash Hash, available Parts) ([]byte, error) {
	raw, ok := available[hash]
	if !ok {
		return nil, errPartMissing
	}
	if HashOf(raw) != hash {
		return nil, errors.Wrap(ErrBadPart, "content does not match its hash")
	}
	s.parts[hash] = raw
	return raw, nil
}

func (s *Snapshot) loadPart(ref PartRef, available Parts) error {
	raw, err := s.verifiedPart(ref.Hash, available)
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
			return errors.Wrapf(ErrBadPart, "contains service %q", service.Name)
		}
		s.set.Services = append(s.set.Services, service)
	case KindContract:
		var c contract.Contract
		if err := decoder.Unmarshal(raw, &c); err != nil {
			return errors.Wrap(ErrBadPart, err.Error())
		}
		if c.Customer != ref.Name {
			return errors.Wrapf(ErrBadPart, "contains the contract of %q", c.Customer)
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
			s.contractByToken[hash] = c
		}
	}
}

// Version returns the snapshot's version.
func (s *Snapshot) Version() Version { return s.manifest.Version }

// Root returns the digest of the snapshot's content.
func (s *Snapshot) Root() Hash { return s.manifest.Root }

// Manifest returns the manifest; callers must not change it.
func (s *Snapshot) Manifest() *Manifest { return s.manifest }

// Parts returns the version's parts, for sending them to peers; callers must not
// change them.
func (s *Snapshot) Parts() Parts { return s.parts }

// Set returns the complete configuration; callers must not change it.
func (s *Snapshot) Set() *contract.Set { return &s.set }

// Service returns the named service, or nil.
func (s *Snapshot) Service(name string) *contract.Service { return s.services[name] }

// Contract returns the customer's contract, or nil.
func (s *Snapshot) Contract(customer string) *contract.Contract { return s.contracts[customer] }

// ContractByToken returns the contract of the customer that owns the caller token, or
// nil. Only digests are compared, so the time taken reveals nothing about tokens.
func (s *Snapshot) ContractByToken(token string) *contract.Contract {
	return s.contractByToken[contract.HashToken(token)]
}
