package distribution

import (
	"math/rand/v2"
	"time"

	"tamarackquay/internal/snapshot"
)

// Source is where a version or its parts come from: a peer's VM id, or the
// platform.
type Source string

// Platform is the source that is no peer.
const Platform Source = ""

// Distance orders sources by what a byte from them costs.
type Distance uint8

// The distances, cheapest first.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
	// FromPlatform is last: its reads are shared by the whole fleet.
	FromPlatform
)

// Claim is what a peer says that it holds. Only the holder itself makes it;
// claims are not passed on.
type Claim struct {
	From     Source
	Version  snapshot.Version
	Root     snapshot.Hash
	Distance Distance
	// Told is set when the peer announced the version to this node on
	// purpose. Such a claim is acted on sooner than one overheard on a
	// heartbeat.
	Announced bool
}

// content orders versions that were published under one number by their root,
// so that all nodes settle on the same one of them.
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

// maxSources bounds the remembered sources. More are of no use: each holds the
// whole version.
const maxSources = 32

// source is what is known of one peer, or of the platform, that claims a
// version above the one in force.
type source struct {
	claim    content
	distance Distance
	// due is when the claim may be acted on, notBefore when the source may be
	// asked again after a failure.
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

// better reports whether s is to be asked before other: the higher claim, then
// the one that failed less, then the nearer one.
func (s *source) better(other *source) bool {
	if s.claim != other.claim {
		return s.claim.newerThan(other.claim)
	}
	if s.failures != other.failures {
		return s.failures < other.failures
	}
	return s.distance < other.distance
}

// maxDoublings keeps the shift below from overflowing; the pause is capped
// long before.
const maxDoublings = 16

// RetryAfter returns a pause before another try: uniform between zero and a
// bound that doubles with each failure. Peers that failed together thus don't
// come back together.
func Backoff(random *rand.Rand, base, limit time.Duration, failures int) time.Duration {
	bound := min(base<<min(max(failures-1, 0), maxDoublings), limit)
	if bound <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(bound)))
}

// around returns a time between half and one and a half of d.
func around(random *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(random.Int64N(int64(d)))
}
