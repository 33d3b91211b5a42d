package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
	"tamarackquay/internal/quarantine"
	"tamarackquay/internal/requestbody"
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
	// callerEnds is when the caller stops waiting; zero when it didn't say.
	callerEnds time.Time
	// first is when the caller made its first attempt, before began if it was
	// refused or failed then. Its target latency counts from there.
	first time.Time

	id     string
	method string
	uri    string
	host   string
	header http.Header
	body   *requestbody.Body
	length int64
	// fingerprint is the same for all attempts and for other callers of the same.
	fingerprint quarantine.Fingerprint
	// suspicion is the number of crashes that the request ran beside before.
	suspicion int

	tried map[string]bool
	// last is the target of the last offer.
	last string
	// offers counts attempts, arrivals those that may have reached a target.
	offers   int
	arrivals int
	// full counts targets that refused for want of room.
	full int

	// repeated is the chance that a repeated run made this request as a call.
	repeated float64
	// second says that a second target was asked beside the first.
	second bool

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
	if refusal := f.proxy.quarantined(f.fingerprint); refusal != nil {
		return nil, refusal
	}
	f.proxy.countRequest(f)
	for f.offers < maxOffers && f.full < fullMost {
		now := f.proxy.ports.Clock.Now()
		if f.full > 0 && f.overdue(now) {
			// Its place is behind all that can be in time, wherever it asks. Told
			// at once, the caller has more time left to come back in.
			break
		}
		if !f.alive(ctx, now) {
			f.refused(port.Refuse(port.ReasonDeadline, noTargetRetry, "the time was over before a target took the request"))
			break
		}
		if refusal := f.proxy.quarantined(f.fingerprint); refusal != nil {
			f.refused(refusal)
			break
		}
		member := f.choose(now)
		if member == nil {
			break
		}
		if f.arrivals > 0 && !(f.mayRepeat() && f.grantRepeat(now, f.arrivals)) {
			break
		}
		a, err := f.attempt(ctx, now, member)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			f.note(err)
			break
		}
		if !f.failedOnce(a, err) {
			break
		}
	}
	return f.end()
}

// failedOnce counts a failed attempt and reports whether another may follow. The
// answer is set where the target itself said that it failed.
func (f *flight) failedOnce(a *answer, err error) bool {
	if a != nil {
		f.failure = a
	}
	return f.mayOfferAgain(err)
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
	p.countSmall(int(max(r.ContentLength, 0)) + placement.HeaderBytes)
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
		return nil, word, &port.UnknownOutcome{Stage: "answer", Cause: errors.New("the answer is another request's")}
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
	case port.ReasonStopping, port.ReasonNotReady, port.ReasonUnreachable:
		stats.AvoidRestart(now)
	case port.ReasonDraining, port.ReasonWrongOwner, port.ReasonMisdirected:
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
	case port.ReasonBadRequest, port.ReasonQuarantined:
		return false
	}
	return f.body.Again()
}
