// Package distribution decides how one node learns, checks, applies and hands
// on configuration versions. It is pure: each method takes the time and what
// happened, and returns the effects that the node's control loop carries out.
package distribution

import (
	"time"

	"tamarackquay/internal/finding"
	"tamarackquay/internal/snapshot"
)

// Source is where a version or its parts come from: a peer's VM id, or the
// platform.
type Source string

// Platform is the source that is no peer.
const Platform Source = ""

// Effect is something that the control loop must do.
type Effect interface{ effect() }

// FetchManifest asks the source for its manifest.
type FetchManifest struct{ From Source }

// FetchParts asks the source for parts by hash.
type FetchParts struct {
	From   Source
	Hashes []snapshot.Hash
}

// Announce tells peers of the version that was just applied.
type Announce struct {
	Version snapshot.Version
	Root    snapshot.Hash
}

// Apply swaps the node's snapshot. It is the only effect that changes what
// requests see.
type Apply struct{ Snapshot *snapshot.Snapshot }

// Refuse records a version that failed its checks.
type Refuse struct {
	Version  snapshot.Version
	Root     snapshot.Hash
	From     Source
	Findings finding.List
}

func (FetchManifest) effect() {}
func (FetchParts) effect()    {}
func (Announce) effect()      {}
func (Apply) effect()         {}
func (Refuse) effect()        {}

// Config holds the times and bounds of distribution.
type Config struct {
	// FetchRetry is the pause before a failed fetch is tried at another
	// source.
	FetchRetry time.Duration
	// ReadyHold bounds how long a fresh process waits for a version that was
	// only reported to it, so that a false number can't keep it out for ever.
	ReadyHold time.Duration
}

// DefaultConfig suits a fleet of one to a few thousand nodes.
func DefaultConfig() Config {
	return Config{FetchRetry: 500 * time.Millisecond, ReadyHold: 20 * time.Second}
}

// refusedKey names a refused version by all that makes it distinct: a later
// publication under the same number with other content is another version.
type refusedKey struct {
	version snapshot.Version
	root    snapshot.Hash
}

// staging is the one version that the node is collecting.
type staging struct {
	manifest *snapshot.Manifest
	held     snapshot.Parts
	from     Source
	retryAt  time.Time
}

// State is the distribution state of one node. It is not safe for concurrent
// use; the node's control loop owns it.
type State struct {
	config   Config
	applied  *snapshot.Snapshot
	staged   *staging
	refused  map[refusedKey]bool
	reported snapshot.Version
	started  time.Time
	// holders are peers that said they have the staged version.
	holders []Source
}

// New returns the state of a process that knows no version.
func New(config Config, now time.Time) *State {
	return &State{config: config, refused: map[refusedKey]bool{}, started: now}
}

// Applied returns the snapshot in force, or nil.
func (s *State) Applied() *snapshot.Snapshot { return s.applied }

// AppliedVersion returns the version in force, zero when there is none.
func (s *State) AppliedVersion() snapshot.Version {
	if s.applied == nil {
		return snapshot.Version{}
	}
	return s.applied.Version()
}

// Reported returns the highest version that anyone reported.
func (s *State) Reported() snapshot.Version { return s.reported }

// Ready reports whether the node may serve: it has a version, and either none
// higher was reported or the bounded wait for it is over.
func (s *State) Ready(now time.Time) bool {
	if s.applied == nil {
		return false
	}
	return !s.reported.NewerThan(s.applied.Version()) || now.Sub(s.started) >= s.config.ReadyHold
}

// VersionReported takes a version number that a peer claims to have. It starts
// a pull and never bars a version that can really be had.
func (s *State) VersionReported(now time.Time, from Source, version snapshot.Version) []Effect {
	if version.NewerThan(s.reported) {
		s.reported = version
	}
	if !version.NewerThan(s.AppliedVersion()) {
		return nil
	}
	if s.staged != nil && !version.NewerThan(s.staged.manifest.Version) {
		s.addHolder(from)
		return nil
	}
	return []Effect{FetchManifest{From: from}}
}

func (s *State) addHolder(from Source) {
	for _, holder := range s.holders {
		if holder == from {
			return
		}
	}
	s.holders = append(s.holders, from)
}

// ManifestReceived takes a manifest from the platform or a peer. Versions that
// are not newer than the one in force are dropped, which is what keeps every
// node from returning to an older version.
func (s *State) ManifestReceived(now time.Time, from Source, manifest *snapshot.Manifest) []Effect {
	version := manifest.Version
	if !version.NewerThan(s.AppliedVersion()) {
		return nil
	}
	if s.refused[refusedKey{version, manifest.Root}] {
		return nil
	}
	if s.staged != nil && !version.NewerThan(s.staged.manifest.Version) {
		s.addHolder(from)
		return nil
	}
	held := snapshot.Parts{}
	if s.applied != nil {
		for hash, raw := range s.applied.Parts() {
			held[hash] = raw
		}
	}
	if s.staged != nil {
		for hash, raw := range s.staged.held {
			held[hash] = raw
		}
	}
	s.staged = &staging{manifest: manifest, held: held, from: from}
	s.holders = []Source{from}
	return s.advance(now)
}

// PartsReceived takes parts of the staged version. Content that does not match
// a hash is left out, and so is asked for again elsewhere.
func (s *State) PartsReceived(now time.Time, from Source, parts [][]byte) []Effect {
	if s.staged == nil {
		return nil
	}
	for _, raw := range parts {
		s.staged.held[snapshot.HashOf(raw)] = raw
	}
	return s.advance(now)
}

// FetchFailed notes that a source did not give what it was asked for.
func (s *State) FetchFailed(now time.Time, from Source) []Effect {
	if s.staged == nil || s.staged.from != from {
		return nil
	}
	s.staged.retryAt = now.Add(s.config.FetchRetry)
	s.staged.from = s.nextHolder(from)
	return nil
}

func (s *State) nextHolder(after Source) Source {
	for i, holder := range s.holders {
		if holder == after {
			return s.holders[(i+1)%len(s.holders)]
		}
	}
	return after
}

// Tick retries a fetch whose pause is over.
func (s *State) Tick(now time.Time) []Effect {
	if s.staged == nil || s.staged.retryAt.IsZero() || now.Before(s.staged.retryAt) {
		return nil
	}
	s.staged.retryAt = time.Time{}
	return s.advance(now)
}

// advance asks for what is missing or, when nothing is, checks the version
// whole and applies or refuses it.
func (s *State) advance(now time.Time) []Effect {
	manifest := s.staged.manifest
	missing, err := snapshot.Missing(manifest, s.staged.held)
	if err != nil {
		return s.refuse(finding.List{{Code: snapshot.CodePartCorrupt, File: "version", Problem: err.Error()}})
	}
	if len(missing) > 0 {
		return []Effect{FetchParts{From: s.staged.from, Hashes: missing}}
	}
	assembled, found := snapshot.Assemble(manifest, s.staged.held)
	if len(found) > 0 {
		return s.refuse(found)
	}
	s.applied = assembled
	s.staged = nil
	s.holders = nil
	return []Effect{
		Apply{Snapshot: assembled},
		Announce{Version: manifest.Version, Root: manifest.Root},
	}
}

func (s *State) refuse(found finding.List) []Effect {
	manifest := s.staged.manifest
	s.refused[refusedKey{manifest.Version, manifest.Root}] = true
	effect := Refuse{Version: manifest.Version, Root: manifest.Root, From: s.staged.from, Findings: found}
	s.staged = nil
	s.holders = nil
	return []Effect{effect}
}
