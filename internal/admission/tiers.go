package admission

import "container/heap"

// Heaps of customers with eligible requests. A free slot goes to a customer that lacks a
// whole guaranteed slot, then to one that lacks its fractional slot; otherwise it is
// borrowed.
const (
	heapGuaranteed = iota
	heapFraction
	heapBorrowed
	heapBorrowedLong
	heapCount
)

const notInHeap = -1

// customerHeap orders customers by a key that changes only with events of the customer
// itself, so that one event costs O(log customers).
type customerHeap struct {
	kind  int
	items []*customer
}

var _ heap.Interface = (*customerHeap)(nil)

func (h *customerHeap) key(c *customer) float64 {
	switch h.kind {
	case heapGuaranteed:
		return float64(c.held) / c.guaranteed
	case heapFraction:
		return c.fractionPass
	}
	return c.borrowedPass
}

func (h *customerHeap) Len() int { return len(h.items) }

func (h *customerHeap) Less(i, j int) bool { return h.before(h.items[i], h.items[j]) }

// before reports whether a is served before b.
func (h *customerHeap) before(a, b *customer) bool {
	if ka, kb := h.key(a), h.key(b); ka != kb {
		return ka < kb
	}
	return a.name < b.name
}

func (h *customerHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].position[h.kind] = i
	h.items[j].position[h.kind] = j
}

func (h *customerHeap) Push(x any) {
	c := x.(*customer)
	c.position[h.kind] = len(h.items)
	h.items = append(h.items, c)
}

func (h *customerHeap) Pop() any {
	last := len(h.items) - 1
	c := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	c.position[h.kind] = notInHeap
	return c
}

func (h *customerHeap) top() *customer {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// update adds the customer to the heap, moves it to its new position or removes it.
func (h *customerHeap) update(c *customer, in bool) {
	position := c.position[h.kind]
	switch {
	case in && position == notInHeap:
		heap.Push(h, c)
	case in:
		heap.Fix(h, position)
	case position != notInHeap:
		heap.Remove(h, position)
	}
}

// tiers holds all heaps of one target.
type tiers struct {
	heaps [heapCount]customerHeap
	// fractionVirtualTime and borrowedVirtualTime are the virtual times from which a
	// customer starts when it begins to wait, so that it accumulates no credit while
	// idle.
	fractionVirtualTime float64
	borrowedVirtualTime float64
}

func newTiers() tiers {
	var t tiers
	for i := range t.heaps {
		t.heaps[i].kind = i
	}
	return t
}

// update puts the customer into the heaps that match its held slots and waiting
// requests.
func (t *tiers) update(c *customer) {
	longOK, borrowLong := c.canStartLong()
	eligible := c.held < c.limit && (c.short.count > 0 || longOK)
	tier := c.tier()
	borrowed := tier == heapBorrowed
	t.heaps[heapGuaranteed].update(c, eligible && tier == heapGuaranteed)
	t.heaps[heapFraction].update(c, eligible && tier == heapFraction)
	t.heaps[heapBorrowed].update(c, eligible && borrowed && (c.short.count > 0 || longOK && !borrowLong))
	t.heaps[heapBorrowedLong].update(c, eligible && borrowed && longOK && borrowLong)
}

// next returns the customer that gets the next free slot, or nil, and the heap in which
// it was found.
func (t *tiers) next(mayBorrowLong bool) (*customer, int) {
	if c := t.heaps[heapGuaranteed].top(); c != nil {
		return c, heapGuaranteed
	}
	if c := t.heaps[heapFraction].top(); c != nil {
		return c, heapFraction
	}
	short := t.heaps[heapBorrowed].top()
	if !mayBorrowLong {
		return short, heapBorrowed
	}
	long := t.heaps[heapBorrowedLong].top()
	if short == nil || long != nil && long.borrowedPass < short.borrowedPass {
		return long, heapBorrowedLong
	}
	return short, heapBorrowed
}

// beginWait sets the virtual times of a customer that begins to wait.
func (t *tiers) beginWait(c *customer) {
	c.fractionPass = max(c.fractionPass, t.fractionVirtualTime)
	c.borrowedPass = max(c.borrowedPass, t.borrowedVirtualTime)
}

// charge advances virtual time for a slot that the customer got from the heap. A
// fractional slot is charged when it is released, for the exact time it was held.
func (t *tiers) charge(c *customer, from int, hold float64) {
	switch from {
	case heapFraction:
		t.fractionVirtualTime = max(t.fractionVirtualTime, c.fractionPass)
	case heapBorrowed, heapBorrowedLong:
		t.borrowedVirtualTime = max(t.borrowedVirtualTime, c.borrowedPass)
		c.borrowedPass += hold / c.weight()
	}
}
