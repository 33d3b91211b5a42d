package distribution

import (
	"tamarackquay/internal/finding"
	"tamarackquay/internal/snapshot"
)

// Effect is something that the control loop must do.
type Effect interface{ effect() }

// FetchManifest asks the source for its manifest. The control loop answers
// with ManifestReceived or FetchFailed.
type FetchManifest struct{ From Source }

// FetchParts asks the source for parts by hash. The control loop answers with
// PartsReceived or FetchFailed.
type FetchParts struct {
	From   Source
	Hashes []snapshot.Hash
}

// Announce tells peers of the version that was just applied; Audience chooses
// them.
type Announce struct {
	Version snapshot.Version
	Root    snapshot.Hash
	// Origin is where the version came from.
	Origin Distance
}

// Apply swaps the node's snapshot. It is the only effect that changes what
// requests see.
type Apply struct {
	Snapshot *snapshot.Snapshot
	From     Source
}

// Refuse records a version that failed its checks.
type Refuse struct {
	Version  snapshot.Version
	Root     snapshot.Hash
	From     Source
	Findings finding.List
}

// Conflict tells operators that two of them published over each other.
type Conflict struct {
	Version  snapshot.Version
	Root     snapshot.Hash
	From     Source
	Findings finding.List
}

// Incomplete tells operators that the platform does not give parts of a
// version that it published. The version is tried again, and is in force
// nowhere meanwhile.
type Incomplete struct {
	Version  snapshot.Version
	Root     snapshot.Hash
	Findings finding.List
}

func (FetchManifest) effect() {}
func (FetchParts) effect()    {}
func (Announce) effect()      {}
func (Apply) effect()         {}
func (Refuse) effect()        {}
func (Conflict) effect()      {}
func (Incomplete) effect()    {}

// The codes of findings about versions that operators published over each
// other.
const (
	// CodeSameVersion is two contents under one version number.
	CodeSameVersion finding.Code = "version-published-twice"
	// CodeLostUpdate is a version that was built from an older one than the
	// version it replaces, so that a change in between is lost.
	CodeLostUpdate finding.Code = "version-lost-update"
)
