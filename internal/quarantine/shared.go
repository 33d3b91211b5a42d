package quarantine

import (
	"sync"
	"time"
)

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Shared is a node's ledger, used by its requests and by its feeds. It is safe for
// concurrent use.
type Shared struct {
	clock Clock

	mu      sync.Mutex
	ledger  *Ledger
	feeds   Feed
	changed chan struct{}
}

// NewShared returns a ledger that knows nothing.
func NewShared(clock Clock) *Shared {
	return &Shared{clock: clock, ledger: NewLedger(), changed: make(chan struct{})}
}

// Count returns in how many crashes a request was a suspect that nothing else explains.
func (s *Shared) Count(request Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Count(request)
}

// Quarantined returns for how long yet a request is kept from targets; zero if it isn't.
func (s *Shared) Quarantined(request Fingerprint) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Quarantined(s.clock.Now(), request)
}

// Crashed takes a crash that this node saw.
func (s *Shared) Crashed(c Crash) { s.Merge(0, &Notice{Crashes: []Crash{c}}) }

// Completed takes a run to its end that this node saw.
func (s *Shared) Completed(request Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Completed(s.clock.Now(), request) {
		s.wake()
	}
}

// Open returns a feed that has not been used before.
func (s *Shared) Open() Feed {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feeds++
	return s.feeds
}

// Merge takes what comes by a feed.
func (s *Shared) Merge(from Feed, n *Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Merge(s.clock.Now(), from, n) {
		s.wake()
	}
}

// wake must be called with the mutex held.
func (s *Shared) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Since returns what the neighbour on a feed lacks that was told everything up to a position, its
// position after that, and a channel that is closed when there is more.
func (s *Shared) Since(position uint64, to Feed) (notice *Notice, next uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notice, next = s.ledger.Since(s.clock.Now(), position, to)
	return notice, next, s.changed
}

// Blocked returns how many requests are kept from targets.
func (s *Shared) Blocked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Blocked(s.clock.Now())
}

// TakeDropped returns how many crashes were left out since it was last asked.
func (s *Shared) TakeDropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.TakeDropped()
}
