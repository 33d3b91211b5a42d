package quarantine

import (
	"sync"
	"time"
)

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Shared is a node's ledger, used by its requests and by its feeds. It is safe for
// concurrent use.
type SharedLedger struct {
	clock Clock

	mu      sync.Mutex
	ledger  *Ledger
	feeds   Feed
	changed chan struct{}
}

// NewShared returns a ledger that knows nothing.
func NewSharedLedger(clock Clock) *SharedLedger {
	return &SharedLedger{clock: clock, ledger: NewLedger(), changed: make(chan struct{})}
}

// Count returns in how many crashes a request was a suspect that nothing else explains.
func (s *SharedLedger) CrashCount(request Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.CrashCount(request)
}

// Quarantined returns for how long yet a request is kept from targets; zero if it isn't.
func (s *SharedLedger) BlockRemaining(request Fingerprint) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.BlockRemaining(s.clock.Now(), request)
}

// Crashed takes a crash that this node saw.
func (s *SharedLedger) RecordCrash(c Crash) { s.Merge(0, &Notice{Crashes: []Crash{c}}) }

// Completed takes a run to its end that this node saw.
func (s *SharedLedger) RecordCompletion(request Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.RecordCompletion(s.clock.Now(), request) {
		s.wake()
	}
}

// Open returns a feed that has not been used before.
func (s *SharedLedger) NewFeed() Feed {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feeds++
	return s.feeds
}

// Merge takes what comes by a feed.
func (s *SharedLedger) Merge(from Feed, n *Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Merge(s.clock.Now(), from, n) {
		s.wake()
	}
}

// wake must be called with the mutex held.
func (s *SharedLedger) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Since returns what the neighbour on a feed lacks that was told everything up to a position, its
// position after that, and a channel that is closed when there is more.
func (s *SharedLedger) Since(position uint64, to Feed) (notice *Notice, next uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notice, next = s.ledger.Since(s.clock.Now(), position, to)
	return notice, next, s.changed
}

// Blocked returns how many requests are kept from targets.
func (s *SharedLedger) BlockedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.BlockedCount(s.clock.Now())
}

// TakeDropped returns how many crashes were left out since it was last asked.
func (s *SharedLedger) TakeDropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.TakeDropped()
}
