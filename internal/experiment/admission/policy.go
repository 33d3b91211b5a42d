package admission

import (
	"math"
	"slices"
	"time"

	"tamarackquay/internal/admission"
)

// Policy is how a target decides which requests run.
type Policy string

// The policies: the one in use and the baselines that it is measured against.
const (
	// PolicyShares is internal/admission.
	PolicyShares Policy = "shares"
	// PolicyFirstCome serves in order of arrival.
	PolicyFirstCome Policy = "first-come"
	// PolicyFixed gives each customer a fixed number of slots of its own.
	PolicyFixed Policy = "fixed-partition"
)

// Policies are all policies.
var Policies = []Policy{PolicyShares, PolicyFirstCome, PolicyFixed}

// queue is what a target's admission looks like to the experiment.
type queue interface {
	Offer(now time.Time, r admission.Request) (admission.Decision, admission.Changes)
	Release(now time.Time, id string) admission.Changes
	Cancel(id string) bool
	Running() int
	// Eligible is how many waiting requests the policy would let use a free
	// slot, were there one.
	Eligible() int
}

func newQueue(policy Policy, terms admission.Terms, seed uint64) queue {
	switch policy {
	case PolicyFirstCome:
		return newFirstCome(terms.Slots, terms.QueuePerSlot)
	case PolicyFixed:
		return newFixed(terms)
	}
	return admission.NewQueue(terms, seed)
}

// firstCome is first come, first served with a bounded queue.
type firstCome struct {
	slots   int
	bound   int
	running map[string]bool
	waiting []admission.Request
}

func newFirstCome(slots, queuePerSlot int) *firstCome {
	return &firstCome{slots: slots, bound: slots * queuePerSlot, running: map[string]bool{}}
}

func (q *firstCome) Running() int  { return len(q.running) }
func (q *firstCome) Eligible() int { return len(q.waiting) }

func (q *firstCome) Offer(_ time.Time, r admission.Request) (admission.Decision, admission.Changes) {
	switch {
	case len(q.running) < q.slots:
		q.running[r.ID] = true
		return admission.Decision{Verdict: admission.Admitted}, admission.Changes{Started: []admission.Request{r}}
	case r.NoWait:
		return admission.Decision{Verdict: admission.Refused, Reason: admission.ReasonBusy}, admission.Changes{}
	case len(q.waiting) >= q.bound:
		return admission.Decision{Verdict: admission.Refused, Reason: admission.ReasonQueueFull}, admission.Changes{}
	}
	q.waiting = append(q.waiting, r)
	return admission.Decision{Verdict: admission.Queued}, admission.Changes{}
}

func (q *firstCome) Release(_ time.Time, id string) admission.Changes {
	delete(q.running, id)
	if len(q.waiting) == 0 || len(q.running) >= q.slots {
		return admission.Changes{}
	}
	next := q.waiting[0]
	q.waiting = q.waiting[1:]
	q.running[next.ID] = true
	return admission.Changes{Started: []admission.Request{next}}
}

func (q *firstCome) Cancel(id string) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(r admission.Request) bool { return r.ID == id })
	return len(q.waiting) < before
}

// fixed gives each customer slots that no other may use.
type fixed struct {
	parts map[string]*firstCome
	owner map[string]*firstCome
}

// newFixed divides the slots by largest remainder.
func newFixed(terms admission.Terms) *fixed {
	shares, slots := terms.Shares, terms.Slots
	q := &fixed{parts: map[string]*firstCome{}, owner: map[string]*firstCome{}}
	names := sortedNames(shares)
	left := slots
	for _, name := range names {
		whole := admission.FloorSlots(shares[name].Guaranteed, slots)
		q.parts[name] = newFirstCome(whole, terms.QueuePerSlot)
		left -= whole
	}
	remainder := func(name string) float64 {
		_, fraction := math.Modf(shares[name].Guaranteed * float64(slots))
		return fraction
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return int(math.Copysign(1, remainder(b)-remainder(a)))
	})
	for _, name := range names[:min(left, len(names))] {
		q.parts[name] = newFirstCome(q.parts[name].slots+1, terms.QueuePerSlot)
	}
	return q
}

func (q *fixed) Offer(now time.Time, r admission.Request) (admission.Decision, admission.Changes) {
	part := q.parts[r.Customer]
	decision, changes := part.Offer(now, r)
	if decision.Verdict != admission.Refused {
		q.owner[r.ID] = part
	}
	return decision, changes
}

func (q *fixed) Release(now time.Time, id string) admission.Changes {
	part := q.owner[id]
	delete(q.owner, id)
	return part.Release(now, id)
}

func (q *fixed) Cancel(id string) bool {
	part := q.owner[id]
	if part == nil || !part.Cancel(id) {
		return false
	}
	delete(q.owner, id)
	return true
}

func (q *fixed) Running() int { return q.sum((*firstCome).Running) }

// Eligible counts every waiting request: that a slot is kept from it is the
// fault to be measured.
func (q *fixed) Eligible() int { return q.sum((*firstCome).Eligible) }

func (q *fixed) sum(of func(*firstCome) int) int {
	total := 0
	for _, part := range q.parts {
		total += of(part)
	}
	return total
}
