package admission

import (
	"maps"
	"slices"
	"time"
)

// shedRecovery is how long the target must go without shedding before it is
// given one slot more.
const shedRecovery = time.Second

// Configure takes new terms. Running requests are never cut; when fewer slots
// are left than requests run, none starts until enough have ended. Waiting
// requests stay, but those of customers without a grant are dropped.
func (q *Queue) Configure(now time.Time, terms Terms) Changes {
	q.begin(now)
	q.adopt(terms)
	for _, name := range slices.Sorted(maps.Keys(q.customers)) {
		if c := q.customers[name]; !c.granted {
			q.dropAll(now, c)
		}
	}
	q.start(now)
	return q.changes
}

func (q *Queue) dropAll(now time.Time, c *customer) {
	for _, lane := range []*lane{&c.short, &c.long} {
		for e := lane.first(); e != nil; e = lane.first() {
			q.drop(now, e, ReasonNoGrant)
		}
	}
	if c.held == 0 {
		delete(q.customers, c.name)
	}
}

func (q *Queue) adopt(terms Terms) {
	slots := terms.Slots
	if terms.Slots == q.terms.Slots {
		// A change elsewhere in the configuration is no reason to forget
		// what sheds have shown.
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

// resize derives every customer's part from the number of slots.
func (q *Queue) resize(slots int) {
	q.slots = slots
	q.lentLong = 0
	claimed := 0.0
	// The order must not depend on the map: it decides equal keys' places.
	for _, name := range slices.Sorted(maps.Keys(q.customers)) {
		c := q.customers[name]
		if share, ok := q.terms.Shares[name]; ok {
			c.grant(share, &q.terms, slots)
			claimed += share.Guaranteed
		} else {
			c.revoke()
		}
		c.fractionSince = q.contested
		q.lentLong += c.lentLong()
		q.tiers.place(c)
	}
	q.lentLongBound = FloorSlots(q.terms.LongBorrowLimit, slots) + FloorSlots(max(1-claimed, 0), slots)
}

// Shed says that the target turned a request away although the node had counted
// a free slot for it. Load reports may lie low, but a shed is a fact: the target
// takes fewer than run now. The node then counts with that number, and one slot
// more for each quiet shedRecovery, so that the target is not flooded again.
// The shed request itself must be released as usual.
func (q *Queue) Shed(now time.Time) Changes {
	q.begin(now)
	proven := max(q.running-1, 1)
	if proven < q.slots {
		q.resize(proven)
	}
	q.slotsSince = now
	return q.changes
}

// recoverSlots gives back slots that sheds have taken.
func (q *Queue) recoverSlots(now time.Time) {
	if q.slots >= q.terms.Slots {
		return
	}
	quiet := int(now.Sub(q.slotsSince) / shedRecovery)
	if quiet < 1 {
		return
	}
	q.slotsSince = q.slotsSince.Add(time.Duration(quiet) * shedRecovery)
	q.resize(min(q.slots+quiet, q.terms.Slots))
}
