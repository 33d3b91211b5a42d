package admission

import "time"

// Calls of one chain that come back to a service while an outer call of the
// chain holds a slot of it can bring a target to a stop: all slots are held by
// outer calls, all their inner calls wait for a slot, and nothing moves until
// deadlines pass. So while such calls come, one slot for each deeper level is
// kept for them. That is enough: the innermost call always finds a slot, its
// end also ends the outer call that waits for it, and the two slots go to inner
// calls first. Services without cycles keep nothing back.

const (
	// revisitMemory is how long a level counts after its last call came.
	revisitMemory = 10 * time.Second
	// reservedPart bounds the slots kept for inner calls: one in so many.
	reservedPart = 2
)

// revisitLevels remembers when a call of each level last came.
type revisitLevels [MaxDepth + 1]time.Time

func revisitsOf(r *Request) int { return min(max(r.Revisits, 0), MaxDepth) }

// see notes a call's level.
func (l *revisitLevels) see(now time.Time, r *Request) {
	if level := revisitsOf(r); level > 0 {
		l[level] = now
	}
}

// deepest is the highest level that calls came from lately; 0 without cycles.
func (l *revisitLevels) deepest(now time.Time) int {
	for level := MaxDepth; level > 0; level-- {
		if !l[level].IsZero() && now.Sub(l[level]) <= revisitMemory {
			return level
		}
	}
	return 0
}

// reserved is how many slots are kept back from requests of a level.
func (q *Queue) reserved(now time.Time, level int) int {
	deeper := q.levels.deepest(now) - level
	return max(0, min(deeper, q.slots/reservedPart))
}

// nextInner returns the request that a reserved slot goes to, by the same order
// of customers as other slots, or nil. It looks at every waiting request, but
// only where a cycle has left no other slot.
func (q *Queue) nextInner(now time.Time) (*entry, int) {
	if q.revisiting == 0 {
		return nil, 0
	}
	var best *entry
	var bestTier int
	for _, c := range q.customers {
		if c.held >= c.limit {
			continue
		}
		e := q.firstInner(now, c)
		if e == nil {
			continue
		}
		tier := c.tier()
		if best == nil || tier < bestTier || tier == bestTier && q.tiers.heaps[tier].before(c, best.customer) {
			best = e
			bestTier = tier
		}
	}
	return best, bestTier
}

// firstInner returns the customer's first waiting request whose level may use
// the slots that are free.
func (q *Queue) firstInner(now time.Time, c *customer) *entry {
	free := q.slots - q.running
	allowed := func(e *entry) bool { return q.reserved(now, revisitsOf(&e.request)) < free }
	first := c.short.firstWhere(allowed)
	if ok, lent := c.mayRunLong(); ok && (!lent || q.lentLong < q.lentLongBound) {
		if long := c.long.firstWhere(allowed); first == nil || long != nil && before(long, first) {
			return long
		}
	}
	return first
}

// Eligible is the number of waiting requests that a free slot may go to, for
// measurements; it visits every customer, and every request in a cycle.
func (q *Queue) Eligible() int {
	free := q.slots - q.running
	if reserved := q.reserved(q.lastEvent, 0); reserved > 0 && free <= reserved {
		return q.eligibleInner(free)
	}
	total := 0
	for _, c := range q.customers {
		if c.held >= c.limit {
			continue
		}
		total += c.short.count
		if ok, lent := c.mayRunLong(); ok && (!lent || q.lentLong < q.lentLongBound) {
			total += c.long.count
		}
	}
	return total
}

func (q *Queue) eligibleInner(free int) int {
	total := 0
	for _, e := range q.entries {
		if !e.running && q.reserved(q.lastEvent, revisitsOf(&e.request)) < free {
			total++
		}
	}
	return total
}
