package distribution

import (
	"tamarackquay/internal/finding"
	"tamarackquay/internal/snapshot"
)

// Effect is an action for the control loop to execute.
type Effect interface{ effect() }

// FetchManifest requests the manifest of a source. The control loop calls
// ManifestReceived or FetchFailed with the result.
type FetchManifest struct{ From Source }

// FetchParts requests parts of a source by hash. The control loop calls
// PartsReceived or FetchFailed with the result.
type FetchParts struct {
	From   Source
	Hashes []snapshot.Hash
}

// Announce sends the version that was just applied to the peers that
// AnnouncePeers selects.
type Announce struct {
	Version snapshot.Version
	Root    snapshot.Hash
	// Origin is the distance of the source that the version came from.
	Origin Distance
}

// Apply replaces the node's snapshot. It is the only effect that changes the
// configuration used for requests.
type Apply struct {
	Snapshot *snapshot.Snapshot
	From     Source
}

// Refuse reports a version that failed validation.
type Refuse struct {
	Version  snapshot.Version
	Root     snapshot.Hash
	From     Source
	Findings finding.List
}

// Conflict reports to operators that two of them published over each other.
type Conflict struct {
	Version  snapshot.Version
	Root     snapshot.Hash
	From     Source
	Findings finding.List
}

// Incomplete reports to operators that the platform does not serve all parts
// of a version that it published. The version is retried, and no node applies
// it until its parts are available.
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

// Finding codes of conflicting publications.
const (
	// CodeSameVersion reports different contents under one version number.
	CodeSameVersion finding.Code = "version-published-twice"
	// CodeLostUpdate reports a version that was built from an older one than
	// the version it replaces, so that a change in between is lost.
	CodeLostUpdate finding.Code = "version-lost-update"
)
