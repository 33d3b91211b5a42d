package proxy

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/metrics"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
)

type settableClock struct{ now time.Time }

func (c *settableClock) Now() time.Time { return c.now }

// newShortage returns a fleet of one node whose target is full, and its clock. Requests of the
// route are excluded, and a probe has just been sent. The target reports a work factor if
// reports is set.
func newShortage(t testing.TB, reports bool) (*fleet, *settableClock) {
	f := newFleet(t, 1)
	clock := &settableClock{now: time.Now()}
	p := f.proxies[0]
	p.ports.Clock = clock
	load := placement.Load{Running: testSlots, Waiting: testSlots, Slots: testSlots, Hold: 10 * time.Millisecond}
	p.stats["t0"].RecordLoad(clock.now, load)
	if reports {
		load.Slowdown = 1
		p.stats["t0"].RecordLoad(clock.now, load)
		state := p.shortageOf("s")
		for range 30 {
			clock.now = clock.now.Add(20 * time.Millisecond)
			state.tracker.RecordFirst(clock.now, 0, false)
			state.tracker.RecordFurther(clock.now, 0, false)
		}
		assert.Assert(t, !state.tracker.Refuse(clock.now, 0))
	}
	return f, clock
}

func (f *fleet) sendWithTimeout(path string, timeout time.Duration) *httptest.ResponseRecorder {
	r := httptest.NewRequest("GET", path, nil)
	r.Host = "h"
	r.Header.Set(headers.RequestID, nextRequestID())
	r.Header.Set(headers.Deadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	w := httptest.NewRecorder()
	f.proxies[0].ServeCaller(w, r)
	return w
}

// Guards against a request that is sent to full targets although none of its rank is
// admitted, against a retry that gets no attempt, and against a node that doesn't probe.
func TestExcludedRequestIsRefusedAtOnce(t *testing.T) {
	f, clock := newShortage(t, true)
	w := f.sendWithTimeout("/idempotent/x", 2*time.Second)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get(callhttp.HeaderReason), string(port.ReasonShortage))
	assert.Equal(t, w.Header().Get(callhttp.HeaderOutcome), callhttp.OutcomeDidNotRun)
	after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after >= 0.49 && after <= 2.0/3, "%v s of 2 s", after)
	assert.Equal(t, f.totalArrivals(), 0)
	assert.Assert(t, strings.Contains(f.logs.String(), `"reason":"shortage"`))

	// The caller retries: the same deadline, some time later.
	clock.now = clock.now.Add(100 * time.Millisecond)
	w = f.sendWithTimeout("/idempotent/x", 1900*time.Millisecond)
	assert.Equal(t, w.Code, http.StatusOK)

	f, clock = newShortage(t, true)
	clock.now = clock.now.Add(250 * time.Millisecond)
	w = f.sendWithTimeout("/idempotent/y", 2*time.Second)
	assert.Equal(t, w.Code, http.StatusOK, "a probe after 250 ms")
}

// Services whose targets report no work factor are served as without a shortage. Timeouts are long: the
// clock of the test stands still, so a target that fails once stays in backoff.
func TestOtherServicesAreUnaffectedByShortages(t *testing.T) {
	f, _ := newShortage(t, false)
	f.setTimeouts(time.Minute)
	for range 20 {
		assert.Equal(t, f.send(0, "GET", "/idempotent/x", "").Code, http.StatusOK)
	}
	assert.Equal(t, len(f.proxies[0].shortages), 0)
}

// shortForwarder returns a request in a shortage, a function that reports whether it stops now, and
// the clock.
func shortForwarder(t testing.TB) (*forwarder, func() bool, *settableClock) {
	fleet, clock := newShortage(t, true)
	p := fleet.proxies[0]
	f := &forwarder{
		proxy: p, snapshot: p.snapshot.Load(), route: fleet.table.Route("h", "/idempotent/"), service: "s",
		began: clock.now, firstAt: clock.now, deadline: clock.now.Add(2 * time.Second), tried: map[string]bool{},
		shortage: p.shortages["s"],
	}
	return f, func() bool { return f.stopsForShortage(clock.now, f.snapshot.Services["s"][0]) }, clock
}

// Guards against refusals while a target is known to have a free slot, and against reports
// that prove it for longer than 200 ms, or after a step back of the clock.
func TestReportOfFreeSlotDisprovesShortage(t *testing.T) {
	f, stops, clock := shortForwarder(t)
	assert.Assert(t, stops())
	for age, disproves := range map[time.Duration]bool{199 * time.Millisecond: true, 201 * time.Millisecond: false, -time.Hour: false} {
		f.proxy.stats["t0"].RecordLoad(clock.now.Add(-age), placement.Load{Running: 1, Slots: testSlots, Slowdown: 1})
		assert.Equal(t, stops(), !disproves, "%s", age)
	}
}

// Guards against requests that try one full target after the other, and against a search that
// ends although the last target failed for another reason, or although its caller retries. The
// chance of further attempts must not be estimated by attempts in parallel with a slow one, which
// are sent to targets with a free slot only. A request that stops must not take a retry from the
// fleet's budget, nor be refused if an attempt may have run.
func TestFurtherAttemptsInShortage(t *testing.T) {
	f, stops, _ := shortForwarder(t)
	f.attempts = 1
	assert.Assert(t, !stops(), "the target was unreachable")
	f.fullTargets = 1
	assert.Assert(t, stops())
	f.firstAt = f.began.Add(-time.Second)
	assert.Assert(t, !stops(), "the caller retries")
	f.firstAt = f.began

	f.arrivals, f.unknown = 1, &port.UnknownOutcome{Stage: "owner"}
	_, err := f.forward(t.Context())
	assert.Equal(t, err, f.unknown)
	var text strings.Builder
	f.proxy.ports.Meter.(*metrics.Meter).Write(&text)
	assert.Assert(t, !strings.Contains(text.String(), string(port.MetricRetries)))

	for _, afterFull := range []bool{false, true} {
		for range 9 {
			f.recordAdmission(outcome{attempt: &attempt{number: 2, afterFull: afterFull}})
		}
		assert.Equal(t, stops(), !afterFull)
	}
}

// Only refusals for lack of slots count as such, and only their Retry-After is replaced.
// Unreachable targets, as in a partition, must not look like a shortage.
func TestOnlyLackOfSlotsIsShortage(t *testing.T) {
	for reason, want := range map[port.Reason]bool{
		port.ReasonDeadline: true, port.ReasonQueueFull: true, port.ReasonUnreachable: false, port.ReasonStopping: false,
		port.ReasonBusy: false, "": false,
	} {
		f, _, _ := shortForwarder(t)
		known := f.shortage
		f.shortage = &serviceShortage{}
		refusal := port.Refuse(reason, time.Millisecond, "")
		failed := outcome{attempt: &attempt{number: 1}, err: refusal}
		if reason == "" {
			failed.err = &port.UnknownOutcome{Stage: "owner"}
		}
		for range 10 {
			f.recordAdmission(failed)
		}
		_, short := f.inShortage(f.began)
		assert.Equal(t, short, want, reason)
		f.shortage = known
		assert.Equal(t, f.spreadRetry(refusal).RetryAfter >= 100*time.Millisecond, want, reason)
		assert.Equal(t, refusal.RetryAfter, time.Millisecond, "the refusal itself is unchanged")
	}
}

// The beginning and the end of a shortage must be found in the log, with its length. The state of
// services that are no longer listed must not stay in memory.
func TestShortageIsLoggedAndDropped(t *testing.T) {
	f, clock := newShortage(t, true)
	p := f.proxies[0]
	p.MeasureShortages()
	clock.now = clock.now.Add(20 * time.Second)
	p.MeasureShortages()
	assert.Equal(t, len(p.shortages), 1)
	p.SetSnapshot(&Snapshot{Table: f.table})
	p.MeasureShortages()
	assert.Equal(t, len(p.shortages), 0)
	text := f.logs.String()
	assert.Assert(t, strings.Contains(text, "shortage begins") && strings.Contains(text, "shortage ends") && strings.Contains(text, `"shortage_ms":`), text)
}

// BenchmarkShortageCheck measures the check of a request before its first attempt, for a
// service without a work factor and in a shortage of one with many targets.
func BenchmarkShortageCheck(b *testing.B) {
	f := newChoosingForwarder(1600)
	f.began = f.firstAt
	member := f.choose(f.firstAt)
	check := func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f.stopsForShortage(f.firstAt, member)
		}
	}
	b.Run("no-work-factor", check)
	f.shortage = &serviceShortage{}
	for range 30 {
		f.shortage.tracker.RecordFirst(f.firstAt, 0, false)
	}
	b.Run("shortage", check)
}
