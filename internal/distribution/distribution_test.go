package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/snapshot"
)

var start = time.Unix(1000, 0)

func newState() *State { return New(DefaultConfig(), start, rand.New(rand.NewPCG(1, 2))) }

func build(t *testing.T, revision uint64, variant int, parent snapshot.Hash, service string) *snapshot.Publication {
	t.Helper()
	publication, err := snapshot.Build(testSet(variant, service), snapshot.Origin{Version: snapshot.Version{Epoch: 1, Revision: revision}, Parent: parent})
	assert.NilError(t, err)
	return publication
}

// deliver gives a node a publication from the platform and answers its requests
// for parts until it makes no more.
func deliver(s *State, now time.Time, publication *snapshot.Publication) []Effect {
	all := s.ManifestReceived(now, Platform, publication.Manifest)
	for done := 0; done < len(all); done++ {
		if fetch, ok := all[done].(FetchParts); ok {
			var parts [][]byte
			for _, hash := range fetch.Hashes {
				parts = append(parts, publication.Parts[hash])
			}
			all = append(all, s.PartsReceived(now, fetch.From, parts)...)
		}
	}
	return all
}

func count[T Effect](effects []Effect) int {
	n := 0
	for _, effect := range effects {
		if _, ok := effect.(T); ok {
			n++
		}
	}
	return n
}

func claimFrom(i int, version snapshot.Version, distance Distance) Claim {
	return Claim{From: Source(fmt.Sprintf("vm-%d", i)), Version: version, Distance: distance}
}

// Guards against endless fetches caused by a false version number. A peer
// reports a version that does not exist in every heartbeat for ten minutes. The
// node must fetch the manifest only a few times, not 600 times, and must still
// apply the next valid version at once.
func TestFalseVersionCausesNoEndlessPulls(t *testing.T) {
	s := newState()
	good := build(t, 1, 1, snapshot.Hash{}, "tally")
	deliver(s, start, good)
	pulls := 0
	now := start
	for range 600 {
		now = now.Add(time.Second)
		effects := s.VersionReported(now, claimFrom(1, snapshot.Version{Epoch: 7, Revision: 7}, SameDomain))
		effects = append(effects, s.Tick(now)...)
		if count[FetchManifest](effects) > 0 {
			pulls++
			s.ManifestReceived(now, "vm-1", good.Manifest)
		}
	}
	assert.Assert(t, pulls <= 60, "%d pulls", pulls)
	assert.Equal(t, count[Apply](deliver(s, now, build(t, 2, 2, snapshot.Hash{}, "tally"))), 1)
}

// Guards against one manifest fetch per report: all peers of a domain report the
// same version at nearly the same time, and one fetch is enough.
func TestManyReportsStartOnePull(t *testing.T) {
	s := newState()
	var effects []Effect
	for i := range 100 {
		effects = append(effects, s.VersionReported(start, claimFrom(i, snapshot.Version{Epoch: 1, Revision: 2}, SameDomain))...)
	}
	assert.Equal(t, count[FetchManifest](effects), 1)
	assert.Equal(t, len(s.sources), maxSources)
}

// Guards against a node that keeps its old version because a requested manifest
// neither arrives nor fails. After the timeout it must ask another source.
func TestLostManifestIsRequestedElsewhere(t *testing.T) {
	s := newState()
	version := snapshot.Version{Epoch: 1, Revision: 2}
	first := s.VersionReported(start, claimFrom(1, version, SameDomain))
	s.VersionReported(start, claimFrom(2, version, SameDomain))
	assert.DeepEqual(t, first, []Effect{FetchManifest{From: "vm-1"}})
	timeout := s.NextTick(start)
	assert.Assert(t, !timeout.IsZero())
	assert.DeepEqual(t, s.Tick(timeout), []Effect{FetchManifest{From: "vm-2"}})
}

// Guards against a fetch that stops because a source no longer answers requests
// for parts. After the timeout the node must ask another source.
func TestLostPartsAreRequestedElsewhere(t *testing.T) {
	s := newState()
	publication := build(t, 1, 1, snapshot.Hash{}, "tally")
	for i := range 2 {
		claim := claimFrom(i, publication.Manifest.Version, SameDomain)
		claim.Root = publication.Manifest.Root
		s.VersionReported(start, claim)
	}
	asked := s.ManifestReceived(start, "vm-0", publication.Manifest)[0].(FetchParts)
	again := s.Tick(s.NextTick(start))
	assert.Equal(t, count[FetchParts](again), 1)
	assert.Assert(t, again[0].(FetchParts).From != asked.From)
}

// Guards against unnecessary cross-region traffic. A version reported by a
// heartbeat from another region must wait for a nearer source, since the node's
// own domain is about to provide the same bytes without the cost of the
// cross-region link. An announcement from another region waits a shorter time,
// for the region's own reader; one from the same region does not wait.
func TestCrossRegionReportIsDelayed(t *testing.T) {
	s := newState()
	deliver(s, start, build(t, 1, 1, snapshot.Hash{}, "tally"))
	far := claimFrom(1, snapshot.Version{Epoch: 1, Revision: 2}, OtherRegion)
	assert.Equal(t, count[FetchManifest](s.VersionReported(start, far)), 0)
	near := claimFrom(2, far.Version, SameDomain)
	assert.DeepEqual(t, s.VersionReported(start, near), []Effect{FetchManifest{From: "vm-2"}})

	s = newState()
	deliver(s, start, build(t, 1, 1, snapshot.Hash{}, "tally"))
	s.VersionReported(start, far)
	wait := s.NextTick(start).Sub(start)
	assert.Assert(t, wait >= DefaultConfig().CrossRegionDelay/2 && wait <= 2*DefaultConfig().CrossRegionDelay, "%s", wait)
	far.Announced = true
	assert.Equal(t, count[FetchManifest](s.VersionReported(start, far)), 0)
	wait = s.NextTick(start).Sub(start)
	assert.Assert(t, wait > 0 && wait <= DefaultConfig().CrossRegionDelay/2, "%s", wait)
	near = claimFrom(2, far.Version, SameRegion)
	near.Announced = true
	assert.DeepEqual(t, s.VersionReported(start, near), []Effect{FetchManifest{From: "vm-2"}})
}

// Guards against repeated fetches of a refused version. The platform serves an
// invalid version on every read. It must be reported once, its parts must not be
// fetched again, and the next valid version must be applied.
func TestRefusedVersionIsNotFetchedAgain(t *testing.T) {
	s := newState()
	bad := build(t, 1, 1, snapshot.Hash{}, "absent")
	assert.Equal(t, count[Refuse](deliver(s, start, bad)), 1)
	assert.Equal(t, len(deliver(s, start, bad)), 0)
	assert.Assert(t, s.Applied() == nil)
	assert.Equal(t, count[Apply](deliver(s, start, build(t, 2, 2, snapshot.Hash{}, "tally"))), 1)
	assert.Equal(t, len(s.refused), 0)
}

// Guards against unbounded memory: a long series of invalid versions must not
// grow the list of refused versions beyond its limit.
func TestMemoryOfRefusedVersionsIsBounded(t *testing.T) {
	s := newState()
	for revision := range uint64(maxRefused + 10) {
		deliver(s, start, build(t, revision+1, int(revision), snapshot.Hash{}, "absent"))
	}
	assert.Equal(t, len(s.refused), maxRefused)
}

// Guards against storing unrequested content: a peer answers a request for
// parts with other content, which matches its own hash. It must be dropped, and
// another source must be asked.
func TestUnrequestedPartsAreDropped(t *testing.T) {
	s := newState()
	publication := build(t, 1, 1, snapshot.Hash{}, "tally")
	s.VersionReported(start, Claim{From: "vm-1", Version: publication.Manifest.Version, Root: publication.Manifest.Root})
	s.VersionReported(start, Claim{From: "vm-2", Version: publication.Manifest.Version, Root: publication.Manifest.Root})
	first := s.ManifestReceived(start, "vm-1", publication.Manifest)
	asked := first[0].(FetchParts)
	next := s.PartsReceived(start, asked.From, [][]byte{[]byte("something else")})
	assert.Equal(t, len(s.staged.held), 0)
	assert.Equal(t, len(next), 1)
	assert.Assert(t, next[0].(FetchParts).From != asked.From)
}

// Guards against a fleet that stays split between two contents published under
// one version number. All nodes must converge on the same content, whichever
// they received first, and the conflict must be reported once.
func TestConflictingVersionContentsConverge(t *testing.T) {
	first, second := build(t, 1, 1, snapshot.Hash{}, "tally"), build(t, 1, 2, snapshot.Hash{}, "tally")
	var settled []snapshot.Hash
	for _, order := range [][]*snapshot.Publication{{first, second}, {second, first}} {
		s := newState()
		deliver(s, start, order[0])
		effects := deliver(s, start, order[1])
		effects = append(effects, deliver(s, start, order[1])...)
		assert.Equal(t, count[Conflict](effects), 1)
		settled = append(settled, s.Applied().Root())
	}
	assert.Equal(t, settled[0], settled[1])
}

// Guards against an unreported lost update. An operator builds version 3 from
// version 1 while version 2 is applied, so the change of version 2 is lost. The
// node cannot resolve this but must report it.
func TestLostUpdateIsReported(t *testing.T) {
	s := newState()
	one := build(t, 1, 1, snapshot.Hash{}, "tally")
	two := build(t, 2, 2, one.Manifest.Root, "tally")
	deliver(s, start, one)
	assert.Equal(t, count[Conflict](deliver(s, start, two)), 0)
	effects := deliver(s, start, build(t, 3, 3, one.Manifest.Root, "tally"))
	assert.Equal(t, count[Conflict](effects), 1)
	assert.Equal(t, count[Apply](effects), 1)
}

// Guards against an incomplete version that blocks a complete one. The platform
// never serves the parts of version 2, as when a manifest is published before
// its parts. This must be reported, version 2 must not be applied, and an
// available lower version of a peer must still be fetched.
func TestIncompleteVersionDoesNotBlockOthers(t *testing.T) {
	s := newState()
	incomplete, complete := build(t, 2, 2, snapshot.Hash{}, "tally"), build(t, 1, 1, snapshot.Hash{}, "tally")
	effects := s.ManifestReceived(start, Platform, incomplete.Manifest)
	now := start
	for range 20 {
		for _, effect := range effects {
			if _, ok := effect.(FetchParts); ok {
				effects = append(effects, s.FetchFailed(now, Platform, 0)...)
			}
		}
		now = now.Add(5 * time.Second)
		effects = append(effects, s.Tick(now)...)
		if count[Incomplete](effects) > 0 {
			break
		}
	}
	assert.Equal(t, count[Incomplete](effects), 1)
	pulled := s.VersionReported(now, Claim{From: "vm-1", Version: complete.Manifest.Version, Root: complete.Manifest.Root})
	assert.DeepEqual(t, pulled, []Effect{FetchManifest{From: "vm-1"}})
}

// Guards against a configuration that reverts for callers. A process restarts
// while a stale platform serves version 1 and the peers have version 2. It must
// wait for reports from its peers before it is ready. A false version number, or
// peers that have left, may delay it for ReadyTimeout only.
func TestNewProcessAwaitsPeersBeforeReady(t *testing.T) {
	s := newState()
	s.SetPeers(5, 0)
	deliver(s, start, build(t, 1, 1, snapshot.Hash{}, "tally"))
	assert.Assert(t, !s.Ready(start))
	for i := range 3 {
		s.VersionReported(start, claimFrom(i, snapshot.Version{Epoch: 1, Revision: uint64(i)}, SameDomain))
	}
	assert.Assert(t, !s.Ready(start), "version 1.2 was reported")
	assert.Assert(t, s.Ready(start.Add(DefaultConfig().ReadyTimeout)))
	deliver(s, start, build(t, 2, 2, snapshot.Hash{}, "tally"))
	assert.Assert(t, s.Ready(start))
}

// Guards against a restored platform whose versions are ignored: with a higher
// epoch, a lower revision must count as newer.
func TestHigherEpochIsNewer(t *testing.T) {
	s := newState()
	deliver(s, start, build(t, 9, 1, snapshot.Hash{}, "tally"))
	restored, err := snapshot.Build(testSet(2, "tally"), snapshot.Origin{Version: snapshot.Version{Epoch: 2, Revision: 4}})
	assert.NilError(t, err)
	assert.Equal(t, count[Apply](deliver(s, start, restored)), 1)
	assert.Equal(t, count[Apply](deliver(s, start, build(t, 10, 3, snapshot.Hash{}, "tally"))), 0)
	assert.Equal(t, len(contract.Check(s.Applied().Set(), contract.NoLocations{})), 0)
}

// Guards against a delayed update after a broken version. The platform failed
// many times to serve the parts of one version. Applying that backoff to the
// next version would delay it for up to half a minute.
func TestBackoffDoesNotDelayNextVersion(t *testing.T) {
	s := newState()
	now := start
	s.ManifestReceived(now, Platform, build(t, 1, 1, snapshot.Hash{}, "tally").Manifest)
	for range 8 {
		s.FetchFailed(now, Platform, 0)
		now = now.Add(time.Minute)
		s.Tick(now)
	}
	s.FetchFailed(now, Platform, 0)
	assert.Equal(t, count[Apply](deliver(s, now, build(t, 2, 2, snapshot.Hash{}, "tally"))), 1)
}

// Guards against an alert that never ends. Operators are alerted while a
// reported version is not available. A peer reports a version that does not
// exist and then leaves; its claim must expire.
func TestFalseReportExpires(t *testing.T) {
	s := newState()
	deliver(s, start, build(t, 1, 1, snapshot.Hash{}, "tally"))
	s.VersionReported(start, claimFrom(1, snapshot.Version{Epoch: 7, Revision: 7}, SameDomain))
	assert.Equal(t, s.ReportedVersion(), snapshot.Version{Epoch: 7, Revision: 7})
	s.Tick(start.Add(2 * time.Minute))
	assert.Equal(t, s.ReportedVersion(), s.AppliedVersion())
}

// Guards against a new process that waits for a refused version. The newest
// version of the platform is invalid, so no node will ever apply it.
func TestRefusedVersionDoesNotDelayReadiness(t *testing.T) {
	s := newState()
	deliver(s, start, build(t, 2, 2, snapshot.Hash{}, "absent"))
	good := build(t, 1, 1, snapshot.Hash{}, "tally")
	claim := claimFrom(1, good.Manifest.Version, SameDomain)
	claim.Root = good.Manifest.Root
	s.VersionReported(start, claim)
	deliver(s, start, good)
	assert.Assert(t, s.Ready(start))
	assert.Equal(t, s.ReportedVersion(), good.Manifest.Version)
}

// Found by the property test (seed 22, 60 steps). Two peers have different
// versions, and a request to each has failed before. Each version counted as
// stalled as soon as it was staged, because its source had failed: the node
// deferred it, fetched the manifest of the other one, and so on forever, without
// applying any. The parts of a version must be requested before it is deferred.
func TestVersionIsFetchedBeforeItIsDeferred(t *testing.T) {
	s := newState()
	low, high := build(t, 1, 1, snapshot.Hash{}, "tally"), build(t, 2, 2, snapshot.Hash{}, "tally")
	now := start
	for i, publication := range []*snapshot.Publication{low, high} {
		claim := claimFrom(i, publication.Manifest.Version, SameDomain)
		claim.Root = publication.Manifest.Root
		s.VersionReported(now, claim)
		s.FetchFailed(now, claim.From, 0)
	}
	now = now.Add(time.Second)
	s.Tick(now)
	assert.Equal(t, count[FetchParts](s.ManifestReceived(now, "vm-1", high.Manifest)), 1)
}
