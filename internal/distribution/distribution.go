// Package distribution decides how one node learns, checks, applies and hands
// on configuration versions. It is pure: each method takes the time and what
// happened, and returns the effects that the node's control loop carries out.
// Random numbers come from the source that New is given.
//
// A version moves through a node in these steps: a claim (a peer or the
// platform has it), its manifest, its parts (staged, never in force in part),
// one check of the whole, and then Apply or Refuse.
package distribution

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackquay/internal/snapshot"
)

// Config holds the times and bounds of distribution.
type Config struct {
	// Patience is how long a version that was overheard from another region
	// waits for a nearer source before it is fetched from there. It is the
	// policy between time (short) and cross-region bytes (long). Announces from
	// another region, and what was overheard from another failure domain of the
	// same region, wait a quarter of it.
	CrossRegionDelay time.Duration
	// Redundancy is how many paths lead a version into each failure domain
	// and to each node of it, so that one lost announce delays nobody.
	Redundancy int
	// Children is how many peers of its failure domain a node tells on each
	// path.
	Children int
	// FetchRetry is the bound of the pause after a first failure; it doubles
	// with each further one up to FetchRetryMax.
	FetchRetry    time.Duration
	FetchRetryMax time.Duration
	// FetchTimeout ends the wait for an answer that never comes.
	FetchTimeout time.Duration
	// BackupWait is about how long a node that is not the first reader of its
	// region leaves the platform's parts to that reader.
	BackupDelay time.Duration
	// ReadyHold bounds how long a fresh process waits for a version that was
	// only reported to it, and for reports, so that a false number or a fleet
	// that is gone can't keep it out for ever.
	ReadyTimeout time.Duration
	// ReadyReports is how many peers' versions a fresh process hears before
	// it trusts that none has a higher one.
	ReadyReports int
}

// DefaultConfig suits a fleet of one to a few thousand nodes.
func DefaultConfig() Config {
	return Config{
		CrossRegionDelay: time.Second, Redundancy: 2, Children: 3,
		FetchRetry: 500 * time.Millisecond, FetchRetryMax: 30 * time.Second, FetchTimeout: 10 * time.Second,
		BackupDelay: 3 * time.Second, ReadyTimeout: 10 * time.Second, ReadyReports: 3,
	}
}

// request is a question that is on its way.
type request struct {
	from     Source
	deadline time.Time
}

// State is the distribution state of one node. It is not safe for concurrent
// use; the node's control loop owns it.
type State struct {
	config  Config
	random  *rand.Rand
	started time.Time

	applied  *snapshot.Snapshot
	staged   *staging
	shelf    *staging
	sources  map[Source]*source
	asked    *request
	pauseEnd time.Time
	refused  refusals
	history  history

	heard map[Source]bool
	peers int
	rank  int
}

// New returns the state of a process that knows no version.
func New(config Config, now time.Time, random *rand.Rand) *State {
	return &State{
		config: config, random: random, started: now,
		sources: map[Source]*source{}, refused: refusals{}, heard: map[Source]bool{},
	}
}

// Applied returns the snapshot in force, or nil.
func (s *State) Applied() *snapshot.Snapshot { return s.applied }

// AppliedVersion returns the version in force, zero when there is none.
func (s *State) AppliedVersion() snapshot.Version { return s.inForce().version }

func (s *State) inForce() content {
	if s.applied == nil {
		return content{}
	}
	return contentOf(s.applied.Manifest())
}

// Reported returns the highest version that a source claims now, and at least
// the one in force. Refused versions don't count: nobody will have them.
func (s *State) ReportedVersion() snapshot.Version {
	highest := s.inForce()
	for _, known := range s.sources {
		if known.claim.newerThan(highest) && !s.refused.has(known.claim) {
			highest = known.claim
		}
	}
	return highest.version
}

// SetPlace tells the state how many peers are known and how many live VMs of
// the region come before this one in the order of readers.
func (s *State) SetPeers(peers, rank int) { s.peers, s.rank = peers, rank }

// Ready reports whether the node may serve. A fresh process must not serve
// what a stale platform gave it while its peers hold a newer version: callers
// would see the configuration go back. So it hears a few peers first and has
// at least what they reported. ReadyHold bounds the wait.
func (s *State) Ready(now time.Time) bool {
	if s.applied == nil {
		return false
	}
	if now.Sub(s.started) >= s.config.ReadyTimeout {
		return true
	}
	return len(s.heard) >= min(s.peers, s.config.ReadyReports) && !s.ReportedVersion().NewerThan(s.AppliedVersion())
}

// VersionReported takes what a peer claims to have. It starts a pull, now or
// after Patience, and never bars a version that can really be had.
func (s *State) VersionReported(now time.Time, claim Claim) []Effect {
	if len(s.heard) < s.config.ReadyReports {
		s.heard[claim.From] = true
	}
	claimed := content{claim.Version, claim.Root}
	if !claimed.newerThan(s.inForce()) {
		delete(s.sources, claim.From)
		return nil
	}
	s.learn(now, claim.From, claimed, claim.Distance, now.Add(s.patience(claim)))
	return s.proceed(now)
}

// patience is how long a claim waits for a cheaper source. An announce from
// another region waits a little, because the region's own reader is about to
// have the version too: without that each change crosses twice. A node without
// any version does not wait: it serves nobody until it has one.
func (s *State) patience(claim Claim) time.Duration {
	part := s.config.CrossRegionDelay
	switch {
	case s.applied == nil, claim.Distance == SameDomain, claim.Announced && claim.Distance == SameRegion:
		return 0
	case claim.Distance == SameRegion, claim.Announced:
		part /= 4
	}
	return around(s.random, part)
}

// learn remembers a claim. The first due time of a claim stands: each further
// heartbeat would otherwise put it off again. Failures stand as well, so that
// a peer that keeps claiming what it can't give is asked ever more rarely.
func (s *State) learn(now time.Time, from Source, claimed content, distance Distance, due time.Time) {
	known := s.sources[from]
	if known == nil {
		if len(s.sources) >= maxSources && !s.evictFor(claimed) {
			return
		}
		s.sources[from] = &source{claim: claimed, distance: distance, due: due, claimedAt: now}
		return
	}
	known.claimedAt = now
	if due.Before(known.due) {
		known.due = due
	}
	known.claim = claimed
	known.distance = distance
}

// evictFor makes room for a claim by dropping the worst source, unless the
// claim is not above it.
func (s *State) evictFor(claimed content) bool {
	var worst Source
	var found *source
	for _, from := range s.sortedSources() {
		if candidate := s.sources[from]; found == nil || found.better(candidate) {
			worst, found = from, candidate
		}
	}
	if found.failures == 0 && !claimed.newerThan(found.claim) {
		return false
	}
	delete(s.sources, worst)
	return true
}

// ManifestReceived takes a manifest from the platform or a peer. Versions that
// are not newer than the one in force are dropped, which is what keeps every
// node from returning to an older version.
func (s *State) ManifestReceived(now time.Time, from Source, manifest *snapshot.Manifest) []Effect {
	s.answered(from)
	offered := contentOf(manifest)
	effects := s.conflicts(from, manifest)
	s.note(now, from, offered)
	if s.mayStage(offered) {
		s.stage(now, from, manifest)
	}
	return append(effects, s.proceed(now)...)
}

// note compares what the source gave with what it had claimed. A peer that
// gave less is asked again only after a pause, and so is everyone else for a
// moment: one false number on many heartbeats would otherwise keep this node
// pulling without end.
func (s *State) note(now time.Time, from Source, offered content) {
	if from == Platform {
		s.notePlatform(now, offered)
		return
	}
	known := s.sources[from]
	if known == nil {
		return
	}
	if known.claim.newerThan(offered) {
		s.failed(now, from, 0)
		s.pauseEnd = now.Add(Backoff(s.random, s.config.FetchRetry, s.config.FetchRetry, 1))
	}
	known.claim = offered
}

func (s *State) notePlatform(now time.Time, offered content) {
	if !offered.newerThan(s.inForce()) {
		delete(s.sources, Platform)
		return
	}
	if known := s.sources[Platform]; known != nil && known.claim != offered {
		// Its failures were about another version.
		delete(s.sources, Platform)
	}
	due := now
	if s.rank > 0 {
		due = now.Add(around(s.random, s.config.BackupDelay))
	}
	s.learn(now, Platform, offered, FromPlatform, due)
}

func (s *State) mayStage(offered content) bool {
	if !offered.newerThan(s.inForce()) || s.refused.has(offered) {
		return false
	}
	if s.shelf != nil && offered == contentOf(s.shelf.manifest) {
		return false
	}
	return s.staged == nil || offered.newerThan(contentOf(s.staged.manifest))
}

// FetchFailed notes that a source did not give what it was asked for; a busy
// one says when to come back.
func (s *State) FetchFailed(now time.Time, from Source, retryAfter time.Duration) []Effect {
	s.answered(from)
	if s.staged != nil && s.staged.answered(from) {
		s.staged.failures++
	}
	s.failed(now, from, retryAfter)
	return append(s.incomplete(from), s.proceed(now)...)
}

func (s *State) answered(from Source) {
	if s.asked != nil && s.asked.from == from {
		s.asked = nil
	}
}

func (s *State) failed(now time.Time, from Source, retryAfter time.Duration) {
	known := s.sources[from]
	if known == nil {
		return
	}
	known.failures++
	pause := Backoff(s.random, s.config.FetchRetry, s.config.FetchRetryMax, known.failures)
	known.notBefore = now.Add(retryAfter + pause)
}

// Tick does what has become due: retries, claims whose wait is over, and
// questions that nobody answered.
func (s *State) Tick(now time.Time) []Effect {
	s.dropSilent(now)
	if s.asked != nil && !now.Before(s.asked.deadline) {
		from := s.asked.from
		s.asked = nil
		s.failed(now, from, 0)
	}
	if s.staged != nil && s.staged.asked != nil && !now.Before(s.staged.asked.deadline) {
		from := s.staged.asked.from
		s.staged.asked = nil
		s.staged.failures++
		s.failed(now, from, 0)
	}
	return s.proceed(now)
}

// silentAfter is how long a claim counts that is not made again; peers make it
// with each heartbeat.
const silentAfter = time.Minute

// dropSilent forgets peers that have not claimed anything for long: they are
// gone, or their claim was false and they have another one now. The platform is
// kept, since it is asked and does not tell.
func (s *State) dropSilent(now time.Time) {
	for from, known := range s.sources {
		if from != Platform && now.Sub(known.claimedAt) > silentAfter {
			delete(s.sources, from)
		}
	}
}

// Wake returns when Tick should be called next, or the zero time when nothing
// is due. Times up to now are left out: what they allowed has been done, or
// waits for an answer whose own deadline counts here.
func (s *State) NextTick(now time.Time) time.Time {
	times := []time.Time{s.pauseEnd}
	if s.asked != nil {
		times = append(times, s.asked.deadline)
	}
	if s.staged != nil && s.staged.asked != nil {
		times = append(times, s.staged.asked.deadline)
	}
	if s.shelf != nil {
		times = append(times, s.shelf.retryAt)
	}
	for _, known := range s.sources {
		times = append(times, known.readyAt())
	}
	var wake time.Time
	for _, t := range times {
		if t.After(now) && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	return wake
}

// proceed starts whatever can be started now.
func (s *State) proceed(now time.Time) []Effect {
	s.takeFromShelf(now)
	s.shelveIfStuck(now)
	effects := s.advance(now)
	return append(effects, s.pull(now)...)
}

// pull asks the best source for its manifest, one question at a time: all
// peers report a new version within a second, and one answer is enough.
func (s *State) pull(now time.Time) []Effect {
	if s.asked != nil || now.Before(s.pauseEnd) {
		return nil
	}
	goal := s.inForce()
	if s.staged != nil {
		goal = contentOf(s.staged.manifest)
	}
	from, ok := s.best(now, func(known *source) bool { return known.claim.newerThan(goal) && !s.known(known.claim) })
	if !ok {
		return nil
	}
	s.asked = &request{from: from, deadline: now.Add(s.config.FetchTimeout)}
	return []Effect{FetchManifest{From: from}}
}

// known reports whether the manifest of a content need not be fetched.
func (s *State) known(c content) bool {
	return s.refused.has(c) || s.shelf != nil && contentOf(s.shelf.manifest) == c
}

// best picks the best source that fits and may be asked now. Among equals it
// picks at random, so that the nodes of a domain don't all ask the same one.
func (s *State) best(now time.Time, fits func(*source) bool) (Source, bool) {
	var from Source
	var found *source
	equals := 0
	for _, candidate := range s.sortedSources() {
		known := s.sources[candidate]
		if now.Before(known.readyAt()) || !fits(known) {
			continue
		}
		switch {
		case found == nil || known.better(found):
			from, found, equals = candidate, known, 1
		case !found.better(known):
			equals++
			if s.random.IntN(equals) == 0 {
				from, found = candidate, known
			}
		}
	}
	return from, found != nil
}

// sortedSources gives an order that does not change from run to run.
func (s *State) sortedSources() []Source { return slices.Sorted(maps.Keys(s.sources)) }
