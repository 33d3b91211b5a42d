package distribution

import (
	"time"

	"tamarackquay/internal/finding"
	"tamarackquay/internal/snapshot"
)

const (
	// platformChunk is how many parts are asked of the platform at a time:
	// few, so that a peer that gets the version meanwhile takes over.
	platformChunk = 16
	// peerChunk is how many parts are asked of a peer at a time.
	peerChunk = 2048
)

// staging is a version that the node is collecting. Nothing of it is visible
// to requests.
type staging struct {
	manifest *snapshot.Manifest
	// held are the parts collected so far, all of them named by the manifest.
	held snapshot.Parts
	// spare are the parts of the one version that this one superseded.
	spare snapshot.Parts
	asked *request
	// failures counts the requests for parts that failed since the version was
	// staged.
	failures int
	// retryAt is when a shelved version is tried again.
	retryAt time.Time
}

// answered ends the request to a source, if there is one, and reports so.
func (st *staging) answered(from Source) bool {
	if st.asked == nil || st.asked.from != from {
		return false
	}
	st.asked = nil
	return true
}

// stage starts to collect a version; it takes over the parts that are already
// here, so that only changed ones move.
func (s *State) stage(now time.Time, from Source, manifest *snapshot.Manifest) {
	next := &staging{manifest: manifest, held: snapshot.Parts{}}
	if s.staged != nil {
		next.spare = s.staged.held
	}
	if s.shelf != nil && !contentOf(s.shelf.manifest).newerThan(contentOf(manifest)) {
		s.shelf = nil
	}
	s.staged = next
	if s.sources[from] == nil {
		s.learn(now, from, contentOf(manifest), SameDomain, now)
	}
}

// PartsReceived takes parts of the staged version. Content that the version
// does not name is left out; a source that gave nothing of use has failed.
func (s *State) PartsReceived(now time.Time, from Source, parts [][]byte) []Effect {
	if s.staged == nil {
		return nil
	}
	progress, err := s.keepNamed(parts)
	asked := s.staged.asked != nil && s.staged.asked.from == from
	switch {
	case err == nil && !progress && !asked:
		return nil
	case err == nil && !progress:
		return s.FetchFailed(now, from, 0)
	}
	s.staged.answered(from)
	if known := s.sources[from]; known != nil {
		known.failures = 0
	}
	return s.proceed(now)
}

// keepNamed holds those of the parts that the staged version lacks. Parts are
// named by their content, so a wrong or broken one can't pass for another; to
// hold it all the same would let a broken peer fill the memory.
func (s *State) keepNamed(parts [][]byte) (progress bool, err error) {
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
	pools := []snapshot.Parts{s.staged.held, s.staged.spare}
	if s.applied != nil {
		pools = append(pools, s.applied.Parts())
	}
	return snapshot.Select(s.staged.manifest, pools...)
}

// advance asks for what is missing or, when nothing is, checks the version
// whole and applies or refuses it.
func (s *State) advance(now time.Time) []Effect {
	if s.staged == nil {
		return nil
	}
	held, missing, err := s.selectParts()
	if err != nil {
		return s.refuse(finding.List{{Code: snapshot.CodePartCorrupt, File: "version", Problem: err.Error()}})
	}
	s.staged.held = held
	if len(missing) > 0 {
		return s.askParts(now, missing)
	}
	assembled, found := snapshot.Assemble(s.staged.manifest, held)
	if len(found) > 0 {
		return s.refuse(found)
	}
	return s.apply(assembled)
}

// askParts asks one source at a time for what is missing.
func (s *State) askParts(now time.Time, missing []snapshot.Hash) []Effect {
	if s.staged.asked != nil {
		return nil
	}
	staged := contentOf(s.staged.manifest)
	from, ok := s.best(now, func(known *source) bool { return known.claim == staged })
	if !ok {
		return nil
	}
	chunk := peerChunk
	if from == Platform {
		chunk = platformChunk
	}
	s.staged.asked = &request{from: from, deadline: now.Add(s.config.FetchTimeout)}
	return []Effect{FetchParts{From: from, Hashes: missing[:min(chunk, len(missing))]}}
}

func (s *State) apply(assembled *snapshot.Snapshot) []Effect {
	from, origin := s.origin()
	if s.applied != nil {
		s.history.add(s.applied.Root())
	}
	s.applied = assembled
	s.staged = nil
	inForce := s.inForce()
	if s.shelf != nil && !contentOf(s.shelf.manifest).newerThan(inForce) {
		s.shelf = nil
	}
	s.refused.dropUpTo(inForce)
	s.dropUpTo(inForce)
	return []Effect{
		Apply{Snapshot: assembled, From: from},
		Announce{Version: inForce.version, Root: inForce.root, Origin: origin},
	}
}

// origin returns the nearest source that held the staged version, which is the
// one that gave its last parts unless that has moved on since.
func (s *State) origin() (Source, Distance) {
	staged := contentOf(s.staged.manifest)
	from, origin := Platform, FromPlatform
	for candidate, known := range s.sources {
		if known.claim == staged && (known.distance < origin || known.distance == origin && candidate < from) {
			from, origin = candidate, known.distance
		}
	}
	return from, origin
}

func (s *State) dropUpTo(inForce content) {
	for from, known := range s.sources {
		if !known.claim.newerThan(inForce) {
			delete(s.sources, from)
		}
	}
}

func (s *State) refuse(found finding.List) []Effect {
	bad := contentOf(s.staged.manifest)
	from, _ := s.origin()
	s.refused.add(bad)
	s.staged = nil
	return []Effect{Refuse{Version: bad.version, Root: bad.root, From: from, Findings: found}}
}

// Bounds on telling of an incomplete version: after how many failures of the
// platform, and how many of its parts are named.
const (
	tellIncompleteAfter = 3
	maxPartsTold        = 5
)

// incomplete tells once of a version whose parts the platform does not give: a
// part that was never published, or whose content is not what its hash says.
func (s *State) incomplete(from Source) []Effect {
	known := s.sources[Platform]
	if from != Platform || s.staged == nil || known == nil || known.failures != tellIncompleteAfter {
		return nil
	}
	staged := contentOf(s.staged.manifest)
	_, missing, err := s.selectParts()
	if err != nil || known.claim != staged {
		return nil
	}
	var found finding.List
	for _, hash := range missing[:min(len(missing), maxPartsTold)] {
		found = append(found, finding.Finding{Code: snapshot.CodePartMissing, File: "version", Key: "part " + hash.Short(),
			Problem: "the platform gives no content with this hash", Hint: "publish the part, or the version again under a higher revision"})
	}
	return []Effect{Incomplete{Version: staged.version, Root: staged.root, Findings: found}}
}

// shelveIfStuck puts the staged version aside when nobody gives it and another
// version above the one in force can be had. Without this, a publication that
// lacks a part, or a peer's manifest that nobody can back, would keep a node
// from the good version that all its peers serve.
func (s *State) shelveIfStuck(now time.Time) {
	if s.staged == nil || !s.stuck() {
		return
	}
	staged, inForce := contentOf(s.staged.manifest), s.inForce()
	_, ok := s.best(now, func(known *source) bool {
		return known.claim.newerThan(inForce) && staged.newerThan(known.claim) && !s.refused.has(known.claim)
	})
	if !ok {
		return
	}
	s.staged.retryAt = now.Add(s.config.FetchRetryMax)
	s.staged.asked = nil
	s.shelf, s.staged = s.staged, nil
}

// stuck reports whether the staged version has no source left, or was tried and
// each source of it has failed. Failures from before it was staged don't count
// by themselves: two versions whose sources once failed would take turns on the
// shelf without end, and neither would be tried.
func (s *State) stuck() bool {
	staged := contentOf(s.staged.manifest)
	sources := 0
	for _, known := range s.sources {
		if known.claim != staged {
			continue
		}
		if known.failures == 0 {
			return false
		}
		sources++
	}
	return sources == 0 || s.staged.failures > 0
}

// takeFromShelf tries a version again that lacked parts: when its time has
// come and nothing else is staged, or at once when a source turns up that has
// not failed yet.
func (s *State) takeFromShelf(now time.Time) {
	if s.shelf == nil {
		return
	}
	shelved := contentOf(s.shelf.manifest)
	_, fresh := s.best(now, func(known *source) bool { return known.claim == shelved && known.failures == 0 })
	if !fresh && (s.staged != nil || now.Before(s.shelf.retryAt)) {
		return
	}
	if s.staged != nil {
		s.shelf.spare = s.staged.held
	}
	s.staged, s.shelf = s.shelf, nil
	s.staged.failures = 0
}
