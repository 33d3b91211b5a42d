package shortage

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/admission"
	"tamarackquay/internal/gate"
)

// The simulated load: callers of one service through several entry nodes. A caller's requests
// arrive at the same entry node. Arrivals exceed the capacity for some time from simBegin on.
const (
	simTargets, simSlots, simEntries = 12, 6, 12
	simRetries, simFullTargets       = 2, 3
	simHold, simNetwork              = 200 * time.Millisecond, time.Millisecond
	simLatency, simTimeout           = 600 * time.Millisecond, 4 * time.Second
	simBegin, simLast                = 2 * time.Second, 11 * time.Second
	simDisturbed, simDisturbedDemand = 3500 * time.Millisecond, 1.75
)

// simTotals counts callers by their end and what they cost, over several runs.
type simTotals struct {
	callers, inTime, late, attempts, refusedAtOnce int
	lost                                           [3]int
	// lastRefusal is the longest time for which requests were refused at once after all
	// slots were last in use.
	lastRefusal time.Duration
}

func (c *simTotals) lostInAll() int { return c.lost[0] + c.lost[1] + c.lost[2] }

// value is what the responses are worth to the callers.
func (c *simTotals) value() float64 { return float64(c.inTime) + 0.5*float64(c.late) }

// simEntry is an entry node: what it knows of targets, how far its clock has been stepped, and
// when it last sent a probe by the time of the simulation.
type simEntry struct {
	tracker Tracker
	reports [simTargets]struct {
		at         time.Time
		load, sent int
	}
	clock  time.Duration
	probed time.Time
}

// Now returns the time by the clock of the node.
func (e *simEntry) Now() time.Time { return time.Now().Add(e.clock) }

type simCaller struct {
	*simEntry
	priority        int
	random          *rand.Rand
	first, deadline time.Time
}

// rankAndSlack returns the rank of a request, and how long it may wait to be in time.
func (c *simCaller) rankAndSlack() (int, time.Duration) {
	if slack := simLatency - time.Since(c.first) - simHold*3/2; slack > 0 {
		return 2 * c.priority, slack
	}
	return 2*c.priority + 1, 0
}

// simulation is one run in virtual time. Without retryAfter, the entry nodes serve as without
// the package. mu guards what follows it.
type simulation struct {
	t          *testing.T
	retryAfter func(left time.Duration, random *rand.Rand) time.Duration
	gates      [simTargets]*gate.Gate

	mu      sync.Mutex
	entries [simEntries]simEntry
	running int
	// fullAt is when all slots were last in use, refusedAt when a request was last refused
	// at once.
	fullAt, refusedAt time.Time
	*simTotals
}

// run runs the callers at a demand, a multiple of the capacity. disturb changes the entry nodes
// at simDisturbed.
func (s *simulation) run(seed uint64, demand float64, length time.Duration, disturb func(e *simEntry)) {
	for i := range s.gates {
		s.gates[i] = gate.New(&simEntry{}, seed+uint64(i))
		s.gates[i].Configure(admission.Terms{Slots: simSlots, QueuePerSlot: 4, Shares: map[string]admission.Share{"": {Guaranteed: 1, Limit: 1}}})
	}
	time.AfterFunc(simDisturbed, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for i := range s.entries {
			disturb(&s.entries[i])
		}
	})
	var callers sync.WaitGroup
	arrivals := rand.New(rand.NewPCG(seed, 2))
	// The speeds of targets are 0.7 to 1.7, 1.2 on average.
	const perSecond = 1.2 * simTargets * simSlots * float64(time.Second) / float64(simHold)
	for began := time.Now(); time.Since(began) < simLast; s.callers++ {
		factor := 0.7
		if at := time.Since(began); at >= simBegin && at < simBegin+length {
			factor = demand
		}
		time.Sleep(time.Duration(arrivals.ExpFloat64() / (factor * perSecond) * float64(time.Second)))
		c := &simCaller{
			simEntry: &s.entries[arrivals.IntN(simEntries)], priority: []int{0, 0, 0, 1, 1, 1, 1, 2, 2, 2}[arrivals.IntN(10)],
			random: rand.New(rand.NewPCG(seed, arrivals.Uint64())), first: time.Now(), deadline: time.Now().Add(simTimeout),
		}
		callers.Go(func() { s.call(c) })
	}
	callers.Wait()
}

// call sends a caller's request until it has a response, and counts how it ended.
func (s *simulation) call(c *simCaller) {
	ended := &s.lost[c.priority]
	for try := range simRetries + 1 {
		after := s.forward(c, try > 0)
		left := time.Until(c.deadline)
		if after == 0 && left >= 0 {
			ended = &s.late
			if time.Since(c.first) <= simLatency {
				ended = &s.inTime
			}
		}
		if after == 0 || left <= 0 {
			break
		}
		time.Sleep(min(after, left/callerPart) + 2*simNetwork)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	*ended++
}

// forward sends a request to one target after the other. If it is refused, it returns its
// Retry-After.
func (s *simulation) forward(c *simCaller, isRetry bool) time.Duration {
	retryAfter := time.Hour
	var tried []int
	for len(tried) < simFullTargets && (len(tried) == 0 || time.Since(c.first) < simLatency) {
		s.mu.Lock()
		if !isRetry && s.stops(c, len(tried)) {
			s.mu.Unlock()
			break
		}
		tried = append(tried, c.choose(tried))
		s.mu.Unlock()
		after := s.attempt(c, tried)
		if after == 0 {
			return 0
		}
		retryAfter = min(retryAfter, after)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.short(c.simEntry) {
		return s.retryAfter(time.Until(c.deadline), c.random)
	}
	return retryAfter
}

// stops reports whether the next attempt is not made because of a shortage.
func (s *simulation) stops(c *simCaller, attempts int) bool {
	rank, _ := c.rankAndSlack()
	switch {
	case !s.short(c.simEntry):
		return false
	case attempts > 0:
		return !c.tracker.TryAnother(c.Now(), rank)
	case c.tracker.Refuse(c.Now(), rank):
		assert.Check(s.t, time.Since(c.probed) < noticed, "no probe in 250 ms")
		s.refusedAtOnce++
		s.refusedAt = time.Now()
		return true
	case c.tracker.Admission(rank) < excludedBelow:
		c.probed = time.Now()
	}
	return false
}

// short reports whether the entry node acts on a shortage: it sees one, and has no recent
// report of a free slot.
func (s *simulation) short(e *simEntry) bool {
	if _, short := e.tracker.Lasted(e.Now()); !short || s.retryAfter == nil {
		return false
	}
	for _, known := range e.reports {
		if e.Now().Sub(known.at).Abs() < 200*time.Millisecond && known.load+known.sent < simSlots {
			return false
		}
	}
	return true
}

// choose returns the target that is believed to be the least loaded.
func (c *simCaller) choose(tried []int) int {
	best, lowest := -1, math.Inf(1)
	for i, known := range c.reports {
		cost := float64(known.load)*math.Exp2(-c.Now().Sub(known.at).Abs().Seconds()) + float64(known.sent) + c.random.Float64()
		if cost < lowest && !slices.Contains(tried, i) {
			best, lowest = i, cost
		}
	}
	c.reports[best].sent++
	return best
}

// attempt sends a request to the last of the tried targets, and reports the outcome to the entry
// node. If the target is full, it returns its Retry-After.
func (s *simulation) attempt(c *simCaller, tried []int) (retryAfter time.Duration) {
	i := tried[len(tried)-1]
	time.Sleep(simNetwork)
	rank, wait := c.rankAndSlack()
	if wait == 0 || len(tried) > 2 {
		wait = max(wait, simLatency/2)
	}
	wait = max(min(wait, time.Until(c.deadline)-simHold*3/2), 0) + 5*time.Millisecond
	r := admission.Request{ID: strconv.FormatUint(c.random.Uint64(), 10), Rank: rank, Deadline: time.Now().Add(wait)}
	refusal := s.gates[i].Acquire(s.t.Context(), r)
	if refusal == nil {
		s.addRunning(1)
		time.Sleep(time.Duration(float64(simHold) / (0.7 + float64(i%6)/5) * math.Exp(0.5*c.random.NormFloat64()-0.125)))
		s.addRunning(-1)
	}
	running, waiting := s.gates[i].Counts()
	record := (*Tracker).RecordFurther
	if len(tried) == 1 {
		record = (*Tracker).RecordFirst
	}
	if refusal == nil {
		s.gates[i].Release(r.ID)
	} else {
		retryAfter = max(refusal.RetryAfter, 1)
	}
	time.Sleep(simNetwork)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
	known := &c.reports[i]
	known.at, known.load, known.sent = c.Now(), running+waiting, 0
	record(&c.tracker, c.Now(), rank, refusal == nil)
	return retryAfter
}

// addRunning changes the number of slots in use.
func (s *simulation) addRunning(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running += n; max(s.running, s.running-n) == simTargets*simSlots {
		s.fullAt = time.Now()
	}
}

// More requests arrive than the service can process, for three seconds and in a burst. With the
// part, more callers get a response than without it, and than if refused callers retry within
// 300 ms; the responses are worth as much or more, and cost fewer attempts. In the middle of a
// shortage, all entry nodes restart, or their clocks step. They must not shut out their callers:
// while requests are refused at once, a probe is sent in each 250 ms (stops checks it), and once
// slots are free again, the last request is refused at once within the time of a probe and of the
// response to it. Nor must they send more attempts than without the part.
func TestMoreCallersGetAResponseInAShortage(t *testing.T) {
	undisturbed := func(*simEntry) {}
	soon := func(_ time.Duration, random *rand.Rand) time.Duration {
		return time.Duration((0.1 + 0.2*random.Float64()) * float64(time.Second))
	}
	for demand, length := range map[float64]time.Duration{1.5: 3 * time.Second, 1.75: 3 * time.Second, 2: 3 * time.Second, 10: 200 * time.Millisecond} {
		run := func(name string, retryAfter func(time.Duration, *rand.Rand) time.Duration, disturb func(e *simEntry)) *simTotals {
			totals := &simTotals{}
			for seed := range uint64(2) {
				s := &simulation{retryAfter: retryAfter, simTotals: totals}
				synctest.Test(t, func(t *testing.T) {
					s.t = t
					s.run(seed, demand, length, disturb)
				})
				totals.lastRefusal = max(totals.lastRefusal, s.refusedAt.Sub(s.fullAt))
			}
			t.Logf("demand %.2f, %s: %d lost, %+v, value %.0f", demand, name, totals.lostInAll(), *totals, totals.value())
			assert.Equal(t, totals.inTime+totals.late+totals.lostInAll(), totals.callers, "each caller is counted once")
			return totals
		}
		current, early, part := run("without", nil, undisturbed), run("retries within 300 ms", soon, undisturbed), run("part", RetryAfter, undisturbed)
		assert.Check(t, part.lostInAll() < current.lostInAll()*97/100)
		assert.Check(t, part.lostInAll() < early.lostInAll()*85/100)
		assert.Check(t, part.value() > 0.995*current.value() && part.value() > early.value())
		assert.Check(t, part.attempts < current.attempts*95/100)
		assert.Check(t, part.lost[0] <= part.lost[1] && part.lost[1] <= part.lost[2], "the most urgent come first: %v", part.lost)
		if demand != simDisturbedDemand {
			continue
		}
		for name, disturb := range map[string]func(e *simEntry){
			"restart":      func(e *simEntry) { *e = simEntry{} },
			"step back":    func(e *simEntry) { e.clock = -time.Minute },
			"step forward": func(e *simEntry) { e.clock = time.Minute },
		} {
			s := run(name, RetryAfter, disturb)
			assert.Check(t, s.refusedAtOnce > 100 && s.lastRefusal < noticed+simLatency, "%s: %+v", name, s)
			assert.Check(t, s.attempts < current.attempts && s.value() > 0.99*part.value(), name)
		}
	}
}
