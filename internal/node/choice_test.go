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

// illness is what is wrong with one of six targets.
type illness string

const (
	well  illness = "none"
	slow  illness = "slow tenfold"
	dead  illness = "dead"
	hung  illness = "hung"
	lying illness = "failing, reports no load"
)

// serviceTime is the mean of a tally at a target that is well.
const serviceTime = 5 * time.Millisecond

// sixTargets are a fake of six targets in one domain of which the first is ill.
type sixTargets struct {
	illness illness
	// spread draws the service times.
	mu     sync.Mutex
	spread *rand.Rand
}

func (s *sixTargets) answer(_ context.Context, _ int, to membership.VM, call *port.Call) (*port.Response, error) {
	s.mu.Lock()
	took := time.Duration(s.spread.ExpFloat64() * float64(serviceTime))
	s.mu.Unlock()
	if to.ID == "vm-0" {
		switch s.illness {
		case slow:
			took *= 10
		case dead:
			return nil, port.Refuse(port.ReasonUnreachable, time.Second, "connection refused")
		case hung:
			time.Sleep(time.Until(call.Deadline))
			return nil, errDied
		case lying:
			return answerOf(http.StatusServiceUnavailable, http.Header{loadHeader: {"0/12"}}, http.NoBody, 0), nil
		}
	}
	time.Sleep(took)
	return ok("whole"), nil
}

// result is what callers saw of one run.
type result struct {
	good, bad int
	p99       time.Duration
	// atIll is how many attempts went to the ill target.
	atIll int
}

// tallies sends a bounded open load of tallies through one entry node.
func tallies(t *testing.T, ill illness, policy routing.Policy) result {
	const perSecond, seconds = 500, 4
	targets := &sixTargets{illness: ill, spread: rand.New(rand.NewPCG(1, 2))}
	owners := &fakeOwners{answer: targets.answer}
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
			answer := serve(n, "GET", "/tallies", nil)
			mu.Lock()
			defer mu.Unlock()
			if answer.Code == http.StatusOK && answer.Header().Get(callhttp.HeaderOutcome) == "" {
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
			got.atIll++
		}
	}
	return got
}

// One of six targets is ill, and its reports don't say so. The callers of
// tallies hardly notice: the node counts and times what it sent itself. In
// virtual time the figures repeat.
func TestOneIllTargetInSix(t *testing.T) {
	cases := []struct {
		illness illness
		// p99 is the longest wait that one in a hundred may pass.
		p99 time.Duration
	}{
		{well, 30 * time.Millisecond},
		{slow, 40 * time.Millisecond},
		{dead, 30 * time.Millisecond},
		{hung, 60 * time.Millisecond},
		{lying, 30 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(string(c.illness), func(t *testing.T) {
			results := map[string]result{}
			for name, policy := range map[string]routing.Policy{"random": random.Policy{}, "round robin": &roundrobin.Policy{}, "two choices": p2c.Policy{}} {
				synctest.Test(t, func(t *testing.T) { results[name] = tallies(t, c.illness, policy) })
			}
			for _, name := range []string{"random", "round robin", "two choices"} {
				r := results[name]
				t.Logf("%-12s answered %d, failed %d, p99 %s, attempts at the ill target %d", name, r.good, r.bad, r.p99.Round(100*time.Microsecond), r.atIll)
			}
			ours := results["two choices"]
			assert.Check(t, ours.bad == 0, "%d failed", ours.bad)
			assert.Check(t, ours.p99 <= c.p99, "p99 %s", ours.p99)
		})
	}
}
