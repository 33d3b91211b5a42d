package admission

import (
	"math/rand/v2"
	"time"
)

// Queue is the admission state of one target. It is not safe for concurrent
// use. Every event costs O(log customers); only Configure and a change of the
// target's slots visit all customers.
type Queue struct {
	terms Terms
	// slots is how many requests may run now: the configured number, or fewer
	// while the target sheds.
	slots      int
	slotsSince time.Time

	customers map[string]*customer
	entries   map[string]*entry
	free      *entry
	tiers     tiers

	running       int
	runningLong   int
	waiting       int
	lentLong      int
	lentLongBound int
	arrivals      uint64

	// levels are those of all customers' chains that come back to the service;
	// see cycle.go.
	levels revisitLevels

	// contested is for how many seconds some customer has waited for a part
	// of a slot; fractional slots are charged in this time, so that using one
	// that nobody else wants costs nothing.
	contested float64
	lastEvent time.Time

	shortHold meanHold
	longHold  meanHold
	random    *rand.Rand
	changes   Changes
}

// NewQueue returns an empty queue under the terms; seed starts the spread of
// the times that refused callers are told.
func NewQueue(terms Terms, seed uint64) *Queue {
	q := &Queue{
		customers: map[string]*customer{},
		entries:   make(map[string]*entry, terms.Slots*(1+terms.QueuePerSlot)),
		tiers:     newTiers(),
		random:    rand.New(rand.NewPCG(seed, 0)),
	}
	q.adopt(terms)
	return q
}

// Running is the number of slots in use.
func (q *Queue) Running() int { return q.running }

// Waiting is the number of requests in the queue.
func (q *Queue) Waiting() int { return q.waiting }

// Slots is the number of requests that may run now.
func (q *Queue) Slots() int { return q.slots }

// Offer decides on a new request. Requests that waited may start or end by the
// same event; an admitted one is itself among those that started.
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
	q.levels.see(now, &r)
	c.levels.see(now, &r)
	e := q.newEntry(c, r)
	if q.running < q.slots {
		// Enough slots may be free for those that wait as well: a target
		// that shed has slots back without any request ending.
		q.enqueue(e)
		q.start(now)
		if e.running {
			return Decision{Verdict: Admitted}, q.changes
		}
		q.dequeue(e)
	}
	if reason := q.reasonNotToWait(now, e); reason != ReasonNone {
		q.recycle(e)
		return q.refuse(now, c, &r, reason)
	}
	q.enqueue(e)
	return Decision{Verdict: Queued}, q.changes
}

// Release gives back the slot of a request that ended. Unknown and waiting
// requests are left alone.
func (q *Queue) Release(now time.Time, id string) Changes {
	q.begin(now)
	e := q.entries[id]
	if e == nil || !e.running {
		return q.changes
	}
	q.finish(now, e)
	q.start(now)
	return q.changes
}

// Tick starts what may start only because time has passed: slots come back after
// sheds, and reserved ones after a cycle. Without it they would stay idle until
// the next request came or ended, for minutes where only archives run.
func (q *Queue) Tick(now time.Time) Changes {
	q.begin(now)
	q.start(now)
	return q.changes
}

// Cancel takes a request out of the queue. It reports whether it was waiting.
func (q *Queue) Cancel(id string) bool {
	e := q.entries[id]
	if e == nil || e.running {
		return false
	}
	q.dequeue(e)
	q.recycle(e)
	return true
}

// begin starts an event: time passes, slots recover, the changes are empty.
func (q *Queue) begin(now time.Time) {
	q.changes.Started = q.changes.Started[:0]
	q.changes.Dropped = q.changes.Dropped[:0]
	if now.After(q.lastEvent) {
		if q.tiers.heaps[heapFraction].Len() > 0 {
			q.contested += now.Sub(q.lastEvent).Seconds()
		}
		q.lastEvent = now
	}
	q.recoverSlots(now)
}

func (q *Queue) refuse(now time.Time, c *customer, r *Request, reason Reason) (Decision, Changes) {
	if reason == ReasonBusy {
		// The entry node tries elsewhere; a booked return would only make
		// callers who are really refused wait longer.
		after := jitter(q.returnInterval(c, r.Long), q.random)
		return Decision{Verdict: Refused, Reason: reason, RetryAfter: after}, q.changes
	}
	after := q.retryAfter(now, c, r.Long)
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: after}, q.changes
}

// reasonNotToWait says why the request may not join the queue. Waiting would be
// of no use to one that can't start before its deadline, and each customer's
// queue is bounded, so that one far over its contract fills only its own.
func (q *Queue) reasonNotToWait(now time.Time, e *entry) Reason {
	c := e.customer
	if e.request.NoWait {
		return ReasonBusy
	}
	q.dropDead(now, c)
	lane := c.lane(e.request.Long)
	if wait := q.wait(c, lane.ahead(e.bucket), e.request.Long); now.Add(wait).After(e.request.Deadline) {
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

// dropDead ends the customer's waiting requests that are past their deadline,
// so that they neither fill its queue nor lengthen the estimated wait.
func (q *Queue) dropDead(now time.Time, c *customer) {
	for _, lane := range [...]*lane{&c.short, &c.long} {
		for e := lane.firstDead(now); e != nil; e = lane.firstDead(now) {
			q.drop(now, e, ReasonDeadline)
		}
	}
}

// displace drops the waiting request of the same customer that would be served
// last, if that is after e: an inspector is not refused because lookups fill
// the queue, nor an inner call because new chains do.
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

// start gives free slots to waiting requests. One that is past its deadline is
// dropped and never started: after a pause the queue may be full of requests
// whose callers have gone, and the living must not wait behind their work.
func (q *Queue) start(now time.Time) {
	for q.running < q.slots {
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

// next returns the request that the next free slot goes to, and the tier of its
// customer, or nil.
func (q *Queue) next(now time.Time) (*entry, int) {
	if q.slots-q.running <= q.reserved(now, &q.levels, 0) {
		return q.nextInCycle(now)
	}
	lentLongLeft := q.lentLong < q.lentLongBound
	c, from := q.tiers.next(lentLongLeft)
	if c == nil {
		return nil, 0
	}
	return c.best(lentLongLeft), from
}

func (q *Queue) run(now time.Time, e *entry, from int) {
	c := e.customer
	hold := q.holdOf(c, e.request.Long)
	if hold == 0 {
		hold = unknownHold.Seconds()
	}
	q.tiers.charge(c, from, hold)
	q.unlist(e)
	e.running = true
	e.started = now
	q.hold(c, e.request.Long, 1)
	q.tiers.place(c)
	q.changes.Started = append(q.changes.Started, e.request)
}

func (q *Queue) finish(now time.Time, e *entry) {
	c := e.customer
	held := now.Sub(e.started)
	if e.request.Long {
		c.longHold.add(held)
		q.longHold.add(held)
	} else {
		c.shortHold.add(held)
		q.shortHold.add(held)
	}
	q.hold(c, e.request.Long, -1)
	q.tiers.place(c)
	q.recycle(e)
	if !c.granted && c.held == 0 {
		delete(q.customers, c.name)
	}
}

// hold counts one slot more or fewer for the customer, and charges the time of
// its fractional slot when it is given back.
func (q *Queue) hold(c *customer, long bool, n int) {
	q.lentLong -= c.lentLong()
	c.held += n
	q.running += n
	if long {
		c.heldLong += n
		q.runningLong += n
	}
	q.lentLong += c.lentLong()
	if n > 0 && c.held == c.whole+1 {
		c.fractionSince = q.contested
	}
	if n < 0 && c.held == c.whole && c.fraction > 0 {
		c.fractionPass += (q.contested - c.fractionSince) / c.fraction
	}
}

func (q *Queue) enqueue(e *entry) {
	c := e.customer
	if c.waiting() == 0 {
		q.tiers.join(c)
	}
	c.lane(e.request.Long).push(e)
	q.waiting++
	q.tiers.place(c)
}

func (q *Queue) dequeue(e *entry) {
	q.unlist(e)
	q.tiers.place(e.customer)
}

func (q *Queue) unlist(e *entry) {
	e.customer.lane(e.request.Long).remove(e)
	q.waiting--
}

func (q *Queue) newEntry(c *customer, r Request) *entry {
	e := q.free
	if e == nil {
		e = &entry{}
	} else {
		q.free = e.next
	}
	q.arrivals++
	*e = entry{request: r, customer: c, arrival: q.arrivals, bucket: bucketOf(&r)}
	q.entries[r.ID] = e
	return e
}

func (q *Queue) recycle(e *entry) {
	delete(q.entries, e.request.ID)
	*e = entry{next: q.free}
	q.free = e
}
