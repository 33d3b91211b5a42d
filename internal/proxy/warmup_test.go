package proxy

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/mesh"
)

// withWarmup configures a warm-up rate for the service, and makes all targets report the given
// remaining warm-up time in milliseconds.
func (f *fleet) withWarmup(rate float64, remainingMillis int) {
	for i, target := range f.targets {
		p := f.proxies[i]
		p.config.WarmupOverage, p.config.WarmupSlack = 1, 4
		serve := target.serve
		target.serve = func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" {
				w.Header().Set(headers.TargetID, target.id)
				w.Header().Set(headers.Warmup, fmt.Sprint(remainingMillis))
				return
			}
			serve(w, r)
		}
		config := *f.table.Config
		config.Services = []mesh.Service{{Name: "s", HealthPath: "/health", WarmupTime: time.Second, WarmupRate: rate}}
		f.withRoutes(i, &config)
		p.doubtWarmup()
	}
}

// Guards against a target that falls over after its start because it gets as many requests as a
// warm one. It gets no more than the limit in any second while it reports that it warms up, and
// as many as its slots allow otherwise.
func TestWarmingTargetGetsNoMoreThanItTolerates(t *testing.T) {
	for _, test := range []struct {
		desc        string
		remaining   int
		most, least int
	}{
		{"warm", 0, math.MaxInt, 100},
		{"warms up", 60_000, 10 + 4, 8},
	} {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, 1)
			f.withWarmup(10, test.remaining)
			f.awaitWarmupAnswer(0)
			var mu sync.Mutex
			var runs []time.Time
			var callers sync.WaitGroup
			end := time.Now().Add(time.Second)
			for range 4 {
				callers.Go(func() {
					for time.Now().Before(end) {
						if f.send(0, "GET", "/idempotent/x", "").Code == http.StatusOK {
							mu.Lock()
							runs = append(runs, time.Now())
							mu.Unlock()
						}
					}
				})
			}
			callers.Wait()
			count := 0
			for _, at := range runs {
				if at.Sub(runs[0]) < time.Second {
					count++
				}
			}
			assert.Assert(t, count <= test.most && count >= test.least, "%d runs", count)
		})
	}
}

// awaitWarmupAnswer waits until the node's target has reported whether it warms up.
func (f *fleet) awaitWarmupAnswer(node int) {
	deadline := time.Now().Add(2 * time.Second)
	for f.proxies[node].warmupDoubted() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

func (p *Proxy) warmupDoubted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.warmup.tracker.Doubted()
}

// Guards against requests that a paused process started and sends all at once when it wakes, to a
// target that warms up.
func TestStartsBeforePauseAreNotSentToWarmingTarget(t *testing.T) {
	f := newFleet(t, 1)
	p := f.proxies[0]
	now := time.Now()
	assert.Assert(t, !p.startedTooLate(now, now.Add(-time.Second)), "a warm target")
	f.withWarmup(10, 60_000)
	assert.Assert(t, !p.startedTooLate(now, now.Add(-maxStartDelay)))
	assert.Assert(t, p.startedTooLate(now, now.Add(-maxStartDelay-1)))
}
