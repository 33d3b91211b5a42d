package admission

import "time"

// A call chain can return to a service of which an outer call of the chain holds a slot.
// Such cycles can deadlock a target: all slots are held by outer calls, all their inner
// calls wait for a slot, and nothing proceeds until deadlines pass. Therefore, while a
// customer sends such calls, its shallower calls leave one slot free for each deeper
// level. One slot per level is enough: the innermost call always finds a slot; when it
// ends, the outer call that waits for it can end as well, and both slots go to inner
// calls first.
//
// Other customers' calls may use the reserved slots: they end without an inner call, or
// reserve slots themselves. A caller can claim any chain, so a claim must not withhold
// slots from other customers. Customers without cycles reserve nothing.

const (
	// revisitWindow is how long a level counts after its most recent call.
	revisitWindow = 10 * time.Second
	// reservedDivisor limits the slots reserved for inner calls to slots/reservedDivisor.
	reservedDivisor = 2
)

// revisitLevels holds the time of the most recent call of each level.
type revisitLevels [MaxDepth + 1]time.Time

func revisitLevel(r *Request) int { return min(max(r.Revisits, 0), MaxDepth) }

// observe records the level of a call.
func (l *revisitLevels) observe(now time.Time, r *Request) {
	if level := revisitLevel(r); level > 0 {
		l[level] = now
	}
}

// deepest returns the highest level with a call within revisitWindow; 0 without cycles.
func (l *revisitLevels) deepest(now time.Time) int {
	for level := MaxDepth; level > 0; level-- {
		if !l[level].IsZero() && now.Sub(l[level]) <= revisitWindow {
			return level
		}
	}
	return 0
}

// reservedSlots returns how many slots a request of the given level must leave free for
// deeper calls of its customer.
func (q *Queue) reservedSlots(now time.Time, levels *revisitLevels, level int) int {
	deeper := levels.deepest(now) - level
	return max(0, min(deeper, q.slots/reservedDivisor))
}

// leavesReservedFree reports whether the waiting request, if it started, would leave the
// slots free that are reserved for its customer's deeper calls.
func (q *Queue) leavesReservedFree(now time.Time, e *entry) bool {
	return q.reservedSlots(now, &e.customer.levels, revisitLevel(&e.request)) < q.slots-q.running
}

// nextInCycle returns the request that gets the next free slot while some customer must
// leave slots free, or nil, and the tier of its customer. Customers are ordered as for
// other slots. The cost is linear in the customers and, for those with cycles, in their
// waiting requests.
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

// firstAllowed returns the customer's first waiting request that leaves the reserved
// slots free.
func (q *Queue) firstAllowed(now time.Time, c *customer) *entry {
	allowed := func(e *entry) bool { return q.leavesReservedFree(now, e) }
	first := c.short.firstWhere(allowed)
	if ok, borrowed := c.canStartLong(); ok && (!borrowed || q.borrowedLong < q.borrowedLongLimit) {
		if long := c.long.firstWhere(allowed); first == nil || long != nil && before(long, first) {
			return long
		}
	}
	return first
}

// Eligible returns the number of waiting requests that could use a free slot. It is
// meant for measurements: it visits every customer and, in a cycle, every waiting
// request.
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
		if ok, borrowed := c.canStartLong(); ok && (!borrowed || q.borrowedLong < q.borrowedLongLimit) {
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
	reserved := q.reservedSlots(q.lastEvent, &c.levels, revisitLevel(&e.request))
	if c.held >= c.limit || reserved > 0 && reserved >= q.slots-q.running {
		return false
	}
	ok, borrowed := c.canStartLong()
	return !e.request.Long || ok && (!borrowed || q.borrowedLong < q.borrowedLongLimit)
}
