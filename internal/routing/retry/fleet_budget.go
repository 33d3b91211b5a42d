package retry

import "time"

// Limits limit the retries of the whole fleet at one service.
type Limits struct {
	// Ratio is the maximum ratio of retries to the service's requests.
	Ratio float64
	// Slack is this node's share of the number of retries that are allowed in
	// addition to the ratio. It counts only in windows that begin after the start of the
	// process.
	Slack float64
}

// FleetBudget is one node's share of a retry budget that the whole fleet keeps
// without communication between nodes: in any window, the retries at a service may be
// at most a ratio of its requests, plus a fixed slack. The requests are those of that
// window, of the one before or of the one half a window before, whichever has most over
// the whole fleet. Each node counts only the requests that it received as entry node,
// and allows retries for the same weighted mean of the three, so that what the nodes
// allow adds up to at most the ratio of the fleet's requests. The slack is divided among
// the nodes, and a process uses none of it in windows that begin before its start.
//
// A call made by a retried run is a retry at the called service. The node of the
// target's VM handles both: it owns the run and is the entry node of the call. A
// request that may be such a call is counted as a retry with the probability that a
// retried run made it, and a retried run is started only if the budget allows the
// calls that it will make. Otherwise the calls of retried runs would come on top of a
// budget that is already used up, and services whose targets shed load would get more
// retries than allowed.
//
// A FleetBudget is not safe for concurrent use.
type FleetBudget struct {
	windowLength time.Duration
	// started is when this process began to count; zero if nothing was sent before.
	started   time.Time
	windows   map[string]*window
	callStats *callStats
	// running holds the runs in progress at the VM's own target, by attempt id.
	running map[string]*run
}

// Run is a request that runs at the VM's own target.
type Run struct {
	Route string
	// RetryProbability is the probability that the run is a retry: 1 for a retry by
	// a node, less for a call that a retried run may have made.
	RetryProbability float64
	// Deadline is the latest time at which its calls expire.
	Deadline time.Time
}

type run struct {
	Run
	start time.Time
}

// NewFleetBudget returns a budget with the given window length; zero means
// DefaultWindow. started is the start of the process: one before it may have used the
// slack of all windows that begin before then. It is zero if there was none.
func NewFleetBudget(windowLength time.Duration, started time.Time) *FleetBudget {
	if windowLength <= 0 {
		windowLength = DefaultWindow
	}
	return &FleetBudget{windowLength: windowLength, started: started, windows: map[string]*window{}, callStats: newCallStats(), running: map[string]*run{}}
}

// CountRequest counts a request for a service and returns the probability that it is
// a call of a retried run. Calls expire with the run that made them, so a request
// with a later deadline than every run of the VM's own target is not a call. A zero
// deadline means that the caller gave none.
func (f *FleetBudget) CountRequest(now time.Time, service string, deadline time.Time) (retryProbability float64) {
	b := f.window(service).bucket(now)
	b.requests++
	retryProbability = f.attributeCall(service, deadline)
	b.retries += retryProbability
	return retryProbability
}

// deadlineTolerance is the maximum time by which the deadline of a call may appear to
// be later than that of its run. Deadlines are computed from the arrival of each
// message, which a busy node notices late.
const deadlineTolerance = 50 * time.Millisecond

// attributeCall divides a request that may be a call among the runs that may have
// made it, and returns the probability that a retried run made it.
func (f *FleetBudget) attributeCall(service string, deadline time.Time) (retryProbability float64) {
	totalRate, retryRate := 0.0, 0.0
	shares := map[*routeStats]float64{}
	for _, r := range f.running {
		if !deadline.IsZero() && deadline.After(r.Deadline.Add(deadlineTolerance)) {
			continue
		}
		route := f.callStats.route(r.Route)
		rate := route.callRate(service)
		shares[route] += rate
		totalRate += rate
		retryRate += rate * r.RetryProbability
	}
	if totalRate == 0 {
		return 0
	}
	for route, share := range shares {
		route.calls[service] += share / totalRate
	}
	return retryRate / totalRate
}

// AllowRetry counts a retry at a service, or returns false if the limits don't allow
// one.
func (f *FleetBudget) AllowRetry(now time.Time, service string, limits Limits) bool {
	if !f.allows(now, service, limits, 1) {
		return false
	}
	f.window(service).bucket(now).retries++
	return true
}

// allows reports whether the budget of a service allows extra more retries, in
// addition to the calls expected from the retried runs in progress.
func (f *FleetBudget) allows(now time.Time, service string, limits Limits, extra float64) bool {
	for _, r := range f.running {
		if r.RetryProbability > 0 {
			extra += r.RetryProbability * f.callStats.route(r.Route).callsPerRun(service)
		}
	}
	return extra <= f.window(service).remaining(now, limits)
}

// Usage is what a node has counted for one service, and what it may use.
type Usage struct {
	// Requests is the number of requests in the last window.
	Requests int
	// Retries is the number of retries in the last window, including the expected number
	// of calls by retried runs; Allowed is the most that the node may reach with its own.
	Retries, Allowed float64
}

// Usage returns the usage of each service that had requests.
func (f *FleetBudget) Usage(now time.Time, limits Limits) map[string]Usage {
	usages := make(map[string]Usage, len(f.windows))
	for service, w := range f.windows {
		total := w.total(now)
		usages[service] = Usage{Requests: total.requests, Retries: total.retries, Allowed: total.retries + w.remaining(now, limits)}
	}
	return usages
}

// localFraction is the fraction of its budget that a node may use up with its own
// retries. The rest is reserved: along a chain of calls a node receives calls of
// retried runs that it can no longer refuse, even if its budget is used up, and no
// other node can reserve budget for them. Retries also reach their targets later than
// they are counted, and so a little closer together.
const localFraction = 0.85

// BeginRun records a run at the VM's own target. It returns false for a retry whose
// expected calls exceed the budget; the run must not start then. After true, EndRun
// must be called.
func (f *FleetBudget) BeginRun(now time.Time, attempt string, r Run, limits Limits) bool {
	f.callStats.decay(now, f.windowLength)
	route := f.callStats.route(r.Route)
	if r.RetryProbability >= 1 {
		for service := range route.calls {
			if calls := route.callsPerRun(service); calls > 0 && !f.allows(now, service, limits, calls) {
				return false
			}
		}
	}
	route.runs++
	f.running[attempt] = &run{Run: r, start: now}
	return true
}

// EndRun records the end of a run. Unknown attempts are ignored.
func (f *FleetBudget) EndRun(now time.Time, attempt string) {
	r := f.running[attempt]
	if r == nil {
		return
	}
	delete(f.running, attempt)
	f.callStats.route(r.Route).busySeconds += max(0, now.Sub(r.start)).Seconds()
}

func (f *FleetBudget) window(service string) *window {
	w := f.windows[service]
	if w == nil {
		w = newWindow(f.windowLength, f.started)
		f.windows[service] = w
	}
	return w
}
