package node

import "sync"

// recentCalls is how many forwarded calls an owner node remembers at least; it
// remembers up to twice as many. At 270 calls/s that is half a minute, and a
// duplicate comes within a connection's life.
const recentCalls = 8192

// recent remembers the ids of forwarded calls. Nothing that we know sends a
// forwarded call twice; should a library ever do so, the second one would file
// a return a second time. It is safe for concurrent use.
type recent struct {
	mu       sync.Mutex
	now, old map[string]struct{}
}

func newRecent() *recent { return &recent{now: map[string]struct{}{}} }

// first reports whether the id was not seen before, and remembers it.
func (r *recent) first(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.now[id]; ok {
		return false
	}
	if _, ok := r.old[id]; ok {
		return false
	}
	if len(r.now) >= recentCalls {
		r.old = r.now
		r.now = make(map[string]struct{}, recentCalls)
	}
	r.now[id] = struct{}{}
	return true
}
