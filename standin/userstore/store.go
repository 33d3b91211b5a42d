// Package userstore is a stand-in for the store of the users' platform, for tests
// and the soak only: keys with revisions, leases and a bounded history, read over
// HTTP as nodes do and written over HTTP as targets and operators do.
package userstore

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is one key as the store shows it.
type Item struct {
	Key      string
	Value    []byte
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
	// history holds changes in order; what is at or before dropped is forgotten.
	history []Item
	dropped uint64
	changed chan struct{}
	busy    bool
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, records: map[string]record{}, changed: make(chan struct{})}
}

// Put writes a key. With a ttl it is removed when it isn't written again in time.
// It returns the revision of the change.
func (s *Store) Put(key string, value []byte, ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	before := s.records[key]
	s.revision++
	next := record{Item: Item{Key: key, Value: value, Revision: s.revision, Created: before.Created}}
	if before.Key == "" {
		next.Created = s.revision
	}
	if ttl > 0 {
		next.expires = time.Now().Add(ttl)
	}
	s.records[key] = next
	s.note(next.Item)
	return s.revision
}

// Renew keeps a key for another ttl without a change, and reports whether it is
// still there.
func (s *Store) Renew(key string, ttl time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	kept, ok := s.records[key]
	if ok {
		kept.expires = time.Now().Add(ttl)
		s.records[key] = kept
	}
	return ok
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
	s.note(Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) note(item Item) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes keys whose leases have run out. It must be called with the mutex
// held.
func (s *Store) expire() {
	now := time.Now()
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		if at := s.records[key].expires; !at.IsZero() && now.After(at) {
			s.remove(key)
		}
	}
}

// Forget drops the history: watches from before are told so.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.dropped = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetBusy makes the store turn readers away, or serve them again.
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

// Since returns the changes after a revision, the store's revision, and what is
// closed at the next change. It reports false if the history is gone.
func (s *Store) ChangesSince(prefix string, after uint64) (events []Item, revision uint64, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.dropped {
		return nil, 0, nil, false
	}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed, true
}
