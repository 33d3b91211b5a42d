package admission

import (
	"math"
	"time"
)

// roundingTolerance absorbs the rounding error of decimal shares, so that 0.7 of 10
// slots is 7 slots and not 6.
const roundingTolerance = 1e-9

// minWeight is the weight, when unused slots are divided, of customers whose share is at
// or near zero.
const minWeight = 0.01

// customer is the state of one contract at the target.
type customer struct {
	name    string
	granted bool
	share   Share

	// guaranteed is the share in slots; wholeSlots and fraction are its integer and
	// fractional parts.
	guaranteed float64
	wholeSlots int
	fraction   float64
	// guaranteedLong is the number of long requests that count as running on the
	// customer's own slots: its guarantee rounded up.
	guaranteedLong int
	limit          int
	longLimit      int
	queueBound     int

	held     int
	heldLong int
	short    priorityQueue
	long     priorityQueue

	// fractionPass and borrowedPass are the customer's virtual times in start-time fair
	// queueing: over the customers' fractional slots and over borrowed slots.
	fractionPass      float64
	borrowedPass      float64
	fractionHeldSince float64

	// levels holds the revisit levels of the customer's call chains.
	levels revisitLevels

	shortHold meanHold
	longHold  meanHold
	// lastRetryAt is the time at which the caller that was refused last should retry.
	lastRetryAt time.Time

	// position is the customer's index in each heap, or notInHeap.
	position [heapCount]int
}

func newCustomer(name string) *customer {
	c := &customer{name: name}
	for i := range c.position {
		c.position[i] = notInHeap
	}
	return c
}

// FloorSlots converts a fraction of the slots to whole slots, rounding down.
func FloorSlots(fraction float64, slots int) int {
	return int(math.Floor(fraction*float64(slots) + roundingTolerance))
}

// grant applies the terms. Guarantees are computed from the current number of slots.
// Limits are computed from the configured number: they bound a customer's cost, and a
// limit computed from fewer slots could round to zero.
func (c *customer) grant(share Share, terms *Terms, slots int) {
	c.granted = true
	c.share = share
	c.guaranteed = share.Guaranteed * float64(slots)
	c.wholeSlots = FloorSlots(share.Guaranteed, slots)
	c.fraction = c.guaranteed - float64(c.wholeSlots)
	if c.fraction < roundingTolerance {
		c.fraction = 0
		c.guaranteed = float64(c.wholeSlots)
	}
	c.guaranteedLong = int(math.Ceil(c.guaranteed))
	c.limit = FloorSlots(share.Limit, terms.Slots)
	c.longLimit = c.limit
	if share.LongLimit > 0 {
		c.longLimit = FloorSlots(share.LongLimit, terms.Slots)
	}
	c.queueBound = terms.QueuePerSlot * max(c.guaranteedLong, 1)
}

// revoke removes the customer's grant. Its running requests still count.
func (c *customer) revoke() {
	c.granted = false
	c.share = Share{}
	c.guaranteed = 0
	c.wholeSlots = 0
	c.fraction = 0
	c.guaranteedLong = 0
	c.limit = 0
	c.longLimit = 0
	c.queueBound = 0
}

func (c *customer) waiting() int { return c.short.count + c.long.count }

func (c *customer) queueFor(long bool) *priorityQueue {
	if long {
		return &c.long
	}
	return &c.short
}

// tier returns the heap from which the customer gets its next slot.
func (c *customer) tier() int {
	switch {
	case c.held < c.wholeSlots:
		return heapGuaranteed
	case float64(c.held) < c.guaranteed:
		return heapFraction
	}
	return heapBorrowed
}

// weight is the customer's weight when borrowed slots are divided.
func (c *customer) weight() float64 { return max(c.share.Guaranteed, minWeight) }

// borrowedLong returns the number of long requests that the customer runs on borrowed
// slots.
func (c *customer) borrowedLong() int { return max(0, c.heldLong-c.guaranteedLong) }

// canStartLong reports whether a long request may start, and whether it would use a
// borrowed slot. Borrowed slots for long requests are limited for all customers
// together.
func (c *customer) canStartLong() (ok, borrowed bool) {
	ok = c.long.count > 0 && c.heldLong < c.longLimit
	return ok, c.heldLong >= c.guaranteedLong
}

// next returns the customer's request that is served next, or nil. mayBorrowLong reports
// whether long requests may borrow another slot.
func (c *customer) next(mayBorrowLong bool) *entry {
	first := c.short.first()
	if ok, borrowed := c.canStartLong(); ok && (!borrowed || mayBorrowLong) {
		if long := c.long.first(); first == nil || before(long, first) {
			return long
		}
	}
	return first
}
