// Package distribution decides how one node discovers, validates, applies and
// announces configuration versions. It does no I/O: each method takes the
// current time and an event, and returns the effects for the node's control
// loop to execute. Random numbers come from the generator passed to New.
//
// A version passes through a node in these steps: a claim (a peer or the
// platform has it), its manifest, its parts (staged, never applied
// partially), one validation of the complete version, and then Apply or
// Refuse.
package distribution

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackquay/internal/snapshot"
)

// Config holds the durations and limits of distribution.
type Config struct {
	// CrossRegionDelay is how long a node waits for a nearer source before it
	// fetches a version that a heartbeat from another region reported. A short
	// delay gives faster updates, a long one less cross-region traffic.
	// Announcements from another region, and heartbeats from another failure
	// domain of the same region, wait a quarter of it.
	CrossRegionDelay time.Duration
	// Redundancy is the number of announcement paths into each failure domain
	// and to each node in it, so that the loss of one announcement delays no
	// node.
	Redundancy int
	// Children is the number of peers in its failure domain that a node
	// announces a version to on each path.
	Children int
	// FetchRetry is the upper bound of the backoff after the first failure. It
	// doubles with each further failure, up to FetchRetryMax.
	FetchRetry    time.Duration
	FetchRetryMax time.Duration
	// FetchTimeout is the time after which an unanswered fetch counts as
	// failed.
	FetchTimeout time.Duration
	// BackupDelay is about how long a node that is not the first reader of its
	// region waits before it fetches parts from the platform itself.
	BackupDelay time.Duration
	// ReadyTimeout bounds how long a new process waits for reports from peers
	// and for a version that was only reported. Without it, a false version
	// number or a fleet that is down would keep the process unready forever.
	ReadyTimeout time.Duration
	// ReadyReports is the number of peers that must report their version
	// before a new process assumes that no peer has a higher one.
	ReadyReports int
}

// DefaultConfig returns a Config for fleets of one to a few thousand nodes.
func DefaultConfig() Config {
	return Config{
		CrossRegionDelay: time.Second, Redundancy: 2, Children: 3,
		FetchRetry: 500 * time.Millisecond, FetchRetryMax: 30 * time.Second, FetchTimeout: 10 * time.Second,
		BackupDelay: 3 * time.Second, ReadyTimeout: 10 * time.Second, ReadyReports: 3,
	}
}

// request is a fetch that has not been answered yet.
type request struct {
	from     Source
	deadline time.Time
}

// State is the distribution state of one node. It is not safe for concurrent
// use; only the node's control loop may call it.
type State struct {
	config  Config
	random  *rand.Rand
	started time.Time

	applied  *snapshot.Snapshot
	staged   *staging
	deferred *staging
	sources  map[Source]*source
	pending  *request
	pauseEnd time.Time
	refused  refusals
	history  history

	reporters map[Source]bool
	peers     int
	rank      int
}

// New returns the state of a process that has no version yet.
func New(config Config, now time.Time, random *rand.Rand) *State {
	return &State{
		config: config, random: random, started: now,
		sources: map[Source]*source{}, refused: refusals{}, reporters: map[Source]bool{},
	}
}

// Applied returns the applied snapshot, or nil if there is none.
func (s *State) Applied() *snapshot.Snapshot { return s.applied }

// AppliedVersion returns the applied version, or zero if there is none.
func (s *State) AppliedVersion() snapshot.Version { return s.appliedContent().version }

func (s *State) appliedContent() content {
	if s.applied == nil {
		return content{}
	}
	return contentOf(s.applied.Manifest())
}

// ReportedVersion returns the highest version that any source currently
// claims, and at least the applied one. Refused versions are left out, because
// no node will apply them.
func (s *State) ReportedVersion() snapshot.Version {
	highest := s.appliedContent()
	for _, src := range s.sources {
		if src.claim.newerThan(highest) && !s.refused.has(src.claim) {
			highest = src.claim
		}
	}
	return highest.version
}

// SetPeers sets the number of known peers and this node's rank, which is the
// number of live VMs of the region that precede it in the reader order.
func (s *State) SetPeers(peers, rank int) { s.peers, s.rank = peers, rank }

// Ready reports whether the node may serve requests. A new process must not
// serve an old version read from a stale platform while its peers hold a newer
// one, because callers would see the configuration revert. It therefore waits
// until ReadyReports peers have reported and it has applied at least the
// highest version they reported. ReadyTimeout bounds the wait.
func (s *State) Ready(now time.Time) bool {
	if s.applied == nil {
		return false
	}
	if now.Sub(s.started) >= s.config.ReadyTimeout {
		return true
	}
	return len(s.reporters) >= min(s.peers, s.config.ReadyReports) && !s.ReportedVersion().NewerThan(s.AppliedVersion())
}

// VersionReported processes a peer's claim to hold a version. It fetches a
// newer version at once or after a delay. A false claim never blocks a version
// that other sources can provide.
func (s *State) VersionReported(now time.Time, claim Claim) []Effect {
	if len(s.reporters) < s.config.ReadyReports {
		s.reporters[claim.From] = true
	}
	claimed := content{claim.Version, claim.Root}
	if !claimed.newerThan(s.appliedContent()) {
		delete(s.sources, claim.From)
		return nil
	}
	s.addClaim(now, claim.From, claimed, claim.Distance, now.Add(s.fetchDelay(claim)))
	return s.proceed(now)
}

// fetchDelay returns how long to wait for a cheaper source before acting on a
// claim. Announcements from another region are delayed too, because the
// region's own reader is about to receive the version: without the delay each
// change would cross between regions twice. A node without any version does
// not wait, since it cannot serve requests until it has one.
func (s *State) fetchDelay(claim Claim) time.Duration {
	part := s.config.CrossRegionDelay
	switch {
	case s.applied == nil, claim.Distance == SameDomain, claim.Announced && claim.Distance == SameRegion:
		return 0
	case claim.Distance == SameRegion, claim.Announced:
		part /= 4
	}
	return jitter(s.random, part)
}

// addClaim stores a claim. A repeated claim never postpones the due time of
// its source, otherwise each heartbeat would delay the fetch again. The failure
// count is kept as well, so that the backoff grows for a peer that repeatedly
// claims a version it cannot provide.
func (s *State) addClaim(now time.Time, from Source, claimed content, distance Distance, due time.Time) {
	src := s.sources[from]
	if src == nil {
		if len(s.sources) >= maxSources && !s.evictFor(claimed) {
			return
		}
		s.sources[from] = &source{claim: claimed, distance: distance, due: due, claimedAt: now}
		return
	}
	src.claimedAt = now
	if due.Before(src.due) {
		src.due = due
	}
	src.claim = claimed
	src.distance = distance
}

// evictFor removes the least preferred source to free an entry for a claim. It
// reports false if that source has not failed and the claim is not newer than
// its own.
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

// ManifestReceived processes a manifest from the platform or a peer. Versions
// that are not newer than the applied one are dropped, so a node never reverts
// to an older version.
func (s *State) ManifestReceived(now time.Time, from Source, manifest *snapshot.Manifest) []Effect {
	s.clearPending(from)
	offered := contentOf(manifest)
	effects := s.conflicts(from, manifest)
	s.updateClaim(now, from, offered)
	if s.canStage(offered) {
		s.stage(now, from, manifest)
	}
	return append(effects, s.proceed(now)...)
}

// updateClaim replaces a source's claim by the version that it delivered. If a
// peer delivered an older version than claimed, that peer is backed off, and
// manifest fetches from all sources pause briefly: otherwise one false version
// number repeated in many heartbeats would keep this node fetching forever.
func (s *State) updateClaim(now time.Time, from Source, offered content) {
	if from == Platform {
		s.updatePlatformClaim(now, offered)
		return
	}
	src := s.sources[from]
	if src == nil {
		return
	}
	if src.claim.newerThan(offered) {
		s.recordFailure(now, from, 0)
		s.pauseEnd = now.Add(Backoff(s.random, s.config.FetchRetry, s.config.FetchRetry, 1))
	}
	src.claim = offered
}

func (s *State) updatePlatformClaim(now time.Time, offered content) {
	if !offered.newerThan(s.appliedContent()) {
		delete(s.sources, Platform)
		return
	}
	if src := s.sources[Platform]; src != nil && src.claim != offered {
		// The recorded failures concern another version.
		delete(s.sources, Platform)
	}
	due := now
	if s.rank > 0 {
		due = now.Add(jitter(s.random, s.config.BackupDelay))
	}
	s.addClaim(now, Platform, offered, FromPlatform, due)
}

func (s *State) canStage(offered content) bool {
	if !offered.newerThan(s.appliedContent()) || s.refused.has(offered) {
		return false
	}
	if s.deferred != nil && offered == contentOf(s.deferred.manifest) {
		return false
	}
	return s.staged == nil || offered.newerThan(contentOf(s.staged.manifest))
}

// FetchFailed records that a source did not deliver what was requested. A busy
// source sets retryAfter, the time to wait before the next request.
func (s *State) FetchFailed(now time.Time, from Source, retryAfter time.Duration) []Effect {
	s.clearPending(from)
	if s.staged != nil && s.staged.clearPending(from) {
		s.staged.failures++
	}
	s.recordFailure(now, from, retryAfter)
	return append(s.reportIncomplete(from), s.proceed(now)...)
}

func (s *State) clearPending(from Source) {
	if s.pending != nil && s.pending.from == from {
		s.pending = nil
	}
}

func (s *State) recordFailure(now time.Time, from Source, retryAfter time.Duration) {
	src := s.sources[from]
	if src == nil {
		return
	}
	src.failures++
	pause := Backoff(s.random, s.config.FetchRetry, s.config.FetchRetryMax, src.failures)
	src.notBefore = now.Add(retryAfter + pause)
}

// Tick processes timers: retries, claims whose delay is over, and requests
// that timed out.
func (s *State) Tick(now time.Time) []Effect {
	s.dropStaleSources(now)
	if s.pending != nil && !now.Before(s.pending.deadline) {
		from := s.pending.from
		s.pending = nil
		s.recordFailure(now, from, 0)
	}
	if s.staged != nil && s.staged.pending != nil && !now.Before(s.staged.pending.deadline) {
		from := s.staged.pending.from
		s.staged.pending = nil
		s.staged.failures++
		s.recordFailure(now, from, 0)
	}
	return s.proceed(now)
}

// claimTTL is how long a claim is valid without being repeated. Peers repeat
// it in each heartbeat.
const claimTTL = time.Minute

// dropStaleSources removes peers whose claim has expired: they have left, or
// their claim was false and they now hold another version. The platform is
// kept, because it is polled and sends no claims.
func (s *State) dropStaleSources(now time.Time) {
	for from, src := range s.sources {
		if from != Platform && now.Sub(src.claimedAt) > claimTTL {
			delete(s.sources, from)
		}
	}
}

// NextTick returns when Tick should be called next, or the zero time when no
// timer is set. Times up to now are skipped: the action they allowed has been
// taken, or waits for a response whose own deadline is included here.
func (s *State) NextTick(now time.Time) time.Time {
	times := []time.Time{s.pauseEnd}
	if s.pending != nil {
		times = append(times, s.pending.deadline)
	}
	if s.staged != nil && s.staged.pending != nil {
		times = append(times, s.staged.pending.deadline)
	}
	if s.deferred != nil {
		times = append(times, s.deferred.retryAt)
	}
	for _, src := range s.sources {
		times = append(times, src.readyAt())
	}
	var next time.Time
	for _, t := range times {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}

// proceed starts all actions that are possible now.
func (s *State) proceed(now time.Time) []Effect {
	s.resumeDeferred(now)
	s.deferIfStalled(now)
	effects := s.advanceStaged(now)
	return append(effects, s.pullManifest(now)...)
}

// pullManifest requests the manifest from the best source, one request at a
// time: all peers report a new version within a second, and one response is
// enough.
func (s *State) pullManifest(now time.Time) []Effect {
	if s.pending != nil || now.Before(s.pauseEnd) {
		return nil
	}
	goal := s.appliedContent()
	if s.staged != nil {
		goal = contentOf(s.staged.manifest)
	}
	from, ok := s.bestSource(now, func(src *source) bool { return src.claim.newerThan(goal) && !s.manifestKnown(src.claim) })
	if !ok {
		return nil
	}
	s.pending = &request{from: from, deadline: now.Add(s.config.FetchTimeout)}
	return []Effect{FetchManifest{From: from}}
}

// manifestKnown reports whether the manifest of c was already received, because
// c was refused or is deferred, and need not be fetched again.
func (s *State) manifestKnown(c content) bool {
	return s.refused.has(c) || s.deferred != nil && contentOf(s.deferred.manifest) == c
}

// bestSource returns the most preferred source that satisfies fits and is not
// delayed or backed off. It chooses at random among equal sources, so that the
// nodes of a domain do not all fetch from the same one.
func (s *State) bestSource(now time.Time, fits func(*source) bool) (Source, bool) {
	var from Source
	var found *source
	equals := 0
	for _, candidate := range s.sortedSources() {
		src := s.sources[candidate]
		if now.Before(src.readyAt()) || !fits(src) {
			continue
		}
		switch {
		case found == nil || src.better(found):
			from, found, equals = candidate, src, 1
		case !found.better(src):
			equals++
			if s.random.IntN(equals) == 0 {
				from, found = candidate, src
			}
		}
	}
	return from, found != nil
}

// sortedSources returns the sources in a deterministic order, so that a run
// with the same random seed gives the same result.
func (s *State) sortedSources() []Source { return slices.Sorted(maps.Keys(s.sources)) }
