package retry

import "time"

// Terms bound the repeats of the whole fleet at one service.
type Limits struct {
	// Ratio is the part of a service's requests that may be repeats.
	Ratio float64
	// Few is this node's part of the few repeats that are allowed besides.
	Slack float64
}

// Ledger is a node's part of a budget that the whole fleet keeps without talking
// about it: over any span, the arrivals at a service beyond the first of each
// request may be at most a ratio of its requests, and a few besides. The ratios
// of all nodes add up, since each counts only the requests that it took itself;
// the few are divided among the nodes.
//
// A call that a repeated run makes is a repeat at the service that is called. The
// node beside the target sees both, the run as its owner and the call as its entry.
// A request that may be a call is charged with the part that repeats have of the
// runs which may have made it, and a repeated run is begun only where the budget has
// room for the calls that it will make. Without that, the calls of repeated runs came
// on top of a budget that was used up: services whose targets turned work away got
// more repeats than allowed.
//
// A Ledger is not safe for concurrent use.
type FleetBudget struct {
	span     time.Duration
	services map[string]*window
	calling  *calling
	// running holds the runs at the VM's own target by attempt.
	running map[string]*run
}

// Run is a request that the VM's own target works on.
type Run struct {
	Route string
	// Part is the chance that it is a repeat: 1 for a further attempt, less for
	// what a repeated run may have called.
	RetryProbability float64
	// Ends is when its calls expire at the latest.
	Deadline time.Time
}

type run struct {
	Run
	began time.Time
}

// NewLedger returns an empty ledger for windows of a span; zero means DefaultSpan.
func NewFleetBudget(span time.Duration) *FleetBudget {
	if span <= 0 {
		span = DefaultWindow
	}
	return &FleetBudget{span: span, services: map[string]*window{}, calling: newCalling(), running: map[string]*run{}}
}

// Request counts a request for a service and returns the chance that it is a call
// of a repeated run. Calls expire with the run that made them, so a request that
// is wanted for longer than every run of the VM's own target is none; zero ends
// means that the caller didn't say.
func (l *FleetBudget) CountRequest(now time.Time, service string, ends time.Time) (part float64) {
	s := l.window(service).slot(now)
	s.requests++
	part = l.charge(service, ends)
	s.repeats += part
	return part
}

// deadlineSlack is how much later than its run a call may seem to end: deadlines are
// counted from when each message arrives, which a busy node notices late.
const deadlineSlack = 50 * time.Millisecond

// charge divides what may be a call among the runs that may have made it, and
// returns the part that repeats have of it.
func (l *FleetBudget) charge(service string, ends time.Time) (part float64) {
	total, repeated := 0.0, 0.0
	shares := map[*routeCalls]float64{}
	for _, r := range l.running {
		if !ends.IsZero() && ends.After(r.Deadline.Add(deadlineSlack)) {
			continue
		}
		route := l.calling.route(r.Route)
		rate := route.rate(service)
		shares[route] += rate
		total += rate
		repeated += rate * r.RetryProbability
	}
	if total == 0 {
		return 0
	}
	for route, share := range shares {
		route.made[service] += share / total
	}
	return repeated / total
}

// Repeat counts a further attempt at a service, or reports false when the terms
// don't allow one.
func (l *FleetBudget) AllowRetry(now time.Time, service string, terms Limits) bool {
	if !l.hasRoom(now, service, terms, 1) {
		return false
	}
	l.window(service).slot(now).repeats++
	return true
}

// hasRoom reports whether the budget of a service has room for so many repeats more,
// beside the calls that the repeats which run by now will make.
func (l *FleetBudget) hasRoom(now time.Time, service string, terms Limits, more float64) bool {
	for _, r := range l.running {
		if r.RetryProbability > 0 {
			more += r.RetryProbability * l.calling.route(r.Route).perRun(service)
		}
	}
	total := l.window(service).sum(now)
	return total.repeats+more <= ownPart*(terms.Ratio*float64(total.requests)+terms.Slack)
}

// ownPart is the part of its budget that a node uses up by its own repeats. Along a
// chain of calls a node gets calls of repeated runs that it can't refuse any more,
// also when its part is used up, and no other node knows to make room for them.
const ownPart = 0.85

// Begin takes a run at the VM's own target. It reports false for a repeat whose
// calls the budget has no room for; the run must not begin then. After true, End
// must be called.
func (l *FleetBudget) BeginRun(now time.Time, attempt string, r Run, terms Limits) bool {
	l.calling.age(now, l.span)
	route := l.calling.route(r.Route)
	if r.RetryProbability >= 1 {
		for service := range route.made {
			if calls := route.perRun(service); calls > 0 && !l.hasRoom(now, service, terms, calls) {
				return false
			}
		}
	}
	route.runs++
	l.running[attempt] = &run{Run: r, began: now}
	return true
}

// End takes the end of a run; unknown ones are left alone.
func (l *FleetBudget) EndRun(now time.Time, attempt string) {
	r := l.running[attempt]
	if r == nil {
		return
	}
	delete(l.running, attempt)
	l.calling.route(r.Route).busy += max(0, now.Sub(r.began)).Seconds()
}

func (l *FleetBudget) window(service string) *window {
	w := l.services[service]
	if w == nil {
		w = newWindow(l.span)
		l.services[service] = w
	}
	return w
}
