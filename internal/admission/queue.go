package admission

import (
	"math/rand/v2"
	"time"
)

// Queue is the admission state of one target. It is not safe for concurrent use. Each
// event costs O(log customers); only Configure and changes of the number of slots visit
// all customers.
type Queue struct {
	terms Terms
	// slots is how many requests may run now: the configured number, or fewer after the
	// target has shed.
	slots int
	// recoverySince is the time of the last shed or restored slot.
	recoverySince time.Time

	customers map[string]*customer
	entries   map[string]*entry
	freeList  *entry
	tiers     tiers

	running           int
	runningLong       int
	waiting           int
	borrowedLong      int
	borrowedLongLimit int
	arrivals          uint64

	// levels holds the revisit levels of all customers' call chains; see cycle.go.
	levels revisitLevels

	// contendedSeconds is the total time, in seconds, during which some customer waited
	// for its fractional slot. Use of fractional slots is charged in this time, so using
	// one that nobody else needs costs nothing.
	contendedSeconds float64
	lastEvent        time.Time

	starts    startLimiter
	pace      pace
	shortHold meanHold
	longHold  meanHold
	random    *rand.Rand
	changes   Changes
}

// NewQueue returns an empty queue with the terms. seed initializes the random numbers
// that spread retry times.
func NewQueue(terms Terms, seed uint64) *Queue {
	q := &Queue{
		customers: map[string]*customer{},
		entries:   make(map[string]*entry, terms.Slots*(1+terms.QueuePerSlot)),
		tiers:     newTiers(),
		random:    rand.New(rand.NewPCG(seed, 0)),
	}
	q.applyTerms(terms)
	return q
}

// Running returns the number of slots in use.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests in the queue.
func (q *Queue) Waiting() int { return q.waiting }

// Slots returns the number of requests that may run now.
func (q *Queue) Slots() int { return q.slots }

// Offer decides on a new request. The same event may start or drop waiting requests. An
// admitted request is itself listed in Changes.Started.
func (q *Queue) Offer(now time.Time, r Request) (Decision, Changes) {
	q.begin(now)
	c := q.customers[r.Customer]
	if c == nil || !c.granted {
		return Decision{Verdict: Refused, Reason: ReasonNoGrant}, q.changes
	}
	if !r.Deadline.After(now) {
		return q.refuse(now, c, &r, ReasonDeadline)
	}
	if _, known := q.entries[r.ID]; known {
		return Decision{Verdict: Refused, Reason: ReasonDuplicate}, q.changes
	}
	q.levels.observe(now, &r)
	c.levels.observe(now, &r)
	e := q.newEntry(c, r)
	if q.mayStart(now) {
		// There may be enough free slots for waiting requests as well: after sheds, a
		// target regains slots without any request ending.
		q.enqueue(e)
		q.startWaiting(now)
		if e.running {
			return Decision{Verdict: Admitted}, q.changes
		}
		q.dequeue(e)
	}
	if reason := q.enqueueRefusal(now, e); reason != ReasonNone {
		q.recycle(e)
		return q.refuse(now, c, &r, reason)
	}
	q.enqueue(e)
	return Decision{Verdict: Queued}, q.changes
}

// Release frees the slot of a request that ended. Unknown and waiting requests are
// ignored.
func (q *Queue) Release(now time.Time, id string) Changes {
	q.begin(now)
	e := q.entries[id]
	if e == nil || !e.running {
		return q.changes
	}
	q.finish(now, e)
	q.startWaiting(now)
	return q.changes
}

// Tick starts requests that can start only because time has passed: slots are restored
// after sheds, and reserved slots are released after a cycle. Without it these slots
// would stay idle until the next request arrived or ended, which takes minutes where
// only archives run.
func (q *Queue) Tick(now time.Time) Changes {
	q.begin(now)
	q.startWaiting(now)
	return q.changes
}

// Cancel removes a request from the queue. It reports whether the request was waiting.
func (q *Queue) Cancel(id string) bool {
	e := q.entries[id]
	if e == nil || e.running {
		return false
	}
	q.dequeue(e)
	q.recycle(e)
	return true
}

// begin starts an event: it clears the changes, advances time and restores slots.
func (q *Queue) begin(now time.Time) {
	q.changes.Started = q.changes.Started[:0]
	q.changes.Dropped = q.changes.Dropped[:0]
	if now.After(q.lastEvent) {
		if q.tiers.heaps[heapFraction].Len() > 0 {
			q.contendedSeconds += now.Sub(q.lastEvent).Seconds()
		}
		q.lastEvent = now
	}
	q.recoverSlots(now)
}

func (q *Queue) refuse(now time.Time, c *customer, r *Request, reason Reason) (Decision, Changes) {
	if reason == ReasonBusy {
		// The entry node tries another target. Reserving a retry time for it would only
		// delay callers whose refusal is final.
		after := jitter(q.retryInterval(now, c, r.Long), q.random)
		return Decision{Verdict: Refused, Reason: reason, RetryAfter: after}, q.changes
	}
	after := q.retryAfter(now, c, r.Long)
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: after}, q.changes
}

// enqueueRefusal returns why the request must not be queued, or ReasonNone. A request
// that can't start before its deadline would only occupy the queue. Each customer's
// queue is bounded, so a customer far over its contract fills only its own.
func (q *Queue) enqueueRefusal(now time.Time, e *entry) Reason {
	c := e.customer
	if e.request.NoWait {
		return ReasonBusy
	}
	q.dropExpired(now, c)
	waiting := c.queueFor(e.request.Long)
	if wait := q.estimateWait(now, c, waiting.countAhead(e.bucket), e.request.Long); now.Add(wait).After(e.request.Deadline) {
		return ReasonDeadline
	}
	if c.waiting() < c.queueBound || q.displace(now, e) {
		return ReasonNone
	}
	if c.held >= c.limit && c.limit < q.terms.Slots {
		return ReasonLimit
	}
	return ReasonQueueFull
}

// dropExpired drops the customer's waiting requests that are past their deadline, so
// that they neither fill its queue nor lengthen the estimated wait.
func (q *Queue) dropExpired(now time.Time, c *customer) {
	for _, waiting := range [...]*priorityQueue{&c.short, &c.long} {
		for e := waiting.firstExpired(now); e != nil; e = waiting.firstExpired(now) {
			q.drop(now, e, ReasonDeadline)
		}
	}
}

// displace drops the customer's waiting request that would be served last, if it comes
// after e. Otherwise lookups that fill the queue would cause the refusal of an
// inspector, and new chains that of an inner call. It reports whether a request was
// dropped.
func (q *Queue) displace(now time.Time, e *entry) bool {
	c := e.customer
	last := c.short.last()
	if long := c.long.last(); last == nil || long != nil && before(last, long) {
		last = long
	}
	if last == nil || last.bucket <= e.bucket {
		return false
	}
	q.drop(now, last, ReasonQueueFull)
	return true
}

func (q *Queue) drop(now time.Time, e *entry, reason Reason) {
	c := e.customer
	q.dequeue(e)
	drop := Drop{Request: e.request, Reason: reason}
	if reason != ReasonNoGrant {
		drop.RetryAfter = q.retryAfter(now, c, e.request.Long)
	}
	q.changes.Dropped = append(q.changes.Dropped, drop)
	q.recycle(e)
}

// startWaiting gives free slots to waiting requests. Requests past their deadline are
// dropped and not started: after a pause the queue may be full of requests whose callers
// have disconnected, and the remaining requests must not wait behind them.
func (q *Queue) startWaiting(now time.Time) {
	for q.mayStart(now) {
		e, from := q.next(now)
		if e == nil {
			return
		}
		if !e.request.Deadline.After(now) {
			q.drop(now, e, ReasonDeadline)
			continue
		}
		q.run(now, e, from)
	}
}

// mayStart reports whether there is a free slot and the start rate allows to use it.
func (q *Queue) mayStart(now time.Time) bool {
	return q.running < q.slots && q.starts.wait(now, 0) == 0
}

// next returns the request that gets the next free slot, and the tier of its customer,
// or nil.
func (q *Queue) next(now time.Time) (*entry, int) {
	if q.slots-q.running <= q.reservedSlots(now, &q.levels, 0) {
		return q.nextInCycle(now)
	}
	mayBorrowLong := q.borrowedLong < q.borrowedLongLimit
	c, from := q.tiers.next(mayBorrowLong)
	if c == nil {
		return nil, 0
	}
	return c.next(mayBorrowLong), from
}

func (q *Queue) run(now time.Time, e *entry, from int) {
	c := e.customer
	hold := q.holdOf(c, e.request.Long)
	if hold == 0 {
		hold = defaultHold.Seconds()
	}
	q.tiers.charge(c, from, hold)
	q.unlink(e)
	e.running = true
	e.started = now
	e.slowdown = float32(q.pace.slowdown(now))
	q.starts.record(now)
	q.adjustHeld(c, e.request.Long, 1)
	q.tiers.update(c)
	q.changes.Started = append(q.changes.Started, e.request)
}

func (q *Queue) finish(now time.Time, e *entry) {
	c := e.customer
	held := q.pace.atMeanSpeed(now, now.Sub(e.started), float64(e.slowdown))
	if e.request.Long {
		c.longHold.add(held)
		q.longHold.add(held)
	} else {
		c.shortHold.add(held)
		q.shortHold.add(held)
	}
	q.adjustHeld(c, e.request.Long, -1)
	q.tiers.update(c)
	q.recycle(e)
	if !c.granted && c.held == 0 {
		delete(q.customers, c.name)
	}
}

// adjustHeld adds n to the number of slots that the customer holds. When its fractional
// slot is released, it charges the time for which the slot was held.
func (q *Queue) adjustHeld(c *customer, long bool, n int) {
	q.borrowedLong -= c.borrowedLong()
	c.held += n
	q.running += n
	if long {
		c.heldLong += n
		q.runningLong += n
	}
	q.borrowedLong += c.borrowedLong()
	if n > 0 && c.held == c.wholeSlots+1 {
		c.fractionHeldSince = q.contendedSeconds
	}
	if n < 0 && c.held == c.wholeSlots && c.fraction > 0 {
		c.fractionPass += (q.contendedSeconds - c.fractionHeldSince) / c.fraction
	}
}

func (q *Queue) enqueue(e *entry) {
	c := e.customer
	if c.waiting() == 0 {
		q.tiers.beginWait(c)
	}
	c.queueFor(e.request.Long).push(e)
	q.waiting++
	q.tiers.update(c)
}

func (q *Queue) dequeue(e *entry) {
	q.unlink(e)
	q.tiers.update(e.customer)
}

func (q *Queue) unlink(e *entry) {
	e.customer.queueFor(e.request.Long).remove(e)
	q.waiting--
}

func (q *Queue) newEntry(c *customer, r Request) *entry {
	e := q.freeList
	if e == nil {
		e = &entry{}
	} else {
		q.freeList = e.next
	}
	q.arrivals++
	*e = entry{request: r, customer: c, arrival: q.arrivals, bucket: bucketOf(&r)}
	q.entries[r.ID] = e
	return e
}

func (q *Queue) recycle(e *entry) {
	delete(q.entries, e.request.ID)
	*e = entry{next: q.freeList}
	q.freeList = e
}
