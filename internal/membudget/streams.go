package membudget

import (
	"slices"
	"sync"
)

// Streams decides which responses without an end a listener serves. Their connections are always in use, so
// Clients never ends them. Over the limit, the oldest stream of the host with the most streams ends: a host that
// opens streams without end displaces its own, and a host that has lost its stream can open another one.
//
// It is safe for concurrent use.
type Streams[T any] struct {
	limit int

	mu sync.Mutex
	// list holds the streams, oldest first, and perHost their number for each host.
	list    []*Stream[T]
	perHost map[string]int
}

// Stream is a response without an end.
type Stream[T any] struct {
	// Owner is for the caller of Open.
	Owner T
	host  string
}

// NewStreams returns the streams of a listener, without any. A limit of 0 means no limit.
func NewStreams[T any](limit int) *Streams[T] {
	return &Streams[T]{limit: limit, perHost: map[string]int{}}
}

// Open adds a stream of a host. It returns the stream that must end for it, which is removed already, or nil.
func (s *Streams[T]) Open(host string, owner T) (opened, end *Stream[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	opened = &Stream[T]{Owner: owner, host: host}
	s.list = append(s.list, opened)
	s.perHost[host]++
	if s.limit == 0 || len(s.list) <= s.limit {
		return opened, nil
	}
	most := 0
	for _, count := range s.perHost {
		most = max(most, count)
	}
	worst := slices.IndexFunc(s.list, func(other *Stream[T]) bool { return s.perHost[other.host] == most })
	end = s.list[worst]
	s.remove(worst)
	return opened, end
}

// Close removes a stream. Further calls have no effect.
func (s *Streams[T]) Close(stream *Stream[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.list, stream); i >= 0 {
		s.remove(i)
	}
}

func (s *Streams[T]) remove(i int) {
	host := s.list[i].host
	s.list = slices.Delete(s.list, i, i+1)
	s.perHost[host]--
	if s.perHost[host] == 0 {
		delete(s.perHost, host)
	}
}
