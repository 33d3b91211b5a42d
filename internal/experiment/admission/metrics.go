package admission

import (
	"cmp"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackquay/internal/admission"
)

// metrics collects the results of one run. Only requests that arrive within the
// measured time are counted.
type metrics struct {
	sim     *simulation
	from    float64
	until   float64
	streams []streamMetrics
	// heldNow and maxHeld are the current and the highest number of slots that each
	// customer holds over all targets.
	heldNow map[string]int
	maxHeld map[string]int

	idleAtTarget float64
	idleInFleet  float64
	refusals     map[string]int
}

type streamMetrics struct {
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

func newMetrics(sim *simulation) *metrics {
	m := &metrics{
		sim: sim, from: sim.scenario.config.Seconds * warmUp, until: sim.lastArrival(),
		heldNow: map[string]int{}, maxHeld: map[string]int{}, refusals: map[string]int{},
	}
	for range sim.scenario.demands {
		m.streams = append(m.streams, streamMetrics{waits: hdrhistogram.New(1, maxWaitMicros, waitDigits)})
	}
	return m
}

// advance accounts for the time up to the next event, in which no state changes.
func (m *metrics) advance(until float64) {
	elapsed := min(until, m.until) - max(m.sim.now, m.from)
	if elapsed <= 0 {
		return
	}
	idle, waiting := 0, 0
	for _, q := range m.sim.queues {
		free := m.sim.scenario.deployment.Slots - q.Running()
		idle += free
		eligible := q.Eligible()
		waiting += eligible
		m.idleAtTarget += elapsed * float64(min(free, eligible))
	}
	m.idleInFleet += elapsed * float64(min(idle, waiting))
}

func (m *metrics) isCounted(c *call) bool { return c.arrived >= m.from }

func (m *metrics) recordOffer(c *call) {
	if m.isCounted(c) {
		m.streams[c.stream].offered++
		m.streams[c.stream].demand += c.totalService()
		c.demand = c.totalService()
	}
}

func (m *metrics) recordStart(c *call) {
	if m.isCounted(c) && c.parent == nil {
		// A histogram rejects values above its range. The deadline keeps waits
		// far below it.
		_ = m.streams[c.stream].waits.RecordValue(int64((m.sim.now - c.arrived) * microsPerSecond))
	}
}

// recordEnd counts a completed request of a caller. Work for a request that failed
// because an inner call failed does not count.
func (m *metrics) recordEnd(c *call) {
	if m.isCounted(c) && !c.failed {
		m.streams[c.stream].received += c.demand
	}
}

func (m *metrics) recordRefusal(c *call, reason admission.Reason) {
	if m.isCounted(c) {
		m.streams[c.stream].refused++
		m.refusals[string(reason)]++
	}
}

func (m *metrics) addHeld(c *call, n int) {
	name := c.request.Customer
	m.heldNow[name] += n
	m.maxHeld[name] = max(m.maxHeld[name], m.heldNow[name])
}

func (m *metrics) result() Result {
	s := m.sim.scenario
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

func (m *metrics) stream(i int) Stream {
	d := &m.sim.scenario.demands[i]
	s := &m.streams[i]
	wait := func(quantile float64) float64 {
		return float64(s.waits.ValueAtQuantile(quantile)) / microsPerSecond * 1e3
	}
	return Stream{
		Customer: d.customer, Class: cmp.Or(d.class, "default"), Offered: s.offered, Refused: s.refused,
		WaitP50: wait(50), WaitP99: wait(99), WaitP999: wait(99.9),
	}
}

// customers adds the guarantee, the demand and the received service of each customer
// to the result.
func (m *metrics) customers(r *Result, capacity float64) {
	for i, d := range m.sim.scenario.demands {
		last := len(r.Customers) - 1
		if last < 0 || r.Customers[last].Name != d.customer {
			r.Customers = append(r.Customers, Customer{
				Name: d.customer, Guaranteed: d.share, LimitSlots: d.limit * float64(m.sim.scenario.deployment.capacity()),
				MaxHeld: m.maxHeld[d.customer],
			})
			last++
		}
		r.Customers[last].Demand += m.streams[i].demand / capacity
		r.Customers[last].Received += m.streams[i].received / capacity
	}
	for i := range r.Customers {
		c := &r.Customers[i]
		due := min(c.Demand, c.Guaranteed)
		c.Fulfilled = 1
		if due > 0 {
			c.Fulfilled = min(c.Received/due, 1)
		}
		r.Shortfall += max(0, due-c.Received)
	}
}
