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

// crowd plays callers at one target that is offered more than it can do. Who is
// refused comes back after a third of the time that it has left, twice at most.
type crowd struct {
	random *rand.Rand
	queue  *admission.Queue
	// recognised says that callers who come back are known.
	recognised bool
	due        []crowdEvent
	waiting    map[string]*crowdCaller
	inTime     int
	late       int
	never      int
}

type crowdCaller struct {
	first, ends time.Time
	attempts    int
}

type crowdEvent struct {
	at time.Time
	do func(now time.Time)
}

const (
	crowdSlots   = 12
	crowdUsual   = 200 * time.Millisecond
	crowdLatency = 600 * time.Millisecond
	crowdWaits   = 4 * time.Second
	crowdRetries = 2
)

func (c *crowd) at(at time.Time, do func(time.Time)) { c.due = append(c.due, crowdEvent{at, do}) }

// run plays what is due, in order, until nothing is.
func (c *crowd) run() {
	for len(c.due) > 0 {
		next := 0
		for i := range c.due {
			if c.due[i].at.Before(c.due[next].at) {
				next = i
			}
		}
		event := c.due[next]
		c.due = slices.Delete(c.due, next, next+1)
		event.do(event.at)
	}
}

func (c *crowd) arrive(now time.Time, caller *crowdCaller) {
	caller.attempts++
	f, member := crowdFlight(now, caller, c.recognised)
	t := f.terms(now, member)
	id := fmt.Sprint(caller.first.UnixNano(), " ", caller.attempts)
	decision, changes := c.queue.Offer(now, admission.Request{
		ID: id, Customer: meshCustomer, Rank: t.rank, Deadline: now.Add(min(t.wait+leastBudget, t.budget)),
	})
	c.waiting[id] = caller
	if decision.Verdict == admission.Refused {
		c.refused(now, id)
	}
	c.follow(now, changes)
}

func crowdFlight(now time.Time, caller *crowdCaller, recognised bool) (*flight, *mesh.Member) {
	p := New(Config{}, Ports{})
	route := &mesh.Route{Name: "r", Kind: mesh.Idempotent, TargetLatency: crowdLatency}
	member := &mesh.Member{Target: mesh.Target{ID: "t", Slots: crowdSlots}}
	p.stats["t"] = &placement.Stats{Slots: crowdSlots}
	p.work["r"] = &placement.RouteStats{Hold: crowdUsual}
	f := &flight{proxy: p, route: route, began: now, first: now, deadline: caller.ends}
	if recognised {
		f.first = caller.first
	}
	return f, member
}

func (c *crowd) follow(now time.Time, changes admission.Changes) {
	for _, r := range slices.Clone(changes.Dropped) {
		c.refused(now, r.Request.ID)
	}
	for _, r := range slices.Clone(changes.Started) {
		c.start(now, r.ID)
	}
}

func (c *crowd) start(now time.Time, id string) {
	caller := c.waiting[id]
	hold := time.Duration(float64(crowdUsual) * math.Exp(0.5*c.random.NormFloat64()-0.125))
	c.at(now.Add(hold), func(now time.Time) {
		if now.Sub(caller.first) <= crowdLatency {
			c.inTime++
		} else {
			c.late++
		}
		c.follow(now, c.queue.Release(now, id))
	})
}

func (c *crowd) refused(now time.Time, id string) {
	caller := c.waiting[id]
	if caller.attempts > crowdRetries {
		c.never++
		return
	}
	c.at(now.Add(caller.ends.Sub(now)/3), func(now time.Time) { c.arrive(now, caller) })
}

func playCrowd(recognised bool) *crowd {
	const demand = 1.3
	c := &crowd{
		random: rand.New(rand.NewPCG(5, 6)), queue: admission.NewQueue(ownTerms(crowdSlots), 1),
		recognised: recognised, waiting: map[string]*crowdCaller{},
	}
	start := time.Unix(1_000_000, 0)
	between := float64(crowdUsual) / (demand * crowdSlots)
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(time.Duration(c.random.ExpFloat64() * between)) {
		caller := &crowdCaller{first: at, ends: at.Add(crowdWaits)}
		c.at(at, func(now time.Time) { c.arrive(now, caller) })
	}
	c.run()
	return c
}

// A target is offered 1.3 times what it can do for half a minute, and refused
// callers come back. Where they are known, those who can still be in time go first:
// far more callers are answered in time, and about as many are answered at all.
func TestCallersWhoCameBackGoBehindThoseInTime(t *testing.T) {
	unknown, known := playCrowd(false), playCrowd(true)
	t.Logf("not known: %d in time, %d late, %d never; known: %d, %d, %d", unknown.inTime, unknown.late, unknown.never, known.inTime, known.late, known.never)
	assert.Assert(t, known.inTime > unknown.inTime*5/4)
	assert.Assert(t, known.inTime+known.late > (unknown.inTime+unknown.late)*95/100)
}
