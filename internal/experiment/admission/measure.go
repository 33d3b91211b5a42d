package admission

import (
	"cmp"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackquay/internal/admission"
)

// measure collects the figures of one run. Requests count when they arrive
// within the measured time.
type measure struct {
	w       *world
	from    float64
	until   float64
	streams []streamMeasure
	// heldNow and heldMost are slots held by each customer over all targets.
	heldNow  map[string]int
	heldMost map[string]int

	idleAtTarget float64
	idleInFleet  float64
	refusals     map[string]int
}

type streamMeasure struct {
	demand   float64
	received float64
	offered  int
	refused  int
	waits    *hdrhistogram.Histogram
}

const (
	microsPerSecond = 1e6
	maxWaitMicros   = 60 * microsPerSecond
	waitDigits      = 3
)

func newMeasure(w *world) *measure {
	m := &measure{
		w: w, from: w.scenario.config.Seconds * warmUp, until: w.lastArrival(),
		heldNow: map[string]int{}, heldMost: map[string]int{}, refusals: map[string]int{},
	}
	for range w.scenario.demands {
		m.streams = append(m.streams, streamMeasure{waits: hdrhistogram.New(1, maxWaitMicros, waitDigits)})
	}
	return m
}

// pass accounts for the time up to the next event, in which nothing changes.
func (m *measure) pass(until float64) {
	span := min(until, m.until) - max(m.w.now, m.from)
	if span <= 0 {
		return
	}
	idle, waiting := 0, 0
	for _, q := range m.w.queues {
		free := m.w.scenario.deployment.Slots - q.Running()
		idle += free
		eligible := q.Eligible()
		waiting += eligible
		m.idleAtTarget += span * float64(min(free, eligible))
	}
	m.idleInFleet += span * float64(min(idle, waiting))
}

func (m *measure) counts(c *call) bool { return c.arrived >= m.from }

func (m *measure) offered(c *call) {
	if m.counts(c) {
		m.streams[c.stream].offered++
		m.streams[c.stream].demand += c.work()
		c.wanted = c.work()
	}
}

func (m *measure) started(c *call) {
	if m.counts(c) && c.parent == nil {
		// A histogram refuses values above its range, which the deadline
		// keeps far away.
		_ = m.streams[c.stream].waits.RecordValue(int64((m.w.now - c.arrived) * microsPerSecond))
	}
}

// ended counts a caller's request that ended; work that was done for one that
// failed below is lost.
func (m *measure) ended(c *call) {
	if m.counts(c) && !c.failed {
		m.streams[c.stream].received += c.wanted
	}
}

func (m *measure) refused(c *call, reason admission.Reason) {
	if m.counts(c) {
		m.streams[c.stream].refused++
		m.refusals[string(reason)]++
	}
}

func (m *measure) held(c *call, n int) {
	name := c.request.Customer
	m.heldNow[name] += n
	m.heldMost[name] = max(m.heldMost[name], m.heldNow[name])
}

func (m *measure) result() Result {
	s := m.w.scenario
	capacity := float64(s.deployment.capacity()) * (m.until - m.from)
	r := Result{
		Experiment: s.name, Detail: s.detail, Deployment: s.deployment.Name, Policy: s.policy, Placement: s.placement,
		IdleAtTarget: m.idleAtTarget / capacity, IdleInFleet: m.idleInFleet / capacity, Refusals: m.refusals,
	}
	for i := range m.streams {
		r.Streams = append(r.Streams, m.stream(i))
		r.Goodput += m.streams[i].received / capacity
	}
	m.customers(&r, capacity)
	return r
}

func (m *measure) stream(i int) Stream {
	d := &m.w.scenario.demands[i]
	s := &m.streams[i]
	wait := func(quantile float64) float64 {
		return float64(s.waits.ValueAtQuantile(quantile)) / microsPerSecond * 1e3
	}
	return Stream{
		Customer: d.customer, Class: cmp.Or(d.class, "default"), Offered: s.offered, Refused: s.refused,
		WaitP50: wait(50), WaitP99: wait(99), WaitP999: wait(99.9),
	}
}

// customers works out what each customer was promised, wanted and received.
func (m *measure) customers(r *Result, capacity float64) {
	for i, d := range m.w.scenario.demands {
		last := len(r.Customers) - 1
		if last < 0 || r.Customers[last].Name != d.customer {
			r.Customers = append(r.Customers, Customer{
				Name: d.customer, Guaranteed: d.share, LimitSlots: d.limit * float64(m.w.scenario.deployment.capacity()),
				MaxHeld: m.heldMost[d.customer],
			})
			last++
		}
		r.Customers[last].Demand += m.streams[i].demand / capacity
		r.Customers[last].Received += m.streams[i].received / capacity
	}
	for i := range r.Customers {
		c := &r.Customers[i]
		owed := min(c.Demand, c.Guaranteed)
		c.Fulfilled = 1
		if owed > 0 {
			c.Fulfilled = min(c.Received/owed, 1)
		}
		r.Shortfall += max(0, owed-c.Received)
	}
}
