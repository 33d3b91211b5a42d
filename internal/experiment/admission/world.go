package admission

import (
	"cmp"
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"tamarackquay/internal/admission"
)

// demand is a stream of requests of one customer and class.
type demand struct {
	customer string
	class    string
	rank     int
	share    float64
	limit    float64
	// load is the offered work as a multiple of the whole capacity.
	load float64
	// service is the mean service time in seconds; 0 means lookupSeconds.
	service float64
	// long requests hold a slot for minutes.
	long bool
	// pause lets the stream come and go: nothing for so many seconds, then
	// requests for as many; 0 means that it never pauses.
	pause float64
	// inner is how many calls to the same service each request makes, one
	// below the other; each holds its slot until the one below has ended.
	inner int
	// unmarked calls don't tell that they are inner ones.
	unmarked bool
	// entries are where the requests enter; empty means everywhere.
	entries []int
}

// scenario is one run.
type scenario struct {
	config     Config
	name       string
	detail     string
	deployment Deployment
	policy     Policy
	placement  Placement
	demands    []demand
	// longLent is the part of guaranteed slots that long requests may borrow.
	longLent float64
	// skewed lets more requests enter at some entries than at others.
	skewed bool
	// cut separates the first half of entries and targets from the second.
	cut bool
}

// call is one request on its way.
type call struct {
	request admission.Request
	stream  int
	entry   int
	offers  []offer
	target  int
	arrived float64
	service float64
	// parent waits for the call with its slot held; nil for callers' requests.
	parent *call
	// below are the service times of the inner calls still to be made.
	below []float64
	// wanted is the service time of the request with all inner calls.
	wanted float64
	failed bool
}

// work is the service time of a request with its inner calls.
func (c *call) work() float64 {
	total := c.service
	for _, service := range c.below {
		total += service
	}
	return total
}

// deadlineSeconds is how long callers wait for a slot.
const deadlineSeconds = 2

// warmUp is the part of the measured time that runs before it.
const warmUp = 0.1

type eventKind uint8

const (
	eventArrive eventKind = iota
	eventFinish
	eventDeadline
)

type event struct {
	at    float64
	order int
	kind  eventKind
	call  *call
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// world is the state of one run.
type world struct {
	scenario *scenario
	events   eventHeap
	order    int
	now      float64
	queues   []queue
	calls    map[string]*call
	chooser  *chooser
	// arrivals is apart from the chooser's random numbers, so that every
	// policy and placement sees the same requests.
	arrivals *rand.Rand
	count    int
	measure  *measure
}

func sortedNames(shares map[string]admission.Share) []string {
	return slices.Sorted(maps.Keys(shares))
}

func run(s scenario) Result {
	w := &world{
		scenario: &s, calls: map[string]*call{},
		arrivals: rand.New(rand.NewPCG(s.config.Seed, 1)),
		chooser:  newChooser(&s, rand.New(rand.NewPCG(s.config.Seed, 2))),
	}
	shares := map[string]admission.Share{}
	for _, d := range s.demands {
		shares[d.customer] = admission.Share{Guaranteed: d.share, Limit: d.limit}
	}
	for target := range s.deployment.Targets {
		terms := admission.Terms{Slots: s.deployment.Slots, Shares: shares, QueuePerSlot: s.config.QueuePerSlot, LongBorrowLimit: s.longLent}
		w.queues = append(w.queues, newQueue(s.policy, terms, s.config.Seed+uint64(target)))
	}
	w.measure = newMeasure(w)
	for stream := range s.demands {
		w.scheduleArrival(stream)
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.measure.pass(e.at)
		w.now = e.at
		w.handle(e)
	}
	return w.measure.result()
}

func (w *world) time() time.Time {
	return time.Unix(0, 0).Add(time.Duration(w.now * float64(time.Second)))
}

func (w *world) schedule(at float64, kind eventKind, c *call) {
	w.order++
	heap.Push(&w.events, event{at: at, order: w.order, kind: kind, call: c})
}

// lastArrival is when arrivals stop; what is left then runs out.
func (w *world) lastArrival() float64 { return w.scenario.config.Seconds * (1 + warmUp) }

// scheduleArrival draws the next request of a stream: Poisson arrivals and
// exponential service times.
func (w *world) scheduleArrival(stream int) {
	d := &w.scenario.demands[stream]
	mean := cmp.Or(d.service, lookupSeconds)
	rate := d.load * float64(w.scenario.deployment.capacity()) / (mean * float64(1+d.inner))
	if rate == 0 {
		return
	}
	at := d.resume(w.now + w.arrivals.ExpFloat64()/rate)
	if at > w.lastArrival() {
		return
	}
	w.count++
	c := &call{stream: stream, entry: w.drawEntry(d), arrived: at, service: w.arrivals.ExpFloat64() * mean}
	for range d.inner {
		c.below = append(c.below, w.arrivals.ExpFloat64()*mean)
	}
	c.request = admission.Request{
		ID: strconv.Itoa(w.count), Customer: d.customer, Rank: d.rank, Long: d.long,
		Deadline: time.Unix(0, 0).Add(time.Duration((at + deadlineSeconds) * float64(time.Second))),
	}
	w.schedule(at, eventArrive, c)
}

// resume moves a time within one of the stream's pauses to the pause's end.
func (d *demand) resume(at float64) float64 {
	if d.pause == 0 {
		return at
	}
	if period := int(at / d.pause); period%2 == 0 {
		return float64(period+1) * d.pause
	}
	return at
}

func (w *world) drawEntry(d *demand) int {
	if len(d.entries) > 0 {
		return d.entries[w.arrivals.IntN(len(d.entries))]
	}
	entry := w.arrivals.IntN(w.scenario.deployment.Targets)
	if w.scenario.skewed {
		// The lower of two draws: the first entry gets 11 of 36 requests,
		// the last one 1 of 36.
		entry = min(entry, w.arrivals.IntN(w.scenario.deployment.Targets))
	}
	return entry
}

func (w *world) handle(e event) {
	switch e.kind {
	case eventArrive:
		w.scheduleArrival(e.call.stream)
		w.calls[e.call.request.ID] = e.call
		w.measure.offered(e.call)
		w.offer(e.call)
	case eventFinish:
		if len(e.call.below) > 0 {
			w.callInner(e.call)
			return
		}
		w.finish(e.call)
	case eventDeadline:
		w.expire(e.call)
	}
}

// finish ends a call that runs, and then the call that waits for it.
func (w *world) finish(c *call) {
	w.chooser.open[c.entry][c.target]--
	w.measure.held(c, -1)
	delete(w.calls, c.request.ID)
	w.take(w.queues[c.target].Release(w.time(), c.request.ID))
	w.end(c)
}

// end tells the caller of a call how it went.
func (w *world) end(c *call) {
	if c.parent == nil {
		w.measure.ended(c)
		return
	}
	c.parent.failed = c.parent.failed || c.failed
	w.finish(c.parent)
}

// callInner makes the call below c; it enters at the node of c's own target and
// has what is left of c's deadline.
func (w *world) callInner(c *call) {
	w.count++
	inner := &call{
		stream: c.stream, entry: c.target, arrived: w.now, service: c.below[0], parent: c, below: c.below[1:],
		request: c.request,
	}
	c.below = nil
	inner.request.ID = strconv.Itoa(w.count)
	if !w.scenario.demands[c.stream].unmarked {
		inner.request.Depth++
		inner.request.Revisits++
	}
	w.calls[inner.request.ID] = inner
	w.offer(inner)
}

// offer tries targets until one admits the call or lets it wait.
func (w *world) offer(c *call) {
	reason := admission.ReasonQueueFull
	for {
		next, ok := w.chooser.next(c)
		if !ok {
			w.refuse(c, reason)
			return
		}
		target := next.target
		c.offers = append(c.offers, next)
		c.target = target
		c.request.NoWait = next.noWait
		decision, changes := w.queues[target].Offer(w.time(), c.request)
		if decision.Verdict != admission.Refused {
			w.chooser.open[c.entry][target]++
		}
		w.take(changes)
		switch decision.Verdict {
		case admission.Admitted:
			return
		case admission.Queued:
			w.schedule(c.request.Deadline.Sub(time.Unix(0, 0)).Seconds(), eventDeadline, c)
			return
		}
		reason = decision.Reason
	}
}

func (w *world) take(changes admission.Changes) {
	started := slices.Clone(changes.Started)
	dropped := slices.Clone(changes.Dropped)
	for _, r := range started {
		w.start(w.calls[r.ID])
	}
	for _, d := range dropped {
		c := w.calls[d.Request.ID]
		w.chooser.open[c.entry][c.target]--
		w.refuse(c, d.Reason)
	}
}

func (w *world) start(c *call) {
	w.measure.started(c)
	w.measure.held(c, 1)
	w.schedule(w.now+c.service, eventFinish, c)
}

func (w *world) refuse(c *call, reason admission.Reason) {
	delete(w.calls, c.request.ID)
	w.measure.refused(c, reason)
	c.failed = true
	w.end(c)
}

func (w *world) expire(c *call) {
	if w.calls[c.request.ID] == c && w.queues[c.target].Cancel(c.request.ID) {
		w.chooser.open[c.entry][c.target]--
		w.refuse(c, admission.ReasonDeadline)
	}
}
