package admission

import (
	"maps"
	"slices"
	"time"
)

// shedRecovery is how long the target must go without shedding before one slot is
// restored.
const shedRecovery = time.Second

// Configure applies new terms. Running requests are never cut: if more requests run than
// there are slots left, none starts until enough have ended. Waiting requests stay
// queued, except those of customers without a grant, which are dropped.
func (q *Queue) Configure(now time.Time, terms Terms) Changes {
	q.begin(now)
	q.applyTerms(terms)
	for _, name := range slices.Sorted(maps.Keys(q.customers)) {
		if c := q.customers[name]; !c.granted {
			q.dropAll(now, c)
		}
	}
	q.startWaiting(now)
	return q.changes
}

func (q *Queue) dropAll(now time.Time, c *customer) {
	for _, waiting := range []*priorityQueue{&c.short, &c.long} {
		for e := waiting.first(); e != nil; e = waiting.first() {
			q.drop(now, e, ReasonNoGrant)
		}
	}
	if c.held == 0 {
		delete(q.customers, c.name)
	}
}

func (q *Queue) applyTerms(terms Terms) {
	slots := terms.Slots
	if terms.Slots == q.terms.Slots {
		// Keep the slots lowered by sheds if only other parts of the configuration
		// changed.
		slots = q.slots
	}
	q.terms = terms
	q.terms.Shares = maps.Clone(terms.Shares)
	for name := range terms.Shares {
		if q.customers[name] == nil {
			q.customers[name] = newCustomer(name)
		}
	}
	q.resize(slots)
}

// resize recomputes the guarantees and limits of all customers from the number of slots.
func (q *Queue) resize(slots int) {
	q.slots = slots
	q.borrowedLong = 0
	claimed := 0.0
	// Sorted, so that the order doesn't depend on the map: it determines the heap
	// positions of customers with equal keys.
	for _, name := range slices.Sorted(maps.Keys(q.customers)) {
		c := q.customers[name]
		if share, ok := q.terms.Shares[name]; ok {
			c.grant(share, &q.terms, slots)
			claimed += share.Guaranteed
		} else {
			c.revoke()
		}
		c.fractionHeldSince = q.contendedSeconds
		q.borrowedLong += c.borrowedLong()
		q.tiers.update(c)
	}
	q.borrowedLongLimit = FloorSlots(q.terms.LongBorrowLimit, slots) + FloorSlots(max(1-claimed, 0), slots)
}

// RecordShed records that the target refused a request although the node counted a free slot
// for it. Load reports may be too low, but a shed proves that the target accepts fewer
// requests than run now. The node limits itself to that number, and restores one slot
// for each shedRecovery without a shed, so that the target is not flooded again. The
// shed request itself must still be released.
func (q *Queue) RecordShed(now time.Time) Changes {
	q.begin(now)
	accepted := max(q.running-1, 1)
	if accepted < q.slots {
		q.resize(accepted)
	}
	q.recoverySince = now
	return q.changes
}

// recoverSlots restores slots that were removed after sheds.
func (q *Queue) recoverSlots(now time.Time) {
	if q.slots >= q.terms.Slots {
		return
	}
	steps := int(now.Sub(q.recoverySince) / shedRecovery)
	if steps < 1 {
		return
	}
	q.recoverySince = q.recoverySince.Add(time.Duration(steps) * shedRecovery)
	q.resize(min(q.slots+steps, q.terms.Slots))
}
