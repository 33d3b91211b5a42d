package admission

import (
	"math"
	"slices"
	"time"

	"tamarackquay/internal/admission"
)

// Policy determines how a target decides which requests run.
type Policy string

// The policies: the one in use, and the baselines that it is compared with.
const (
	// PolicyShares is the policy of internal/admission.
	PolicyShares Policy = "shares"
	// PolicyFirstCome serves in order of arrival.
	PolicyFirstCome Policy = "first-come"
	// PolicyFixed reserves a fixed number of slots for each customer.
	PolicyFixed Policy = "fixed-partition"
)

// Policies lists all policies.
var Policies = []Policy{PolicyShares, PolicyFirstCome, PolicyFixed}

// queue is the admission queue of a target.
type queue interface {
	Offer(now time.Time, r admission.Request) (admission.Decision, admission.Changes)
	Release(now time.Time, id string) admission.Changes
	Cancel(id string) bool
	Running() int
	// Eligible returns the number of waiting requests to which the policy would give
	// a free slot if there was one.
	Eligible() int
}

func newQueue(policy Policy, terms admission.Terms, seed uint64) queue {
	switch policy {
	case PolicyFirstCome:
		return newFirstCome(terms.Slots, terms.QueuePerSlot)
	case PolicyFixed:
		return newFixedPartition(terms)
	}
	return admission.NewQueue(terms, seed)
}

// firstCome serves requests in order of arrival, with a bounded queue.
type firstCome struct {
	slots    int
	maxQueue int
	running  map[string]bool
	waiting  []admission.Request
}

func newFirstCome(slots, queuePerSlot int) *firstCome {
	return &firstCome{slots: slots, maxQueue: slots * queuePerSlot, running: map[string]bool{}}
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
	case len(q.waiting) >= q.maxQueue:
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

// fixedPartition gives each customer slots that no other customer may use.
type fixedPartition struct {
	partitions  map[string]*firstCome
	partitionOf map[string]*firstCome
}

// newFixedPartition divides the slots by the largest remainder method.
func newFixedPartition(terms admission.Terms) *fixedPartition {
	shares, slots := terms.Shares, terms.Slots
	q := &fixedPartition{partitions: map[string]*firstCome{}, partitionOf: map[string]*firstCome{}}
	names := sortedNames(shares)
	remaining := slots
	for _, name := range names {
		floor := admission.FloorSlots(shares[name].Guaranteed, slots)
		q.partitions[name] = newFirstCome(floor, terms.QueuePerSlot)
		remaining -= floor
	}
	remainder := func(name string) float64 {
		_, fraction := math.Modf(shares[name].Guaranteed * float64(slots))
		return fraction
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return int(math.Copysign(1, remainder(b)-remainder(a)))
	})
	for _, name := range names[:min(remaining, len(names))] {
		q.partitions[name] = newFirstCome(q.partitions[name].slots+1, terms.QueuePerSlot)
	}
	return q
}

func (q *fixedPartition) Offer(now time.Time, r admission.Request) (admission.Decision, admission.Changes) {
	partition := q.partitions[r.Customer]
	decision, changes := partition.Offer(now, r)
	if decision.Verdict != admission.Refused {
		q.partitionOf[r.ID] = partition
	}
	return decision, changes
}

func (q *fixedPartition) Release(now time.Time, id string) admission.Changes {
	partition := q.partitionOf[id]
	delete(q.partitionOf, id)
	return partition.Release(now, id)
}

func (q *fixedPartition) Cancel(id string) bool {
	partition := q.partitionOf[id]
	if partition == nil || !partition.Cancel(id) {
		return false
	}
	delete(q.partitionOf, id)
	return true
}

func (q *fixedPartition) Running() int { return q.sum((*firstCome).Running) }

// Eligible counts every waiting request: slots that the partition keeps idle while
// requests wait are the fault to be measured.
func (q *fixedPartition) Eligible() int { return q.sum((*firstCome).Eligible) }

func (q *fixedPartition) sum(count func(*firstCome) int) int {
	total := 0
	for _, partition := range q.partitions {
		total += count(partition)
	}
	return total
}
