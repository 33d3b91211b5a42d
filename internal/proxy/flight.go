package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/admission"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
	"tamarackquay/internal/requestbody"
	"tamarackquay/internal/routing/retry"
)

type exchangeResponse = exchange.Response

// flight is one caller's request with the attempts made for it.
type flight struct {
	proxy    *Proxy
	picture  *Picture
	route    *mesh.Route
	service  string
	began    time.Time
	deadline time.Time

	id     string
	method string
	uri    string
	host   string
	header http.Header
	body   *requestbody.Body
	length int64

	tried map[string]bool
	// last is the target of the last offer.
	last string
	// offers counts attempts, arrivals those that may have reached a target.
	offers   int
	arrivals int
	// full counts targets that refused for want of room.
	full int

	// granted says that the next arrival was taken out of the budget already.
	granted bool

	// refusal lets the caller come back soonest; unknown is set once any
	// attempt may have run, and then nothing else may be told.
	refusal *port.Refusal
	unknown error
	// failure is a target's own answer that says it failed.
	failure *answer
}

// Bounds on the search for a target.
const (
	// fullSoon is how many targets may refuse for want of room before the
	// request asks for a longer wait, and fullMost how many may refuse in all.
	// Each was the cheapest of those left, so the others are likely full too;
	// asking them all made nine offers in ten useless under overload.
	fullSoon, fullMost = 2, 3
	// maxOffers bounds the offers to nodes for one request. An offer that is
	// refused costs a round trip, and a service whose nodes are all full is
	// not asked one by one.
	maxOffers = 4
	// noTargetRetry is when to come back while no target of a service is known.
	noTargetRetry = 500 * time.Millisecond
)

// fly offers the request to one target after another until one answers or
// another offer is not allowed.
func (f *flight) fly(ctx context.Context) (*answer, error) {
	f.proxy.countRequest(f)
	for f.offers < maxOffers && f.full < fullMost {
		now := f.proxy.ports.Clock.Now()
		if !f.alive(ctx, now) {
			f.refused(port.Refuse(port.ReasonDeadline, noTargetRetry, "the time was over before a target took the request"))
			break
		}
		member := f.choose(now)
		if member == nil {
			break
		}
		if f.arrivals > 0 && !f.mayRepeat(now) {
			break
		}
		a, err := f.attempt(ctx, now, member)
		if err == nil && !f.failed(a) {
			return a, nil
		}
		if ctx.Err() != nil {
			f.note(err)
			break
		}
		if err == nil {
			f.failure = a
			err = &port.Unknown{Stage: "answer", Cause: errors.Errorf("the target answered with status %d", a.response.Status)}
		}
		if !f.mayOfferAgain(err) {
			break
		}
	}
	return f.end()
}

// end is what the caller gets when no attempt was answered well.
func (f *flight) end() (*answer, error) {
	switch {
	case f.failure != nil:
		return f.failure, nil
	case f.unknown != nil:
		return nil, f.unknown
	case f.refusal != nil:
		return nil, f.refusal
	}
	return nil, port.Refuse(port.ReasonNoTarget, noTargetRetry, "no usable target of service %s", f.service)
}

// failed reports whether an answer says that the target failed, so that another
// may be asked.
func (f *flight) failed(a *answer) bool {
	return a.rest == nil && f.route.Kind.Repeatable() && a.response.Status >= http.StatusInternalServerError
}

// choose returns the cheapest usable target that was not tried, or nil.
func (f *flight) choose(now time.Time) *mesh.Member {
	p := f.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	request := &placement.Request{Work: *p.workOf(f.route), Left: f.wanted(now)}
	if best := f.cheapest(now, request, false); best != nil || f.offers > 0 {
		return best
	}
	// All are left alone for the moment. That is no reason to refuse a request
	// which one of them may take by now.
	return f.cheapest(now, request, true)
}

// cheapest must be called with the proxy's mutex held.
func (f *flight) cheapest(now time.Time, request *placement.Request, avoided bool) *mesh.Member {
	p := f.proxy
	var best *mesh.Member
	least := 0.0
	for _, member := range f.picture.Services[f.service] {
		stats := p.stats[member.ID]
		if f.tried[member.ID] || stats == nil || !member.Usable(now) || !avoided && (!stats.Available(now) || p.isAway(member)) {
			continue
		}
		cost := stats.Cost(now, request) + tieBreak*p.random.Float64()
		if best == nil || cost < least {
			best, least = member, cost
		}
	}
	return best
}

// tieBreak is the random part of a cost: nodes that know the same of two equal
// targets would otherwise all take the same one.
const tieBreak = 0.02

// wanted is the time in which the answer is still worth its full credit; past
// it, the time in which it is worth anything.
func (f *flight) wanted(now time.Time) time.Duration {
	left := f.deadline.Sub(now)
	if early := f.began.Add(f.route.TargetLatency).Sub(now); f.route.TargetLatency > 0 && early > 0 {
		return min(left, early)
	}
	return left
}

// firstDownload is the size that a download is taken for until one was seen, so
// that the first ones don't cross paid links either; the smaller of the means
// that the users' sheets give.
const firstDownload = 90e3

// workOf must be called with the mutex held.
func (p *Proxy) workOf(route *mesh.Route) *placement.Work {
	work := p.work[route.Name]
	if work == nil {
		work = &placement.Work{}
		if route.Kind == mesh.Download {
			work.Bytes = firstDownload
		}
		p.work[route.Name] = work
	}
	return work
}

// attempt offers the request to one target and reads its answer.
func (f *flight) attempt(ctx context.Context, now time.Time, member *mesh.Member) (*answer, error) {
	p := f.proxy
	f.tried[member.ID] = true
	t := f.terms(now)
	t.revision = member.Revision
	f.offers++
	r := f.request(member)
	f.last = member.ID
	stats, believed := p.begin(now, member)
	defer p.finish(stats)
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	over := f.giveUpWhenSlow(now, stats, cancel)
	response, word, err := p.send(ctx, member, &t, r, now)
	over()
	if err != nil {
		cancel()
		p.noteFailure(stats, word, err)
		p.decisions.failedAttempt(p.ports.Clock.Now(), f, member, t.attempt, believed, err)
		return nil, err
	}
	way := p.ports.Clock.Now().Sub(now) - word.spent
	a, err := f.read(response, cancel)
	if err != nil {
		p.noteFailure(stats, word, err)
		p.decisions.failedAttempt(p.ports.Clock.Now(), f, member, t.attempt, believed, err)
		return nil, &port.Unknown{Stage: "answer", Cause: err}
	}
	p.noteAnswer(stats, f.route, word, way, a)
	return a, nil
}

// read buffers the answer and checks that a target made it.
func (f *flight) read(response *exchangeResponse, cancel func()) (*answer, error) {
	response.Body = &released{ReadCloser: response.Body, release: cancel}
	proof := f.proxy.config.Headers.Proof
	if proof != "" && response.Status < http.StatusMultipleChoices && response.Header.Get(proof) == "" {
		_ = response.Body.Close()
		return nil, errNoProof
	}
	return readAnswer(response)
}

var errNoProof = errors.New("a success that no target vouches for")

// A target that hangs, or whose answer was lost, would use up all the time of a
// request that another target could still answer. So an attempt is given up
// after slowFactor times the usual work, but only if the fleet's budget grants
// another attempt in its place: work that was begun is wasted otherwise. Of the
// users' requests, whose work is log-normal with a spread of 0.5, 3 in 1,000
// take four times the mean.
const slowFactor = 4

// giveUpWhenSlow cancels an attempt that takes far longer than usual. The
// returned function must be called when the attempt is over. A node that stops
// gives up nothing that a target works on.
func (f *flight) giveUpWhenSlow(now time.Time, stats *placement.Stats, cancel context.CancelFunc) (over func()) {
	if !f.route.Kind.Repeatable() || f.arrivals+1 >= f.route.MaxAttempts || !f.body.IsKept() {
		return func() {}
	}
	p := f.proxy
	p.mu.Lock()
	usual := stats.Expected(now, &placement.Request{Work: *p.workOf(f.route)}, slowFactor)
	p.mu.Unlock()
	attempt := &slowAttempt{}
	timer := time.AfterFunc(max(usual, f.route.TargetLatency), func() {
		attempt.mu.Lock()
		defer attempt.mu.Unlock()
		now := p.ports.Clock.Now()
		if attempt.over || p.stopping.Load() || f.offers >= maxOffers || f.choose(now) == nil {
			return
		}
		if f.grantRepeat(now, f.arrivals+1) {
			f.granted = true
			cancel()
		}
	})
	return func() {
		timer.Stop()
		attempt.mu.Lock()
		defer attempt.mu.Unlock()
		attempt.over = true
	}
}

// slowAttempt keeps the timer of an attempt from touching the flight after the
// attempt is over: until then nothing else does.
type slowAttempt struct {
	mu   sync.Mutex
	over bool
}

// Ranks of requests that wait for a slot: by the route's priority, and within it
// those first that can still be answered in time.
const (
	ranksPerPriority = 2
	rankLate         = 1
)

// urgency is the place of a route among those of its priority: the shorter its
// target latency the earlier, a step for each doubling from leastLatency on. The
// calls that targets make for a request are wanted in a quarter of the time that
// the request has (150 of 600 ms, 300 of 1,200 ms in the users' sheets), so they
// go before new requests: a call that is refused wastes the work of the request
// that it was made for, which has a slot already.
func urgency(targetLatency time.Duration) int {
	steps := 0
	for limit := leastLatency; limit < targetLatency && steps < admission.MaxDepth; limit *= 2 {
		steps++
	}
	return admission.MaxDepth - steps
}

const leastLatency = 40 * time.Millisecond

// workMargin is how many times the usual work must fit behind a wait: a request
// that starts with less is likely cut at its deadline, and its work is wasted.
const workMargin = 1.5

// lateWaitPart is the part of the target latency for which a request waits that
// can't be in time any more: one in so many.
const lateWaitPart = 2

// terms are what the owner node is told. A first offer waits as long as the
// answer can still come in time; once nodes have refused that, it waits longer.
func (f *flight) terms(now time.Time) terms {
	p := f.proxy
	p.mu.Lock()
	work := *p.workOf(f.route)
	p.mu.Unlock()
	hold := work.Hold
	left := f.deadline.Sub(now)
	most := left - time.Duration(workMargin*float64(hold))
	t := terms{attempt: p.nextAttempt(now), route: f.route.Name, rank: f.route.Priority * ranksPerPriority, budget: left, size: int(work.Bytes),
		urgency: urgency(f.route.TargetLatency), repeatable: f.route.Kind.Repeatable()}
	if early := f.wanted(now) - time.Duration(workMargin*float64(hold)); early > 0 {
		t.wait = early
	} else {
		t.rank += rankLate
	}
	if f.full >= fullSoon || t.wait == 0 {
		t.wait = max(t.wait, f.route.TargetLatency/lateWaitPart)
	}
	t.wait = max(min(t.wait, most), 0)
	return t
}

func (f *flight) request(member *mesh.Member) *exchange.Request {
	header := f.header.Clone()
	header[f.proxy.config.Headers.ExpectedTarget] = []string{member.ID}
	r := &exchange.Request{
		Method: f.method, URI: f.uri, Host: f.host, Header: header,
		ContentLength: f.length, IDHeader: f.proxy.config.Headers.RequestID, ID: f.id,
	}
	if body := f.body.Reader(); body != nil {
		r.Body = body
	}
	return r
}

// send runs the request on the VM's own target or through the other's node.
func (p *Proxy) send(ctx context.Context, member *mesh.Member, t *terms, r *exchange.Request, now time.Time) (*exchangeResponse, loadWord, error) {
	if member.Address == p.config.TargetAddress {
		return p.own(ctx, t, r, now)
	}
	if refusal := p.assure(member, p.distance(member), t.repeatable); refusal != nil {
		return nil, loadWord{}, refusal
	}
	r.Header[headerTerms] = []string{t.encode()}
	p.countSmall(int(max(r.ContentLength, 0)) + headerBytes)
	// Nodes refuse with bodies of their own, which echo nothing.
	r.IDHeader = ""
	address := p.peerAddress(member)
	response, err := p.ports.Peers.Do(ctx, address, r)
	if err != nil {
		if exchange.IsSilence(err) && ctx.Err() == nil {
			p.noteAway(address)
		}
		return nil, loadWord{}, p.targetFailure(err)
	}
	p.noteHeard(address)
	word, _ := readLoad(response.Header)
	told := callhttp.ReadError(&http.Response{Header: response.Header, Body: response.Body})
	if told != nil {
		return nil, word, told
	}
	if response.Header.Get(p.config.Headers.RequestID) != r.ID {
		_ = response.Body.Close()
		return nil, word, &port.Unknown{Stage: "answer", Cause: errors.New("the answer is another request's")}
	}
	return response, word, nil
}

func (p *Proxy) begin(now time.Time, member *mesh.Member) (*placement.Stats, belief) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats[member.ID]
	if stats == nil {
		// It left since it was chosen.
		stats = &placement.Stats{}
	}
	stats.Begin()
	load, age := stats.Believed(now)
	return stats, belief{load: load, age: age}
}

func (p *Proxy) finish(stats *placement.Stats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats.End()
}

func (p *Proxy) noteAnswer(stats *placement.Stats, route *mesh.Route, word loadWord, way time.Duration, a *answer) {
	now := p.ports.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.response.Status >= http.StatusInternalServerError {
		stats.Failed(now)
		return
	}
	relative := p.workOf(route).Observe(word.held, stats.Factor(), len(a.whole))
	stats.Answered(now, relative, way)
	p.hear(now, stats, word)
}

func (p *Proxy) hear(now time.Time, stats *placement.Stats, word loadWord) {
	if word.Slots > 0 {
		stats.Heard(now, word.Load)
	}
}

// noteFailure judges a target by an attempt that failed.
func (p *Proxy) noteFailure(stats *placement.Stats, word loadWord, err error) {
	now := p.ports.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hear(now, stats, word)
	var refusal *port.Refusal
	if !errors.As(err, &refusal) {
		stats.Failed(now)
		return
	}
	switch refusal.Reason {
	case port.ReasonStopping, port.ReasonDraining, port.ReasonNotReady, port.ReasonWrongOwner,
		port.ReasonUnreachable, port.ReasonMisdirected:
		stats.Avoid(now)
	case port.ReasonShed, port.ReasonShedWithRoom:
		stats.Failed(now)
	}
}

// note keeps what an error says of the whole request.
func (f *flight) note(err error) {
	var refusal *port.Refusal
	if errors.As(err, &refusal) {
		f.refused(refusal)
		return
	}
	if err != nil {
		f.unknown = err
	}
}

func (f *flight) refused(refusal *port.Refusal) {
	if f.refusal == nil || refusal.RetryAfter > 0 && refusal.RetryAfter < f.refusal.RetryAfter {
		f.refusal = refusal
	}
}

// mayOfferAgain judges a failed attempt and reports whether another may follow.
func (f *flight) mayOfferAgain(err error) bool {
	f.note(err)
	var refusal *port.Refusal
	if !errors.As(err, &refusal) {
		f.arrivals++
		return f.route.Kind.Repeatable() && f.body.Again()
	}
	switch refusal.Reason {
	case port.ReasonShed, port.ReasonShedWithRoom, port.ReasonMisdirected:
		f.arrivals++
	case port.ReasonDeadline, port.ReasonBusy, port.ReasonQueueFull:
		f.full++
	case port.ReasonBadRequest:
		return false
	}
	return f.body.Again()
}

// mayRepeat takes an arrival beyond the first out of the fleet's budget, unless
// that was done when the last attempt was given up.
func (f *flight) mayRepeat(now time.Time) bool {
	granted := f.granted
	f.granted = false
	return granted || f.grantRepeat(now, f.arrivals)
}

// grantRepeat asks the budget for one more arrival after so many.
func (f *flight) grantRepeat(now time.Time, arrivals int) bool {
	if arrivals >= f.route.MaxAttempts {
		return false
	}
	p := f.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	few := p.config.RepeatFew / float64(max(f.picture.Nodes, 1))
	if !p.window(f.service).Repeat(now, p.config.RepeatRatio, few) {
		return false
	}
	p.ports.Meter.Count(port.MetricRetries, f.route.Name, 1)
	return true
}

func (p *Proxy) countRequest(f *flight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.window(f.service).Request(f.began)
}

func (p *Proxy) window(service string) *retry.Window {
	w := p.repeats[service]
	if w == nil {
		w = &retry.Window{}
		p.repeats[service] = w
	}
	return w
}

var _ io.ReadCloser = (*released)(nil)
