package admission

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// maxShortService bounds the service time of short requests in the model, and so the
// time until a borrowed slot is returned.
const maxShortService = 500 * time.Millisecond

// model drives a queue in virtual time and tracks all requests itself, to check every
// guarantee after every event.
type model struct {
	t     *rapid.T
	q     *Queue
	now   time.Time
	terms Terms
	names []string

	endsAt       map[string]time.Time
	running      map[string]Request
	waiting      map[string]Request
	ended        map[string]int
	offered      int
	lackingSince map[string]time.Time
	// lastSeen is the time of the most recent call of each customer and level.
	lastSeen map[string]map[int]time.Time
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Unix(1_000_000, 0), endsAt: map[string]time.Time{}, running: map[string]Request{},
		waiting: map[string]Request{}, ended: map[string]int{}, lackingSince: map[string]time.Time{},
		lastSeen: map[string]map[int]time.Time{},
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "customers") {
		m.names = append(m.names, fmt.Sprintf("customer-%d", i))
	}
	m.terms = m.drawTerms()
	m.q = NewQueue(m.terms, 1)
	return m
}

func (m *model) drawTerms() Terms {
	terms := Terms{
		Slots: rapid.IntRange(1, 18).Draw(m.t, "slots"), Shares: map[string]Share{},
		QueuePerSlot:    rapid.IntRange(1, 4).Draw(m.t, "queue"),
		LongBorrowLimit: float64(rapid.IntRange(0, 2).Draw(m.t, "long borrow limit")) / 4,
	}
	left := 20
	for _, name := range m.names {
		share := rapid.IntRange(0, left).Draw(m.t, "share")
		left -= share
		limit := rapid.IntRange(share, 20).Draw(m.t, "limit")
		terms.Shares[name] = Share{Guaranteed: float64(share) / 20, Limit: float64(limit) / 20}
	}
	return terms
}

func (m *model) guaranteed(name string) float64 {
	return m.terms.Shares[name].Guaranteed * float64(m.q.Slots())
}

func (m *model) limit(name string) int {
	return FloorSlots(m.terms.Shares[name].Limit, m.terms.Slots)
}

func (m *model) held(name string) (all, long int) {
	for _, r := range m.running {
		if r.Customer == name {
			all++
			if r.Long {
				long++
			}
		}
	}
	return all, long
}

func (m *model) ownSlots(name string) int {
	return int(math.Ceil(m.guaranteed(name) - roundingTolerance))
}

func (m *model) borrowedLong() int {
	total := 0
	for _, name := range m.names {
		_, long := m.held(name)
		total += max(0, long-m.ownSlots(name))
	}
	return total
}

func (m *model) borrowedLongLimit() int {
	claimed := 0.0
	for _, share := range m.terms.Shares {
		claimed += share.Guaranteed
	}
	return FloorSlots(m.terms.LongBorrowLimit, m.q.Slots()) + FloorSlots(1-claimed, m.q.Slots())
}

// reserved returns how many slots a customer leaves free for deeper calls of its own
// cycles that were seen recently.
func (m *model) reserved(name string, level int) int {
	deepest := level
	for deeper := level + 1; deeper <= MaxDepth; deeper++ {
		seen, ok := m.lastSeen[name][deeper]
		if ok && m.now.Sub(seen) <= revisitWindow {
			deepest = deeper
		}
	}
	return min(deepest-level, m.q.Slots()/2)
}

// eligible reports whether a waiting request may use a free slot.
func (m *model) eligible(r Request) bool {
	held, long := m.held(r.Customer)
	if m.q.Slots()-len(m.running) <= m.reserved(r.Customer, r.Revisits) {
		return false
	}
	if held >= m.limit(r.Customer) || !r.Deadline.After(m.now) {
		return false
	}
	return !r.Long || long < m.ownSlots(r.Customer) || m.borrowedLong() < m.borrowedLongLimit()
}

// lacksSlot reports whether the customer waits for a whole guaranteed slot.
func (m *model) lacksSlot(name string) bool {
	held, _ := m.held(name)
	if float64(held+1) > m.guaranteed(name)+roundingTolerance {
		return false
	}
	for _, r := range m.waiting {
		if r.Customer == name && m.eligible(r) {
			return true
		}
	}
	return false
}

func (m *model) start(r Request) {
	held, _ := m.held(r.Customer)
	// Running requests are never interrupted, so after a limit has been lowered no
	// request may start until it is met again.
	assert.Assert(m.t, m.eligible(r), "%+v started; %d held, limit %d; %d of %d slots borrowed by long requests", r, held, m.limit(r.Customer), m.borrowedLong(), m.borrowedLongLimit())
	assert.Assert(m.t, len(m.running) < m.q.Slots())
	if float64(held) >= m.guaranteed(r.Customer) {
		for _, name := range m.names {
			assert.Assert(m.t, name == r.Customer || !m.lacksSlot(name),
				"%s got a borrowed slot while %s lacks a guaranteed one", r.Customer, name)
		}
	}
	for _, other := range m.waiting {
		if other.Customer == r.Customer && m.eligible(other) {
			assert.Assert(m.t, bucketOf(&r) <= bucketOf(&other), "%+v started before %+v", r, other)
		}
	}
	m.running[r.ID] = r
	service := rapid.IntRange(1, int(maxShortService/time.Millisecond)).Draw(m.t, "service")
	if r.Long {
		service *= 100
	}
	m.endsAt[r.ID] = m.now.Add(time.Duration(service) * time.Millisecond)
}

func (m *model) finish(id string) {
	m.ended[id]++
	assert.Assert(m.t, m.ended[id] == 1, "%s ended twice", id)
	delete(m.waiting, id)
	delete(m.running, id)
	delete(m.endsAt, id)
}

func (m *model) apply(changes Changes) {
	for _, d := range changes.Dropped {
		_, waited := m.waiting[d.Request.ID]
		assert.Assert(m.t, waited, "%s was dropped but was not waiting", d.Request.ID)
		m.finish(d.Request.ID)
	}
	for _, r := range changes.Started {
		_, waited := m.waiting[r.ID]
		assert.Assert(m.t, waited, "%s started but was not waiting", r.ID)
		delete(m.waiting, r.ID)
		m.start(r)
	}
}

func (m *model) offer() {
	r := Request{
		ID: fmt.Sprintf("r%d", m.offered), Customer: rapid.SampledFrom(m.names).Draw(m.t, "customer"),
		Rank: rapid.IntRange(0, 2).Draw(m.t, "rank"), Depth: rapid.IntRange(0, 2).Draw(m.t, "depth"),
		Long:     rapid.IntRange(0, 9).Draw(m.t, "long") == 0,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(m.t, "deadline")) * time.Millisecond),
	}
	m.offered++
	if rapid.IntRange(0, 19).Draw(m.t, "cycle") == 0 {
		r.Revisits = 1 + r.Depth
		if m.lastSeen[r.Customer] == nil {
			m.lastSeen[r.Customer] = map[int]time.Time{}
		}
		m.lastSeen[r.Customer][r.Revisits] = m.now
	}
	decision, changes := m.q.Offer(m.now, r)
	if decision.Verdict == Refused {
		m.ended[r.ID]++
	} else {
		m.waiting[r.ID] = r
	}
	m.apply(changes)
}

// advance moves time forward; requests that end in between release their slots.
func (m *model) advance(d time.Duration) {
	until := m.now.Add(d)
	for {
		next, at := "", until
		for id, end := range m.endsAt {
			if end.Before(at) || end.Equal(at) && id < next {
				next, at = id, end
			}
		}
		m.now = at
		if next == "" {
			return
		}
		m.finish(next)
		m.apply(m.q.Release(m.now, next))
		m.check()
	}
}

func (m *model) cancel() {
	if id, ok := smallestID(m.waiting); ok {
		assert.Assert(m.t, m.q.Cancel(id))
		m.finish(id)
	}
}

// smallestID returns the smallest ID, so that every run picks the same request.
func smallestID(requests map[string]Request) (string, bool) {
	if len(requests) == 0 {
		return "", false
	}
	return slices.Min(slices.Collect(maps.Keys(requests))), true
}

func (m *model) configure() {
	m.terms = m.drawTerms()
	changes := m.q.Configure(m.now, m.terms)
	m.lackingSince = map[string]time.Time{}
	m.apply(changes)
}

// shed simulates that the target refuses a request which the node has admitted.
func (m *model) shed() {
	if id, ok := smallestID(m.running); ok {
		m.apply(m.q.RecordShed(m.now))
		m.finish(id)
		m.apply(m.q.Release(m.now, id))
		m.lackingSince = map[string]time.Time{}
	}
}

func (m *model) check() {
	assert.Equal(m.t, m.q.Running(), len(m.running))
	assert.Equal(m.t, m.q.Waiting(), len(m.waiting))
	if len(m.running) < m.q.Slots() {
		for _, r := range m.waiting {
			assert.Assert(m.t, !m.eligible(r), "%d of %d slots are idle while %+v waits", m.q.Slots()-len(m.running), m.q.Slots(), r)
		}
	}
	for _, name := range m.names {
		if !m.lacksSlot(name) {
			delete(m.lackingSince, name)
		} else if _, known := m.lackingSince[name]; !known {
			m.lackingSince[name] = m.now
		}
	}
	for name, since := range m.lackingSince {
		if m.now.Sub(since) > maxShortService {
			m.checkBorrowedReturned(name)
		}
	}
}

// checkBorrowedReturned checks the bound on borrowing: once a customer has lacked a
// whole slot for the longest service time of a short request, no other customer runs
// short requests on borrowed slots. Long requests keep theirs, within their own bound.
func (m *model) checkBorrowedReturned(lacking string) {
	for _, name := range m.names {
		held, long := m.held(name)
		own := m.ownSlots(name)
		assert.Assert(m.t, held-own <= max(0, long-own), "%s holds %d slots (%d long) with %.2f guaranteed, %s has lacked one for over %s",
			name, held, long, m.guaranteed(name), lacking, maxShortService)
	}
}

// Checks the guarantees of admission under random customers, arrivals, service times,
// configuration changes, sheds and canceled requests: guaranteed slots are returned with
// the next free slots, no slot is idle while a request could use it, limits hold, the
// order within a contract holds, no request starts past its deadline, and each request
// ends exactly once.
func TestGuaranteesHoldForRandomContracts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			switch event := rapid.IntRange(0, 99).Draw(t, "event"); {
			case event < 60:
				m.offer()
			case event < 90:
				m.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
			case event < 95:
				m.cancel()
			case event < 97:
				m.shed()
			default:
				m.configure()
			}
			m.check()
			m.apply(m.q.Tick(m.now))
			m.check()
		}
		m.advance(time.Hour)
		for id := range m.waiting {
			assert.Assert(t, m.q.Cancel(id))
			m.finish(id)
		}
		assert.Equal(t, len(m.ended), m.offered)
	})
}
