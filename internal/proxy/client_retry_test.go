package proxy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/admission"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
)

// burst simulates callers of one target that gets more requests than it can process. A
// refused caller retries after a third of its remaining time, at most twice.
type burst struct {
	random *rand.Rand
	queue  *admission.Queue
	// recognized is set if retries are recognized as such.
	recognized bool
	events     []burstEvent
	waiting    map[string]*burstCaller
	inTime     int
	late       int
	unanswered int
}

type burstCaller struct {
	firstAt, deadline time.Time
	attempts          int
}

type burstEvent struct {
	at time.Time
	do func(now time.Time)
}

const (
	burstSlots   = 12
	burstWork    = 200 * time.Millisecond
	burstLatency = 600 * time.Millisecond
	burstTimeout = 4 * time.Second
	burstRetries = 2
)

func (b *burst) schedule(at time.Time, do func(time.Time)) {
	b.events = append(b.events, burstEvent{at, do})
}

// run processes the events in order of time until none is left.
func (b *burst) run() {
	for len(b.events) > 0 {
		next := 0
		for i := range b.events {
			if b.events[i].at.Before(b.events[next].at) {
				next = i
			}
		}
		event := b.events[next]
		b.events = slices.Delete(b.events, next, next+1)
		event.do(event.at)
	}
}

func (b *burst) arrive(now time.Time, caller *burstCaller) {
	caller.attempts++
	f, member := newBurstForwarder(now, caller, b.recognized)
	meta := f.newMeta(now, member)
	id := fmt.Sprint(caller.firstAt.UnixNano(), " ", caller.attempts)
	decision, changes := b.queue.Offer(now, admission.Request{
		ID: id, Customer: meshCustomer, Rank: meta.rank, Deadline: now.Add(min(meta.maxWait+minBudget, meta.budget)),
	})
	b.waiting[id] = caller
	if decision.Verdict == admission.Refused {
		b.retry(now, id)
	}
	b.apply(now, changes)
}

func newBurstForwarder(now time.Time, caller *burstCaller, recognized bool) (*forwarder, *mesh.Member) {
	p := New(Config{}, Ports{})
	route := &mesh.Route{Name: "r", Kind: mesh.Idempotent, TargetLatency: burstLatency}
	member := &mesh.Member{Target: mesh.Target{ID: "t", Slots: burstSlots}}
	p.stats["t"] = &placement.Stats{Slots: burstSlots}
	p.routeStats["r"] = &placement.RouteStats{Hold: burstWork}
	f := &forwarder{proxy: p, route: route, began: now, firstAt: now, deadline: caller.deadline}
	if recognized {
		f.firstAt = caller.firstAt
	}
	return f, member
}

func (b *burst) apply(now time.Time, changes admission.Changes) {
	for _, r := range slices.Clone(changes.Dropped) {
		b.retry(now, r.Request.ID)
	}
	for _, r := range slices.Clone(changes.Started) {
		b.start(now, r.ID)
	}
}

func (b *burst) start(now time.Time, id string) {
	caller := b.waiting[id]
	hold := time.Duration(float64(burstWork) * math.Exp(0.5*b.random.NormFloat64()-0.125))
	b.schedule(now.Add(hold), func(now time.Time) {
		if now.Sub(caller.firstAt) <= burstLatency {
			b.inTime++
		} else {
			b.late++
		}
		b.apply(now, b.queue.Release(now, id))
	})
}

func (b *burst) retry(now time.Time, id string) {
	caller := b.waiting[id]
	if caller.attempts > burstRetries {
		b.unanswered++
		return
	}
	b.schedule(now.Add(caller.deadline.Sub(now)/3), func(now time.Time) { b.arrive(now, caller) })
}

func simulateBurst(recognized bool) *burst {
	const demand = 1.3
	b := &burst{
		random: rand.New(rand.NewPCG(5, 6)), queue: admission.NewQueue(admissionTerms(burstSlots), 1),
		recognized: recognized, waiting: map[string]*burstCaller{},
	}
	start := time.Unix(1_000_000, 0)
	between := float64(burstWork) / (demand * burstSlots)
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(time.Duration(b.random.ExpFloat64() * between)) {
		caller := &burstCaller{firstAt: at, deadline: at.Add(burstTimeout)}
		b.schedule(at, func(now time.Time) { b.arrive(now, caller) })
	}
	b.run()
	return b
}

// A target gets 1.3 times the requests that it can process for half a minute, and refused
// callers retry. If retries are recognized, requests that can still be in time are served
// first: far more callers get a response in time, and about as many get one at all.
func TestLateRetriesAreServedAfterOnTimeRequests(t *testing.T) {
	unknown, known := simulateBurst(false), simulateBurst(true)
	t.Logf("retries not recognized: %d in time, %d late, %d unanswered; recognized: %d, %d, %d", unknown.inTime, unknown.late, unknown.unanswered, known.inTime, known.late, known.unanswered)
	assert.Assert(t, known.inTime > unknown.inTime*5/4)
	assert.Assert(t, known.inTime+known.late > (unknown.inTime+unknown.late)*95/100)
}
