// Package userstore is a stand-in for the store of the users' platform, for tests and
// the soak only: keys with revisions, leases and a history that can be compacted.
// Nodes read it, and targets and operators write it, over HTTP.
package userstore

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is the state of one key in the store's responses.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the key, Created that at which
	// it was created.
	Revision uint64
	Created  uint64
	Deleted  bool `json:",omitempty"`
}

type record struct {
	Item
	expires time.Time
}

// Store keeps keys in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]record
	// history has the changes in order, without those up to compactedRevision.
	history           []Item
	compactedRevision uint64
	changed           chan struct{}
	busy              bool
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, records: map[string]record{}, changed: make(chan struct{})}
}

// Put writes a key and returns the revision of the change. With a ttl the key is
// removed unless it is written again or renewed in time.
func (s *Store) Put(key string, value []byte, ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	previous := s.records[key]
	s.revision++
	next := record{Item: Item{Key: key, Value: value, Revision: s.revision, Created: previous.Created}}
	if previous.Key == "" {
		next.Created = s.revision
	}
	if ttl > 0 {
		next.expires = time.Now().Add(ttl)
	}
	s.records[key] = next
	s.appendHistory(next.Item)
	return s.revision
}

// Renew extends the lease of a key by ttl from now without a new revision. It
// reports whether the key still exists.
func (s *Store) Renew(key string, ttl time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	existing, ok := s.records[key]
	if ok {
		existing.expires = time.Now().Add(ttl)
		s.records[key] = existing
	}
	return ok
}

// Get returns the value of a key, and whether the key exists.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	existing, ok := s.records[key]
	return existing.Value, ok
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.remove(key)
}

func (s *Store) remove(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	delete(s.records, key)
	s.revision++
	s.appendHistory(Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) appendHistory(item Item) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes keys whose leases have expired. The caller must hold mu.
func (s *Store) expire() {
	now := time.Now()
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		if at := s.records[key].expires; !at.IsZero() && now.After(at) {
			s.remove(key)
		}
	}
}

// Compact drops the history. Watches from an older revision then fail with status
// 410, those that are waiting too.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedRevision = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetBusy sets whether the store rejects readers.
func (s *Store) SetBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

func (s *Store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// List returns the keys with a prefix, in order, and the store's revision.
func (s *Store) List(prefix string) ([]Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var items []Item
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		if strings.HasPrefix(key, prefix) {
			items = append(items, s.records[key].Item)
		}
	}
	return items, s.revision
}

// ChangesSince returns the changes after a revision, the current revision, and a
// channel that is closed at the next change. It returns false if the history after
// that revision was compacted.
func (s *Store) ChangesSince(prefix string, after uint64) (events []Item, revision uint64, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.compactedRevision {
		return nil, 0, nil, false
	}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed, true
}
