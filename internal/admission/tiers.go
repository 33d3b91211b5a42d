package admission

import "container/heap"

// The heaps that order customers with eligible requests. A free slot goes to a
// customer that lacks a whole guaranteed slot, then to one that lacks a part of
// a slot, then it is lent.
const (
	heapBelow = iota
	heapFraction
	heapLent
	heapLentLong
	heapCount
)

const notInHeap = -1

// customerHeap is a heap of customers by a key that changes only with events of
// the customer itself, so that one event costs O(log customers).
type customerHeap struct {
	kind  int
	items []*customer
}

var _ heap.Interface = (*customerHeap)(nil)

func (h *customerHeap) key(c *customer) float64 {
	switch h.kind {
	case heapBelow:
		return float64(c.held) / c.guaranteed
	case heapFraction:
		return c.fractionPass
	}
	return c.lentPass
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

// set puts the customer into the heap, moves it to its place or takes it out.
func (h *customerHeap) set(c *customer, in bool) {
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
	// fractionTime and lentTime are the virtual times that a customer starts
	// from when it begins to wait, so that it saves up nothing while idle.
	fractionTime float64
	lentTime     float64
}

func newTiers() tiers {
	var t tiers
	for i := range t.heaps {
		t.heaps[i].kind = i
	}
	return t
}

// place puts the customer where its held slots and waiting requests belong.
func (t *tiers) place(c *customer) {
	longOK, lentLong := c.mayRunLong()
	eligible := c.held < c.limit && (c.short.count > 0 || longOK)
	tier := c.tier()
	lent := tier == heapLent
	t.heaps[heapBelow].set(c, eligible && tier == heapBelow)
	t.heaps[heapFraction].set(c, eligible && tier == heapFraction)
	t.heaps[heapLent].set(c, eligible && lent && (c.short.count > 0 || longOK && !lentLong))
	t.heaps[heapLentLong].set(c, eligible && lent && longOK && lentLong)
}

// next returns the customer that the next free slot goes to, and the heap that
// it was found in, or nil.
func (t *tiers) next(lentLongLeft bool) (*customer, int) {
	if c := t.heaps[heapBelow].top(); c != nil {
		return c, heapBelow
	}
	if c := t.heaps[heapFraction].top(); c != nil {
		return c, heapFraction
	}
	short := t.heaps[heapLent].top()
	if !lentLongLeft {
		return short, heapLent
	}
	long := t.heaps[heapLentLong].top()
	if short == nil || long != nil && long.lentPass < short.lentPass {
		return long, heapLentLong
	}
	return short, heapLent
}

// join sets the virtual times of a customer that begins to wait.
func (t *tiers) join(c *customer) {
	c.fractionPass = max(c.fractionPass, t.fractionTime)
	c.lentPass = max(c.lentPass, t.lentTime)
}

// charge advances virtual time by a slot that the customer got from the heap.
// A fractional slot is charged when it is given back, by its exact time.
func (t *tiers) charge(c *customer, from int, hold float64) {
	switch from {
	case heapFraction:
		t.fractionTime = max(t.fractionTime, c.fractionPass)
	case heapLent, heapLentLong:
		t.lentTime = max(t.lentTime, c.lentPass)
		c.lentPass += hold / c.weight()
	}
}
