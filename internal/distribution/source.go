package distribution

import (
	"math/rand/v2"
	"time"

	"tamarackquay/internal/snapshot"
)

// Source identifies a provider of versions and parts: a peer by its VM id, or
// the platform.
type Source string

// Platform is the source id of the platform.
const Platform Source = ""

// Distance ranks sources by the cost of transferring data from them.
type Distance uint8

// The distances, cheapest first.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
	// FromPlatform is the most expensive, because the whole fleet shares the
	// platform's read capacity.
	FromPlatform
)

// Claim is a peer's statement that it holds a version. A peer makes claims only
// about its own version; claims are not relayed.
type Claim struct {
	From     Source
	Version  snapshot.Version
	Root     snapshot.Hash
	Distance Distance
	// Announced is set when the peer sent the claim as an announcement. Such a
	// claim is acted on sooner than one from a heartbeat.
	Announced bool
}

// content identifies a publication. Publications with the same version number
// are ordered by their root, so that all nodes converge on the same one.
type content struct {
	version snapshot.Version
	root    snapshot.Hash
}

func contentOf(manifest *snapshot.Manifest) content {
	return content{version: manifest.Version, root: manifest.Root}
}

func (c content) newerThan(other content) bool {
	if order := c.version.Compare(other.version); order != 0 {
		return order > 0
	}
	return string(c.root[:]) > string(other.root[:])
}

// maxSources bounds the number of stored sources. More are not needed, because
// each source holds a complete version.
const maxSources = 32

// source is a peer, or the platform, that claims a newer version than the
// applied one.
type source struct {
	claim    content
	distance Distance
	// due is the earliest time to act on the claim. notBefore is the earliest
	// time to retry the source after a failure.
	due       time.Time
	notBefore time.Time
	failures  int
	// claimedAt is when the source last made its claim.
	claimedAt time.Time
}

func (s *source) readyAt() time.Time {
	if s.notBefore.After(s.due) {
		return s.notBefore
	}
	return s.due
}

// better reports whether s is preferred to other: the newer claim first, then
// fewer failures, then the shorter distance.
func (s *source) better(other *source) bool {
	if s.claim != other.claim {
		return s.claim.newerThan(other.claim)
	}
	if s.failures != other.failures {
		return s.failures < other.failures
	}
	return s.distance < other.distance
}

// maxDoublings keeps the shift in Backoff from overflowing. The backoff reaches
// its limit long before.
const maxDoublings = 16

// Backoff returns the time to wait before a retry: uniformly random between
// zero and a bound, which is base after the first failure, doubles with each further one
// and is at most limit. Clients that failed together
// therefore do not retry together.
func Backoff(random *rand.Rand, base, limit time.Duration, failures int) time.Duration {
	bound := min(base<<min(max(failures-1, 0), maxDoublings), limit)
	if bound <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(bound)))
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(random.Int64N(int64(d)))
}
