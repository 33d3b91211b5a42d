package retry

import "time"

// calling is how many calls the runs of each route make to each service. A node
// sees calls come while several runs are under way and not which of them made
// one. So each call is divided among those runs by how often their routes have
// called so far, which singles out the routes that call within some tens of calls.
type calling struct {
	routes map[string]*routeCalls
	// halveAt is when all counts are halved next, so that a route whose runs
	// changed is learnt anew.
	halveAt time.Time
}

// routeCalls counts for one route.
type routeCalls struct {
	runs float64
	// busy is for how many seconds its runs held the target.
	busy float64
	// made are the calls by service.
	made map[string]float64
}

// What every route is taken to have done before anything was seen: a call to each
// service in a second of its runs' time.
const (
	priorCalls   = 1
	priorSeconds = 1
)

func newCalling() *calling { return &calling{routes: map[string]*routeCalls{}} }

func (c *calling) route(name string) *routeCalls {
	r := c.routes[name]
	if r == nil {
		r = &routeCalls{made: map[string]float64{}}
		c.routes[name] = r
	}
	return r
}

// rate is how often a run of the route calls the service, in calls a second.
func (r *routeCalls) rate(service string) float64 {
	return (r.made[service] + priorCalls) / (r.busy + priorSeconds)
}

// perRun is how many calls to the service a run of the route makes.
func (r *routeCalls) perRun(service string) float64 {
	if r.runs == 0 {
		return 0
	}
	return r.made[service] / r.runs
}

// age halves all counts once a span.
func (c *calling) age(now time.Time, span time.Duration) {
	if now.Before(c.halveAt) {
		return
	}
	c.halveAt = now.Add(span)
	for name, r := range c.routes {
		r.runs /= 2
		r.busy /= 2
		for service := range r.made {
			r.made[service] /= 2
		}
		if r.runs < 1 {
			delete(c.routes, name)
		}
	}
}
