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

// fleet simulates services whose targets shed load, in virtual time. Each node has a
// budget, which it uses as entry node of requests and as owner node of its target.
type fleet struct {
	random   *rand.Rand
	limits   Limits
	window   time.Duration
	now      time.Time
	events   eventQueue
	nodes    []*fleetNode
	services []*fleetService
	attempts int
}

type fleetNode struct {
	budget  *FleetBudget
	service *fleetService
}

// fleetService is a service with the calls of its runs and its rate of shed load.
type fleetService struct {
	name string
	// shedRate is the fraction of arrivals that is shed.
	shedRate float64
	// calls is the number of calls that a run makes to callee.
	calls  int
	callee *fleetService
	nodes  []*fleetNode

	requests, retries []time.Time
}

// event is an action at a point in virtual time.
type event struct {
	at     time.Time
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *fleet) schedule(d time.Duration, action func()) {
	heap.Push(&f.events, event{f.now.Add(d), action})
}

// run processes events until none is left.
func (f *fleet) run() {
	for f.events.Len() > 0 {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.action()
	}
}

// request sends one request for a service to an entry node and calls done with
// whether it was served. fromRetry marks calls of retried runs; nodes can't see it.
func (f *fleet) request(entry *fleetNode, s *fleetService, deadline time.Time, fromRetry bool, done func(ok bool)) {
	s.requests = append(s.requests, f.now)
	retryProbability := entry.budget.CountRequest(f.now, s.name, deadline)
	f.attempt(entry, s, deadline, retryProbability, 0, fromRetry, done)
}

const maxAttempts = 3

func (f *fleet) attempt(entry *fleetNode, s *fleetService, deadline time.Time, retryProbability float64, arrivals int, fromRetry bool, done func(bool)) {
	if arrivals >= maxAttempts || arrivals > 0 && !entry.budget.AllowRetry(f.now, s.name, f.limits) {
		done(false)
		return
	}
	if arrivals > 0 {
		retryProbability = 1
	}
	owner := s.nodes[f.random.IntN(len(s.nodes))]
	f.attempts++
	attempt := fmt.Sprint(f.attempts)
	runDeadline := minTime(deadline, f.now.Add(time.Second))
	if !owner.budget.BeginRun(f.now, attempt, Run{Route: s.name, RetryProbability: retryProbability, Deadline: runDeadline}, f.limits) {
		done(false)
		return
	}
	if arrivals > 0 || fromRetry {
		s.retries = append(s.retries, f.now)
	}
	end := func(ok bool) {
		owner.budget.EndRun(f.now, attempt)
		if ok {
			done(true)
			return
		}
		f.attempt(entry, s, deadline, retryProbability, arrivals+1, fromRetry, done)
	}
	if f.random.Float64() < s.shedRate {
		f.schedule(time.Millisecond, func() { end(false) })
		return
	}
	f.runCalls(owner, s, s.calls, runDeadline, arrivals > 0 || fromRetry, end)
}

// runCalls simulates a run: it works for a random time and makes the next call, until
// all calls are made.
func (f *fleet) runCalls(owner *fleetNode, s *fleetService, calls int, deadline time.Time, isRetry bool, end func(bool)) {
	f.schedule(time.Duration(5+f.random.IntN(20))*time.Millisecond, func() {
		if calls == 0 {
			end(true)
			return
		}
		callDeadline := minTime(deadline, f.now.Add(200*time.Millisecond))
		f.request(owner, s.callee, callDeadline, isRetry, func(ok bool) {
			if !ok {
				end(false)
				return
			}
			f.runCalls(owner, s, calls-1, deadline, isRetry, end)
		})
	})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// newFleet returns a fleet with 2 or 3 services that call the next service 0 to 3
// times per run, some of which shed up to 0.7 of their arrivals.
func newFleet(seed uint64) *fleet {
	random := rand.New(rand.NewPCG(seed, 7))
	f := &fleet{random: random, limits: Limits{Ratio: 0.1 + 0.2*random.Float64()}, window: time.Duration(5+random.IntN(11)) * time.Second, now: time.Unix(1_000_000, 0)}
	for i := range 2 + random.IntN(2) {
		s := &fleetService{name: fmt.Sprint("s", i), calls: random.IntN(4)}
		if random.IntN(2) == 0 {
			s.shedRate = 0.7 * random.Float64()
		}
		for range 2 + random.IntN(7) {
			node := &fleetNode{budget: NewFleetBudget(f.window, time.Time{}), service: s}
			s.nodes = append(s.nodes, node)
			f.nodes = append(f.nodes, node)
		}
		if i > 0 {
			f.services[i-1].callee = s
		}
		f.services = append(f.services, s)
	}
	f.services[len(f.services)-1].calls = 0
	f.limits.Slack = float64(20+random.IntN(60)) / float64(len(f.nodes))
	return f
}

// simulate sends requests of callers, which wait longer than a run may take.
func (f *fleet) simulate(length time.Duration) {
	for _, s := range f.services {
		perSecond := 20 + f.random.Float64()*200
		for at := time.Duration(0); at < length; at += time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)) {
			f.schedule(at, func() {
				f.request(f.nodes[f.random.IntN(len(f.nodes))], s, f.now.Add(2*time.Second), false, func(bool) {})
			})
		}
	}
	f.run()
}

// countWithin counts the times in a window that starts at from. The times are sorted.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	before := func(at time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(at) })
	}
	return before(from.Add(window)) - before(from)
}

// maxUsage returns the largest fraction of the fleet's budget that a service used in
// any window, by the operators' rule: the requests of that window, of the one before
// or of the one half a window before count, whichever has most.
func (f *fleet) maxUsage(s *fleetService) float64 {
	usage := 0.0
	for i := 0; i < len(s.retries); i++ {
		from := s.retries[i]
		requests := max(countWithin(s.requests, from, f.window), countWithin(s.requests, from.Add(-f.window), f.window), countWithin(s.requests, from.Add(-f.window/2), f.window))
		allowed := f.limits.Ratio*float64(requests) + f.limits.Slack*float64(len(f.nodes))
		usage = max(usage, float64(countWithin(s.retries, from, f.window))/allowed)
	}
	return usage
}

// seeds lists the seeds whose call chains come closest to the limit, then some others.
var seeds = []uint64{9, 20, 70, 100, 121, 210, 232, 293, 0, 1, 2, 3, 4, 5, 6}

// Targets shed load, runs with a failed call fail and are retried, and retried runs
// make their calls again. In any deployment with 0 to 3 calls per run, the targets
// must get no more retries than operators allow, in any window. Under heavy load
// shedding the budget must be used.
func TestFleetBudgetHoldsWithCallsOfRetriedRuns(t *testing.T) {
	maxUsed := 0.0
	for _, seed := range seeds {
		f := newFleet(seed)
		f.simulate(25 * time.Second)
		for _, s := range f.services {
			usage := f.maxUsage(s)
			maxUsed = max(maxUsed, usage)
			assert.Assert(t, usage <= 1, "seed %d, service %s of %d: %.3f of the budget", seed, s.name, len(f.services), usage)
		}
	}
	assert.Assert(t, maxUsed > 0.8, "%.2f of the budget at most", maxUsed)
}
