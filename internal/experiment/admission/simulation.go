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
	// load is the offered work as a multiple of the total capacity.
	load float64
	// service is the mean service time in seconds; 0 means lookupSeconds.
	service float64
	// long requests hold a slot for minutes.
	long bool
	// pause makes the stream alternate: no requests for this many seconds, then
	// requests for as many. 0 means that it never pauses.
	pause float64
	// inner is the number of nested calls to the same service that each request
	// makes. Each holds its slot until its inner call has ended.
	inner int
	// unmarked inner calls don't carry their depth and revisits.
	unmarked bool
	// entries are the entries at which requests enter; empty means all.
	entries []int
}

// scenario is the configuration of one run.
type scenario struct {
	config     Config
	name       string
	detail     string
	deployment Deployment
	policy     Policy
	placement  Placement
	demands    []demand
	// longBorrowLimit is the fraction of guaranteed slots that long requests may
	// borrow.
	longBorrowLimit float64
	// skewed makes more requests enter at some entries than at others.
	skewed bool
	// partitioned divides the fleet: the first half of entries and targets can't reach the
	// second.
	partitioned bool
}

// call is one request or inner call.
type call struct {
	request admission.Request
	stream  int
	entry   int
	offers  []offer
	target  int
	arrived float64
	service float64
	// parent is the outer call, which holds its slot while it waits for this one; nil
	// for requests of callers.
	parent *call
	// innerServices are the service times of the inner calls still to be made.
	innerServices []float64
	// demand is the service time of the request with all inner calls.
	demand float64
	failed bool
}

// totalService returns the service time of a request with its inner calls.
func (c *call) totalService() float64 {
	total := c.service
	for _, service := range c.innerServices {
		total += service
	}
	return total
}

// deadlineSeconds is the time that callers wait for a slot.
const deadlineSeconds = 2

// warmUp is the length of the warm-up as a fraction of the measured time.
const warmUp = 0.1

type eventKind uint8

const (
	eventArrive eventKind = iota
	eventFinish
	eventDeadline
)

type event struct {
	at       float64
	sequence int
	kind     eventKind
	call     *call
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation is the state of one run.
type simulation struct {
	scenario *scenario
	events   eventHeap
	sequence int
	now      float64
	queues   []queue
	calls    map[string]*call
	chooser  *chooser
	// arrivals is separate from the random numbers of the chooser, so that every
	// policy and placement gets the same requests.
	arrivals *rand.Rand
	lastID   int
	metrics  *metrics
}

func sortedNames(shares map[string]admission.Share) []string {
	return slices.Sorted(maps.Keys(shares))
}

func run(s scenario) Result {
	sim := &simulation{
		scenario: &s, calls: map[string]*call{},
		arrivals: rand.New(rand.NewPCG(s.config.Seed, 1)),
		chooser:  newChooser(&s, rand.New(rand.NewPCG(s.config.Seed, 2))),
	}
	shares := map[string]admission.Share{}
	for _, d := range s.demands {
		shares[d.customer] = admission.Share{Guaranteed: d.share, Limit: d.limit}
	}
	for target := range s.deployment.Targets {
		terms := admission.Terms{Slots: s.deployment.Slots, Shares: shares, QueuePerSlot: s.config.QueuePerSlot, LongBorrowLimit: s.longBorrowLimit}
		sim.queues = append(sim.queues, newQueue(s.policy, terms, s.config.Seed+uint64(target)))
	}
	sim.metrics = newMetrics(sim)
	for stream := range s.demands {
		sim.scheduleArrival(stream)
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.metrics.advance(e.at)
		sim.now = e.at
		sim.handle(e)
	}
	return sim.metrics.result()
}

func (s *simulation) time() time.Time {
	return time.Unix(0, 0).Add(time.Duration(s.now * float64(time.Second)))
}

func (s *simulation) schedule(at float64, kind eventKind, c *call) {
	s.sequence++
	heap.Push(&s.events, event{at: at, sequence: s.sequence, kind: kind, call: c})
}

// lastArrival returns the time at which arrivals stop. The remaining calls still run
// to their end.
func (s *simulation) lastArrival() float64 { return s.scenario.config.Seconds * (1 + warmUp) }

// scheduleArrival draws the next request of a stream, with Poisson arrivals and
// exponential service times.
func (s *simulation) scheduleArrival(stream int) {
	d := &s.scenario.demands[stream]
	mean := cmp.Or(d.service, lookupSeconds)
	rate := d.load * float64(s.scenario.deployment.capacity()) / (mean * float64(1+d.inner))
	if rate == 0 {
		return
	}
	at := d.resume(s.now + s.arrivals.ExpFloat64()/rate)
	if at > s.lastArrival() {
		return
	}
	s.lastID++
	c := &call{stream: stream, entry: s.drawEntry(d), arrived: at, service: s.arrivals.ExpFloat64() * mean}
	for range d.inner {
		c.innerServices = append(c.innerServices, s.arrivals.ExpFloat64()*mean)
	}
	c.request = admission.Request{
		ID: strconv.Itoa(s.lastID), Customer: d.customer, Rank: d.rank, Long: d.long,
		Deadline: time.Unix(0, 0).Add(time.Duration((at + deadlineSeconds) * float64(time.Second))),
	}
	s.schedule(at, eventArrive, c)
}

// resume moves a time within a pause of the stream to the end of the pause.
func (d *demand) resume(at float64) float64 {
	if d.pause == 0 {
		return at
	}
	if period := int(at / d.pause); period%2 == 0 {
		return float64(period+1) * d.pause
	}
	return at
}

func (s *simulation) drawEntry(d *demand) int {
	if len(d.entries) > 0 {
		return d.entries[s.arrivals.IntN(len(d.entries))]
	}
	entry := s.arrivals.IntN(s.scenario.deployment.Targets)
	if s.scenario.skewed {
		// The lower of two draws: the first entry gets 11 of 36 requests,
		// the last one 1 of 36.
		entry = min(entry, s.arrivals.IntN(s.scenario.deployment.Targets))
	}
	return entry
}

func (s *simulation) handle(e event) {
	switch e.kind {
	case eventArrive:
		s.scheduleArrival(e.call.stream)
		s.calls[e.call.request.ID] = e.call
		s.metrics.recordOffer(e.call)
		s.offer(e.call)
	case eventFinish:
		if len(e.call.innerServices) > 0 {
			s.callInner(e.call)
			return
		}
		s.finish(e.call)
	case eventDeadline:
		s.expire(e.call)
	}
}

// finish ends a running call, and then the outer call that waits for it.
func (s *simulation) finish(c *call) {
	s.chooser.inFlight[c.entry][c.target]--
	s.metrics.addHeld(c, -1)
	delete(s.calls, c.request.ID)
	s.apply(s.queues[c.target].Release(s.time(), c.request.ID))
	s.notifyCaller(c)
}

// notifyCaller passes the result of a call to its outer call, or records it for a
// request of a caller.
func (s *simulation) notifyCaller(c *call) {
	if c.parent == nil {
		s.metrics.recordEnd(c)
		return
	}
	c.parent.failed = c.parent.failed || c.failed
	s.finish(c.parent)
}

// callInner makes the next inner call of c. It enters at the node of c's target and
// has the deadline of c.
func (s *simulation) callInner(c *call) {
	s.lastID++
	inner := &call{
		stream: c.stream, entry: c.target, arrived: s.now, service: c.innerServices[0], parent: c, innerServices: c.innerServices[1:],
		request: c.request,
	}
	c.innerServices = nil
	inner.request.ID = strconv.Itoa(s.lastID)
	if !s.scenario.demands[c.stream].unmarked {
		inner.request.Depth++
		inner.request.Revisits++
	}
	s.calls[inner.request.ID] = inner
	s.offer(inner)
}

// offer tries targets until one admits or queues the call.
func (s *simulation) offer(c *call) {
	reason := admission.ReasonQueueFull
	for {
		next, ok := s.chooser.next(c)
		if !ok {
			s.refuse(c, reason)
			return
		}
		target := next.target
		c.offers = append(c.offers, next)
		c.target = target
		c.request.NoWait = next.noWait
		decision, changes := s.queues[target].Offer(s.time(), c.request)
		if decision.Verdict != admission.Refused {
			s.chooser.inFlight[c.entry][target]++
		}
		s.apply(changes)
		switch decision.Verdict {
		case admission.Admitted:
			return
		case admission.Queued:
			s.schedule(c.request.Deadline.Sub(time.Unix(0, 0)).Seconds(), eventDeadline, c)
			return
		}
		reason = decision.Reason
	}
}

func (s *simulation) apply(changes admission.Changes) {
	started := slices.Clone(changes.Started)
	dropped := slices.Clone(changes.Dropped)
	for _, r := range started {
		s.start(s.calls[r.ID])
	}
	for _, d := range dropped {
		c := s.calls[d.Request.ID]
		s.chooser.inFlight[c.entry][c.target]--
		s.refuse(c, d.Reason)
	}
}

func (s *simulation) start(c *call) {
	s.metrics.recordStart(c)
	s.metrics.addHeld(c, 1)
	s.schedule(s.now+c.service, eventFinish, c)
}

func (s *simulation) refuse(c *call, reason admission.Reason) {
	delete(s.calls, c.request.ID)
	s.metrics.recordRefusal(c, reason)
	c.failed = true
	s.notifyCaller(c)
}

func (s *simulation) expire(c *call) {
	if s.calls[c.request.ID] == c && s.queues[c.target].Cancel(c.request.ID) {
		s.chooser.inFlight[c.entry][c.target]--
		s.refuse(c, admission.ReasonDeadline)
	}
}
