package admission

import "time"

// Calls of one chain that come back to a service while an outer call of the
// chain holds a slot of it can bring a target to a stop: all slots are held by
// outer calls, all their inner calls wait for a slot, and nothing moves until
// deadlines pass. So while such calls of a customer come, its shallower calls
// leave one slot free for each deeper level. That is enough: the innermost call
// always finds a slot, its end also ends the outer call that waits for it, and
// the two slots go to inner calls first. Other customers' calls may take these
// slots: theirs end without an inner call, or leave slots free themselves. A
// caller can claim any chain, and must not keep slots from anybody else by it.
// Customers without cycles keep nothing back.

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

// reserved is how many slots a customer with these levels leaves free for
// deeper calls than those of the level.
func (q *Queue) reserved(now time.Time, levels *revisitLevels, level int) int {
	deeper := levels.deepest(now) - level
	return max(0, min(deeper, q.slots/reservedPart))
}

// leavesFree reports whether the waiting request leaves the slots free that are
// kept for its customer's deeper calls.
func (q *Queue) leavesFree(now time.Time, e *entry) bool {
	return q.reserved(now, &e.customer.levels, revisitsOf(&e.request)) < q.slots-q.running
}

// nextInCycle returns the request that a free slot goes to where some customer
// must leave it free, by the same order of customers as other slots, or nil. It
// looks at every customer and, of those with cycles, at every waiting request.
func (q *Queue) nextInCycle(now time.Time) (*entry, int) {
	var best *entry
	var bestTier int
	for _, c := range q.customers {
		if c.held >= c.limit {
			continue
		}
		e := q.firstAllowed(now, c)
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

// firstAllowed returns the customer's first waiting request that leaves enough
// slots free.
func (q *Queue) firstAllowed(now time.Time, c *customer) *entry {
	allowed := func(e *entry) bool { return q.leavesFree(now, e) }
	first := c.short.firstWhere(allowed)
	if ok, lent := c.mayRunLong(); ok && (!lent || q.lentLong < q.lentLongBound) {
		if long := c.long.firstWhere(allowed); first == nil || long != nil && before(long, first) {
			return long
		}
	}
	return first
}

// Eligible is the number of waiting requests that a slot would go to, were one
// free, for measurements; it visits every customer and, in a cycle, every
// waiting request.
func (q *Queue) Eligible() int {
	if q.levels.deepest(q.lastEvent) > 0 {
		return q.eligibleInCycle()
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

func (q *Queue) eligibleInCycle() int {
	total := 0
	for _, e := range q.entries {
		if !e.running && q.eligible(e) {
			total++
		}
	}
	return total
}

func (q *Queue) eligible(e *entry) bool {
	c := e.customer
	reserved := q.reserved(q.lastEvent, &c.levels, revisitsOf(&e.request))
	if c.held >= c.limit || reserved > 0 && reserved >= q.slots-q.running {
		return false
	}
	ok, lent := c.mayRunLong()
	return !e.request.Long || ok && (!lent || q.lentLong < q.lentLongBound)
}
