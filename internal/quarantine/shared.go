package quarantine

import (
	"sync"
	"time"
)

// Clock provides the current time.
type Clock interface{ Now() time.Time }

// SharedLedger is the ledger of a node, shared by its requests and its feeds. It is safe
// for concurrent use.
type SharedLedger struct {
	clock Clock

	mu       sync.Mutex
	ledger   *Ledger
	lastFeed Feed
	changed  chan struct{}
}

// NewSharedLedger returns an empty ledger.
func NewSharedLedger(clock Clock) *SharedLedger {
	return &SharedLedger{clock: clock, ledger: NewLedger(), changed: make(chan struct{})}
}

// CrashCount returns the number of crashes in which the request was a suspect and that
// nothing else explains.
func (s *SharedLedger) CrashCount(request Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.CrashCount(request)
}

// BlockRemaining returns how much longer the request is blocked; zero if it isn't.
func (s *SharedLedger) BlockRemaining(request Fingerprint) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.BlockRemaining(s.clock.Now(), request)
}

// RecordCrash records a crash observed by this node.
func (s *SharedLedger) RecordCrash(c Crash) { s.Merge(0, &Notice{Crashes: []Crash{c}}) }

// RecordCompletion records that this node observed a request complete.
func (s *SharedLedger) RecordCompletion(request Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.RecordCompletion(s.clock.Now(), request) {
		s.notify()
	}
}

// NewFeed returns an unused feed.
func (s *SharedLedger) NewFeed() Feed {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFeed++
	return s.lastFeed
}

// Merge adds the content of a notice received on a feed.
func (s *SharedLedger) Merge(from Feed, n *Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Merge(s.clock.Now(), from, n) {
		s.notify()
	}
}

// notify signals a change to the feeds. The mutex must be held.
func (s *SharedLedger) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Since returns the items that the neighbour on a feed lacks if it has received
// everything up to a position, its position after receiving them, and a channel that is
// closed when there are more.
func (s *SharedLedger) Since(position uint64, to Feed) (notice *Notice, next uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notice, next = s.ledger.Since(s.clock.Now(), position, to)
	return notice, next, s.changed
}

// BlockedCount returns the number of blocked requests.
func (s *SharedLedger) BlockedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.BlockedCount(s.clock.Now())
}

// TakeDropped returns the number of crashes that exceeded the rate limit since the last
// call.
func (s *SharedLedger) TakeDropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.TakeDropped()
}
