package node

import "sync"

// minRecentIDs is the least number of forwarded calls whose ids an owner node
// keeps; it keeps up to twice as many. At 270 calls/s that is half a minute, and
// a duplicate arrives within the lifetime of a connection.
const minRecentIDs = 8192

// recentIDs keeps the ids of recent forwarded calls to detect duplicates. No
// known component sends a forwarded call twice; but if a library ever did, the
// second one would execute a non-idempotent request again. It is safe for
// concurrent use.
type recentIDs struct {
	mu                sync.Mutex
	current, previous map[string]struct{}
}

func newRecentIDs() *recentIDs { return &recentIDs{current: map[string]struct{}{}} }

// add stores the id and reports whether it was new.
func (r *recentIDs) add(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.current[id]; ok {
		return false
	}
	if _, ok := r.previous[id]; ok {
		return false
	}
	if len(r.current) >= minRecentIDs {
		r.previous = r.current
		r.current = make(map[string]struct{}, minRecentIDs)
	}
	r.current[id] = struct{}{}
	return true
}
