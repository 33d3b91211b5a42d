package retry

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet plays services whose targets turn work away, on virtual time. Each node
// keeps a ledger, as entry of requests and as owner of its target.
type fleet struct {
	random   *rand.Rand
	terms    Limits
	span     time.Duration
	now      time.Time
	due      queue
	nodes    []*fleetNode
	services []*fleetService
	attempts int
}

type fleetNode struct {
	ledger  *FleetBudget
	service *fleetService
}

// fleetService is a service with what its runs call and how ill its targets are.
type fleetService struct {
	name string
	// shed is the part of arrivals that is turned away.
	shed float64
	// calls is how many calls a run makes to callee.
	calls  int
	callee *fleetService
	nodes  []*fleetNode

	requests, repeats []time.Time
}

// due is what happens at a time, in order.
type due struct {
	at time.Time
	do func()
}

type queue []due

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(due)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.due, due{f.now.Add(d), do}) }

// run plays until nothing is due any more.
func (f *fleet) run() {
	for f.due.Len() > 0 {
		next := heap.Pop(&f.due).(due)
		f.now = next.at
		next.do()
	}
}

// request sends one request for a service to a node and tells whether it was
// served. Byrepeat says whether a repeated run makes it, which the nodes don't know.
func (f *fleet) request(at *fleetNode, s *fleetService, ends time.Time, byRepeat bool, done func(ok bool)) {
	s.requests = append(s.requests, f.now)
	part := at.ledger.CountRequest(f.now, s.name, ends)
	f.offer(at, s, ends, part, 0, byRepeat, done)
}

const mostAttempts = 3

func (f *fleet) offer(at *fleetNode, s *fleetService, ends time.Time, part float64, arrivals int, byRepeat bool, done func(bool)) {
	if arrivals >= mostAttempts || arrivals > 0 && !at.ledger.AllowRetry(f.now, s.name, f.terms) {
		done(false)
		return
	}
	if arrivals > 0 {
		part = 1
	}
	owner := s.nodes[f.random.IntN(len(s.nodes))]
	f.attempts++
	attempt := fmt.Sprint(f.attempts)
	runEnds := minTime(ends, f.now.Add(time.Second))
	if !owner.ledger.BeginRun(f.now, attempt, Run{Route: s.name, RetryProbability: part, Deadline: runEnds}, f.terms) {
		done(false)
		return
	}
	if arrivals > 0 || byRepeat {
		s.repeats = append(s.repeats, f.now)
	}
	end := func(ok bool) {
		owner.ledger.EndRun(f.now, attempt)
		if ok {
			done(true)
			return
		}
		f.offer(at, s, ends, part, arrivals+1, byRepeat, done)
	}
	if f.random.Float64() < s.shed {
		f.after(time.Millisecond, func() { end(false) })
		return
	}
	f.work(owner, s, s.calls, runEnds, arrivals > 0 || byRepeat, end)
}

// work runs a part of the work, then the next call, and so on.
func (f *fleet) work(owner *fleetNode, s *fleetService, calls int, ends time.Time, isRepeat bool, end func(bool)) {
	f.after(time.Duration(5+f.random.IntN(20))*time.Millisecond, func() {
		if calls == 0 {
			end(true)
			return
		}
		callEnds := minTime(ends, f.now.Add(200*time.Millisecond))
		f.request(owner, s.callee, callEnds, isRepeat, func(ok bool) {
			if !ok {
				end(false)
				return
			}
			f.work(owner, s, calls-1, ends, isRepeat, end)
		})
	})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// newFleet makes 2 or 3 services that call the next one 0 to 3 times a run, of
// which some turn up to 0.7 of their arrivals away.
func newFleet(seed uint64) *fleet {
	random := rand.New(rand.NewPCG(seed, 7))
	f := &fleet{random: random, terms: Limits{Ratio: 0.1 + 0.2*random.Float64()}, span: time.Duration(5+random.IntN(11)) * time.Second, now: time.Unix(1_000_000, 0)}
	for i := range 2 + random.IntN(2) {
		s := &fleetService{name: fmt.Sprint("s", i), calls: random.IntN(4)}
		if random.IntN(2) == 0 {
			s.shed = 0.7 * random.Float64()
		}
		for range 2 + random.IntN(7) {
			node := &fleetNode{ledger: NewFleetBudget(f.span), service: s}
			s.nodes = append(s.nodes, node)
			f.nodes = append(f.nodes, node)
		}
		if i > 0 {
			f.services[i-1].callee = s
		}
		f.services = append(f.services, s)
	}
	f.services[len(f.services)-1].calls = 0
	f.terms.Slack = float64(20+random.IntN(60)) / float64(len(f.nodes))
	return f
}

// play sends requests of callers, who wait longer than a run may take.
func (f *fleet) play(length time.Duration) {
	for _, s := range f.services {
		perSecond := 20 + f.random.Float64()*200
		for at := time.Duration(0); at < length; at += time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)) {
			f.after(at, func() {
				f.request(f.nodes[f.random.IntN(len(f.nodes))], s, f.now.Add(2*time.Second), false, func(bool) {})
			})
		}
	}
	f.run()
}

// within counts the times, which are in order, from one on for a span.
func within(times []time.Time, from time.Time, span time.Duration) int {
	before := func(at time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(at) })
	}
	return before(from.Add(span)) - before(from)
}

// worst is the greatest part of the fleet's budget that a service used in a window,
// by the rule that operators set: requests count in that window, the one before or
// the one half a window before, whichever has most.
func (f *fleet) worst(s *fleetService) float64 {
	worst := 0.0
	for i := 0; i < len(s.repeats); i++ {
		from := s.repeats[i]
		requests := max(within(s.requests, from, f.span), within(s.requests, from.Add(-f.span), f.span), within(s.requests, from.Add(-f.span/2), f.span))
		allowed := f.terms.Ratio*float64(requests) + f.terms.Slack*float64(len(f.nodes))
		worst = max(worst, float64(within(s.repeats, from, f.span))/allowed)
	}
	return worst
}

// seeds are those whose chains of calls come closest to the bound, then some more.
var seeds = []uint64{9, 20, 70, 100, 121, 210, 232, 293, 0, 1, 2, 3, 4, 5, 6}

// Targets turn work away, runs of which a call fails fail and are repeated, and
// repeated runs make their calls again. The targets of any deployment with 0 to 3
// calls a run get no more repeats than operators allow, in whatever
// window they are counted; and where much is turned away, the budget is used.
func TestFleetKeepsTheBudgetWithCallsOfRepeatedRuns(t *testing.T) {
	used := 0.0
	for _, seed := range seeds {
		f := newFleet(seed)
		f.play(25 * time.Second)
		for _, s := range f.services {
			part := f.worst(s)
			used = max(used, part)
			assert.Assert(t, part <= 1, "seed %d, service %s of %d: %.3f of the budget", seed, s.name, len(f.services), part)
		}
	}
	assert.Assert(t, used > 0.8, "%.2f of the budget at most", used)
}
