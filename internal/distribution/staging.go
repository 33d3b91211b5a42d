package distribution

import (
	"time"

	"tamarackquay/internal/finding"
	"tamarackquay/internal/snapshot"
)

const (
	// platformChunk is the number of parts per request to the platform. It is
	// small so that the node can switch to a peer that receives the version in
	// the meantime.
	platformChunk = 16
	// peerChunk is the number of parts per request to a peer.
	peerChunk = 2048
)

// staging is a version whose parts the node is fetching. It has no effect on
// requests until it is applied.
type staging struct {
	manifest *snapshot.Manifest
	// held are the parts fetched so far, all of them listed in the manifest.
	held snapshot.Parts
	// reusable are the parts of the staged version that this one replaced.
	reusable snapshot.Parts
	pending  *request
	// failures counts the requests for parts that failed since the version was
	// staged.
	failures int
	// retryAt is when a deferred version is retried.
	retryAt time.Time
}

// clearPending clears the pending request if it was sent to the given source,
// and reports whether it was.
func (st *staging) clearPending(from Source) bool {
	if st.pending == nil || st.pending.from != from {
		return false
	}
	st.pending = nil
	return true
}

// stage starts to fetch a version. It keeps the parts that were already fetched
// for the previously staged version, so that only changed parts are transferred.
func (s *State) stage(now time.Time, from Source, manifest *snapshot.Manifest) {
	next := &staging{manifest: manifest, held: snapshot.Parts{}}
	if s.staged != nil {
		next.reusable = s.staged.held
	}
	if s.deferred != nil && !contentOf(s.deferred.manifest).newerThan(contentOf(manifest)) {
		s.deferred = nil
	}
	s.staged = next
	if s.sources[from] == nil {
		s.addClaim(now, from, contentOf(manifest), SameDomain, now)
	}
}

// PartsReceived processes parts of the staged version. Parts that its manifest
// does not list are dropped. If the source of the pending request delivers no
// missing part, this counts as a failed fetch.
func (s *State) PartsReceived(now time.Time, from Source, parts [][]byte) []Effect {
	if s.staged == nil {
		return nil
	}
	progress, err := s.storeMissing(parts)
	requested := s.staged.pending != nil && s.staged.pending.from == from
	switch {
	case err == nil && !progress && !requested:
		return nil
	case err == nil && !progress:
		return s.FetchFailed(now, from, 0)
	}
	s.staged.clearPending(from)
	if src := s.sources[from]; src != nil {
		src.failures = 0
	}
	return s.proceed(now)
}

// storeMissing stores those of the parts that the staged version lacks. Parts
// are identified by their content hash, so a wrong or corrupt part cannot be
// mistaken for another. It is still dropped, or a faulty peer could fill the
// memory.
func (s *State) storeMissing(parts [][]byte) (progress bool, err error) {
	_, missing, err := s.selectParts()
	if err != nil {
		return false, err
	}
	wanted := make(map[snapshot.Hash]bool, len(missing))
	for _, hash := range missing {
		wanted[hash] = true
	}
	for _, raw := range parts {
		hash := snapshot.HashOf(raw)
		if !wanted[hash] {
			continue
		}
		s.staged.held[hash] = raw
		progress = true
	}
	return progress, nil
}

func (s *State) selectParts() (held snapshot.Parts, missing []snapshot.Hash, err error) {
	pools := []snapshot.Parts{s.staged.held, s.staged.reusable}
	if s.applied != nil {
		pools = append(pools, s.applied.Parts())
	}
	return snapshot.Select(s.staged.manifest, pools...)
}

// advanceStaged requests the missing parts of the staged version. When none is
// missing, it validates the complete version and applies or refuses it.
func (s *State) advanceStaged(now time.Time) []Effect {
	if s.staged == nil {
		return nil
	}
	held, missing, err := s.selectParts()
	if err != nil {
		return s.refuseStaged(finding.List{{Code: snapshot.CodePartCorrupt, File: "version", Problem: err.Error()}})
	}
	s.staged.held = held
	if len(missing) > 0 {
		return s.requestParts(now, missing)
	}
	assembled, found := snapshot.Assemble(s.staged.manifest, held)
	if len(found) > 0 {
		return s.refuseStaged(found)
	}
	return s.apply(assembled)
}

// requestParts requests missing parts, from one source at a time.
func (s *State) requestParts(now time.Time, missing []snapshot.Hash) []Effect {
	if s.staged.pending != nil {
		return nil
	}
	staged := contentOf(s.staged.manifest)
	from, ok := s.bestSource(now, func(src *source) bool { return src.claim == staged })
	if !ok {
		return nil
	}
	chunk := peerChunk
	if from == Platform {
		chunk = platformChunk
	}
	s.staged.pending = &request{from: from, deadline: now.Add(s.config.FetchTimeout)}
	return []Effect{FetchParts{From: from, Hashes: missing[:min(chunk, len(missing))]}}
}

func (s *State) apply(assembled *snapshot.Snapshot) []Effect {
	from, origin := s.origin()
	if s.applied != nil {
		s.history.add(s.applied.Root())
	}
	s.applied = assembled
	s.staged = nil
	applied := s.appliedContent()
	if s.deferred != nil && !contentOf(s.deferred.manifest).newerThan(applied) {
		s.deferred = nil
	}
	s.refused.dropUpTo(applied)
	s.dropUpTo(applied)
	return []Effect{
		Apply{Snapshot: assembled, From: from},
		Announce{Version: applied.version, Root: applied.root, Origin: origin},
	}
}

// origin returns the nearest source that claims the staged version. This is the
// source of its last parts, unless that source has claimed another version
// since.
func (s *State) origin() (Source, Distance) {
	staged := contentOf(s.staged.manifest)
	from, origin := Platform, FromPlatform
	for candidate, src := range s.sources {
		if src.claim == staged && (src.distance < origin || src.distance == origin && candidate < from) {
			from, origin = candidate, src.distance
		}
	}
	return from, origin
}

func (s *State) dropUpTo(applied content) {
	for from, src := range s.sources {
		if !src.claim.newerThan(applied) {
			delete(s.sources, from)
		}
	}
}

func (s *State) refuseStaged(found finding.List) []Effect {
	bad := contentOf(s.staged.manifest)
	from, _ := s.origin()
	s.refused.add(bad)
	s.staged = nil
	return []Effect{Refuse{Version: bad.version, Root: bad.root, From: from, Findings: found}}
}

// Limits of the report of an incomplete version: the number of platform
// failures after which it is sent, and the number of parts that it lists.
const (
	incompleteAfterFailures = 3
	maxPartsReported        = 5
)

// reportIncomplete reports, once, a version whose parts the platform does not
// serve: a part was never published, or its content does not match its hash.
func (s *State) reportIncomplete(from Source) []Effect {
	src := s.sources[Platform]
	if from != Platform || s.staged == nil || src == nil || src.failures != incompleteAfterFailures {
		return nil
	}
	staged := contentOf(s.staged.manifest)
	_, missing, err := s.selectParts()
	if err != nil || src.claim != staged {
		return nil
	}
	var found finding.List
	for _, hash := range missing[:min(len(missing), maxPartsReported)] {
		found = append(found, finding.Finding{Code: snapshot.CodePartMissing, File: "version", Key: "part " + hash.Short(),
			Problem: "the platform gives no content with this hash", Hint: "publish the part, or the version again under a higher revision"})
	}
	return []Effect{Incomplete{Version: staged.version, Root: staged.root, Findings: found}}
}

// deferIfStalled defers the staged version when no source provides it and
// another version newer than the applied one is available. Without this, a
// publication that lacks a part, or a manifest from a peer whose parts no source
// has, would keep a node from the valid version that all its peers serve.
func (s *State) deferIfStalled(now time.Time) {
	if s.staged == nil || !s.stalled() {
		return
	}
	staged, applied := contentOf(s.staged.manifest), s.appliedContent()
	_, ok := s.bestSource(now, func(src *source) bool {
		return src.claim.newerThan(applied) && staged.newerThan(src.claim) && !s.refused.has(src.claim)
	})
	if !ok {
		return
	}
	s.staged.retryAt = now.Add(s.config.FetchRetryMax)
	s.staged.pending = nil
	s.deferred, s.staged = s.staged, nil
}

// stalled reports whether the staged version has no source left, or all its
// sources have failed and a request for its parts has failed since it was
// staged. Source failures from before the staging are not enough: two versions
// whose sources had failed once would defer each other forever, and neither
// would be fetched.
func (s *State) stalled() bool {
	staged := contentOf(s.staged.manifest)
	sources := 0
	for _, src := range s.sources {
		if src.claim != staged {
			continue
		}
		if src.failures == 0 {
			return false
		}
		sources++
	}
	return sources == 0 || s.staged.failures > 0
}

// resumeDeferred stages the deferred version again: when its retry time has come
// and no other version is staged, or at once when a source appears that has not
// failed yet.
func (s *State) resumeDeferred(now time.Time) {
	if s.deferred == nil {
		return
	}
	deferred := contentOf(s.deferred.manifest)
	_, fresh := s.bestSource(now, func(src *source) bool { return src.claim == deferred && src.failures == 0 })
	if !fresh && (s.staged != nil || now.Before(s.deferred.retryAt)) {
		return
	}
	if s.staged != nil {
		s.deferred.reusable = s.staged.held
	}
	s.staged, s.deferred = s.deferred, nil
	s.staged.failures = 0
}
