package retry

import "time"

// callStats estimates the number of calls that the runs of each route make to each
// service. A node receives calls while several runs are in progress and can't see
// which of them made a call. So each call is divided among those runs in proportion
// to the call rates of their routes so far. Within some tens of calls this
// identifies the routes that make calls.
type callStats struct {
	routes map[string]*routeStats
	// halveAt is the time at which all counts are halved next, so that the estimate
	// adapts to routes whose behaviour has changed.
	halveAt time.Time
}

// routeStats holds the counts of one route.
type routeStats struct {
	runs float64
	// busySeconds is the total duration of its runs at the target.
	busySeconds float64
	// calls counts the calls by service.
	calls map[string]float64
}

// Prior of the call rate of a route without observations: one call to each service
// per second of its runs' time.
const (
	priorCalls   = 1
	priorSeconds = 1
)

func newCallStats() *callStats { return &callStats{routes: map[string]*routeStats{}} }

func (c *callStats) route(name string) *routeStats {
	r := c.routes[name]
	if r == nil {
		r = &routeStats{calls: map[string]float64{}}
		c.routes[name] = r
	}
	return r
}

// callRate returns the estimated call rate of a run of the route to the service, in
// calls per second.
func (r *routeStats) callRate(service string) float64 {
	return (r.calls[service] + priorCalls) / (r.busySeconds + priorSeconds)
}

// callsPerRun returns the average number of calls to the service per run of the
// route.
func (r *routeStats) callsPerRun(service string) float64 {
	if r.runs == 0 {
		return 0
	}
	return r.calls[service] / r.runs
}

// decay halves all counts once per period and removes routes with less than one run.
func (c *callStats) decay(now time.Time, period time.Duration) {
	if now.Before(c.halveAt) {
		return
	}
	c.halveAt = now.Add(period)
	for name, r := range c.routes {
		r.runs /= 2
		r.busySeconds /= 2
		for service := range r.calls {
			r.calls[service] /= 2
		}
		if r.runs < 1 {
			delete(c.routes, name)
		}
	}
}
