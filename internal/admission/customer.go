package admission

import (
	"math"
	"time"
)

// roundingTolerance absorbs the error of shares written in decimal, so that
// 0.7 of 10 slots is 7 slots and not 6.
const roundingTolerance = 1e-9

// leastWeight is the weight of customers with a share near or at zero when
// unclaimed slots are divided.
const leastWeight = 0.01

// customer is one contract's state at the target.
type customer struct {
	name    string
	granted bool
	share   Share

	// guaranteed is the share in slots; whole and fraction are its parts.
	guaranteed float64
	whole      int
	fraction   float64
	// ownLong is how many long requests count as running on the customer's
	// own slots: its guarantee rounded up.
	ownLong    int
	limit      int
	longLimit  int
	queueBound int

	held     int
	heldLong int
	short    lane
	long     lane

	// fractionPass and lentPass are the virtual times of start-time fair
	// queueing over the customers' fractional slots and over lent slots.
	fractionPass  float64
	lentPass      float64
	fractionSince float64

	// levels are those of the customer's chains that come back to the service.
	levels revisitLevels

	shortHold meanHold
	longHold  meanHold
	// nextReturn is when the last refused caller was told to come back.
	nextReturn time.Time

	// position is the place in each heap, or notInHeap.
	position [heapCount]int
}

func newCustomer(name string) *customer {
	c := &customer{name: name}
	for i := range c.position {
		c.position[i] = notInHeap
	}
	return c
}

// FloorSlots returns how many whole slots a part of slots is.
func FloorSlots(part float64, slots int) int {
	return int(math.Floor(part*float64(slots) + roundingTolerance))
}

// grant takes the terms. Guarantees follow the slots that the target has at the
// moment. Limits follow the configured slots: they cap what a customer may cost
// and would, taken of fewer slots, round to nothing.
func (c *customer) grant(share Share, terms *Terms, slots int) {
	c.granted = true
	c.share = share
	c.guaranteed = share.Guaranteed * float64(slots)
	c.whole = FloorSlots(share.Guaranteed, slots)
	c.fraction = c.guaranteed - float64(c.whole)
	if c.fraction < roundingTolerance {
		c.fraction = 0
		c.guaranteed = float64(c.whole)
	}
	c.ownLong = int(math.Ceil(c.guaranteed))
	c.limit = FloorSlots(share.Limit, terms.Slots)
	c.longLimit = c.limit
	if share.LongLimit > 0 {
		c.longLimit = FloorSlots(share.LongLimit, terms.Slots)
	}
	c.queueBound = terms.QueuePerSlot * max(c.ownLong, 1)
}

// revoke ends the customer's grant; what runs still counts.
func (c *customer) revoke() {
	c.granted = false
	c.share = Share{}
	c.guaranteed = 0
	c.whole = 0
	c.fraction = 0
	c.ownLong = 0
	c.limit = 0
	c.longLimit = 0
	c.queueBound = 0
}

func (c *customer) waiting() int { return c.short.count + c.long.count }

func (c *customer) lane(long bool) *lane {
	if long {
		return &c.long
	}
	return &c.short
}

// tier is the heap that the customer's next slot is given from.
func (c *customer) tier() int {
	switch {
	case c.held < c.whole:
		return heapBelow
	case float64(c.held) < c.guaranteed:
		return heapFraction
	}
	return heapLent
}

// weight divides lent slots among customers.
func (c *customer) weight() float64 { return max(c.share.Guaranteed, leastWeight) }

// lentLong is how many long requests the customer runs on slots that are not
// its own.
func (c *customer) lentLong() int { return max(0, c.heldLong-c.ownLong) }

// mayRunLong reports whether a long request may start; lent says whether it
// would run on a lent slot, which the target bounds for all customers together.
func (c *customer) mayRunLong() (ok, lent bool) {
	ok = c.long.count > 0 && c.heldLong < c.longLimit
	return ok, c.heldLong >= c.ownLong
}

// best returns the request that the customer wants served next.
func (c *customer) best(lentLongLeft bool) *entry {
	first := c.short.first()
	if ok, lent := c.mayRunLong(); ok && (!lent || lentLongLeft) {
		if long := c.long.first(); first == nil || before(long, first) {
			return long
		}
	}
	return first
}
