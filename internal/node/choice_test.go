package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/routing"
	"tamarackquay/internal/routing/p2c"
	"tamarackquay/internal/routing/random"
	"tamarackquay/internal/routing/roundrobin"
)

// fault is the fault of one of six targets.
type fault string

const (
	healthy   fault = "none"
	slowFault fault = "slow tenfold"
	deadFault fault = "dead"
	hungFault fault = "hung"
	failsFast fault = "failing, reports no load"
)

// serviceTime is the mean service time of a tally at a healthy target.
const serviceTime = 5 * time.Millisecond

// sixTargets fakes six targets in one domain, of which the first has a fault.
type sixTargets struct {
	fault fault
	mu    sync.Mutex
	// random draws the service times.
	random *rand.Rand
}

func (s *sixTargets) respond(_ context.Context, _ int, to membership.VM, call *port.Call) (*port.Response, error) {
	s.mu.Lock()
	took := time.Duration(s.random.ExpFloat64() * float64(serviceTime))
	s.mu.Unlock()
	if to.ID == "vm-0" {
		switch s.fault {
		case slowFault:
			took *= 10
		case deadFault:
			return nil, port.Refuse(port.ReasonUnreachable, time.Second, "connection refused")
		case hungFault:
			time.Sleep(time.Until(call.Deadline))
			return nil, errBroken
		case failsFast:
			return newResponse(http.StatusServiceUnavailable, http.Header{loadHeader: {"0/12"}}, http.NoBody, 0), nil
		}
	}
	time.Sleep(took)
	return okResponse("whole"), nil
}

// result holds the callers' outcomes of one run.
type result struct {
	good, bad int
	p99       time.Duration
	// atFaulty counts the attempts at the faulty target.
	atFaulty int
}

// sendTallies sends tallies through one entry node at a fixed rate, without
// waiting for responses (an open load).
func sendTallies(t *testing.T, faulty fault, policy routing.Policy) result {
	const perSecond, seconds = 500, 4
	targets := &sixTargets{fault: faulty, random: rand.New(rand.NewPCG(1, 2))}
	owners := &fakeOwners{respond: targets.respond}
	n := newEntry(t, owners)
	n.config.Policy = policy
	n.view.Store(viewOf(6))
	view := *n.view.Load()
	view.Targets = map[string][]membership.VM{"tally": view.Targets["tally"][:6]}
	n.view.Store(&view)
	var mu sync.Mutex
	var got result
	var waits []time.Duration
	var callers sync.WaitGroup
	for range perSecond * seconds {
		callers.Go(func() {
			start := time.Now()
			response := serve(n, "GET", "/tallies", nil)
			mu.Lock()
			defer mu.Unlock()
			if response.Code == http.StatusOK && response.Header().Get(callhttp.HeaderOutcome) == "" {
				got.good++
			} else {
				got.bad++
			}
			waits = append(waits, time.Since(start))
		})
		time.Sleep(time.Second / perSecond)
	}
	callers.Wait()
	slices.Sort(waits)
	got.p99 = waits[len(waits)*99/100]
	for _, to := range owners.to {
		if to == "vm-0" {
			got.atFaulty++
		}
	}
	return got
}

// One of six targets has a fault that its load reports don't show. Hardly any
// caller may be affected, since the node counts and times its own attempts.
// Virtual time makes the figures reproducible.
func TestOneFaultyTargetInSix(t *testing.T) {
	cases := []struct {
		fault fault
		// p99 is the longest allowed 99th percentile of the response times.
		p99 time.Duration
	}{
		{healthy, 30 * time.Millisecond},
		{slowFault, 40 * time.Millisecond},
		{deadFault, 30 * time.Millisecond},
		{hungFault, 60 * time.Millisecond},
		{failsFast, 30 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(string(c.fault), func(t *testing.T) {
			results := map[string]result{}
			for name, policy := range map[string]routing.Policy{"random": random.Policy{}, "round robin": &roundrobin.Policy{}, "two choices": p2c.Policy{}} {
				synctest.Test(t, func(t *testing.T) { results[name] = sendTallies(t, c.fault, policy) })
			}
			for _, name := range []string{"random", "round robin", "two choices"} {
				r := results[name]
				t.Logf("%-12s %d succeeded, %d failed, p99 %s, attempts at the faulty target %d", name, r.good, r.bad, r.p99.Round(100*time.Microsecond), r.atFaulty)
			}
			p2cResult := results["two choices"]
			assert.Check(t, p2cResult.bad == 0, "%d failed", p2cResult.bad)
			assert.Check(t, p2cResult.p99 <= c.p99, "p99 %s", p2cResult.p99)
		})
	}
}
