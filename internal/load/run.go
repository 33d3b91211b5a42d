package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackquay/internal/report"
	"tamarackquay/internal/wait"
)

// Call is one call to make.
type Call struct {
	Number int
	Kind   Kind
	Entry  string
}

// Caller makes a call and checks its response. Implementations must be safe for
// concurrent use.
type Caller interface {
	Do(ctx context.Context, call Call) Outcome
}

// Run sends the load and returns the results. It returns when every call has ended,
// with a response or by its timeout. Cancelling ctx cancels the calls in flight.
func Run(ctx context.Context, config Config, caller Caller) (report.Run, error) {
	if err := config.Check(); err != nil {
		return report.Run{}, err
	}
	g := &generator{
		config: config, caller: caller, recorder: newRecorder(),
		random: rand.New(rand.NewPCG(config.Seed, 0)), slots: make(chan struct{}, config.InFlightLimit),
	}
	start := time.Now()
	var signals sync.WaitGroup
	for _, signal := range config.Signals {
		signals.Go(func() { signal.deliver(ctx, start) })
	}
	g.send(ctx, start)
	g.pending.Wait()
	signals.Wait()
	run := g.recorder.result()
	run.Rate = config.Rate
	run.Seconds = config.Duration.Seconds()
	run.Seed = config.Seed
	return run, ctx.Err()
}

// generator sends calls at their scheduled times.
type generator struct {
	config   Config
	caller   Caller
	recorder *recorder
	random   *rand.Rand
	// slots holds one token for each call in flight.
	slots   chan struct{}
	pending sync.WaitGroup
}

func (g *generator) send(ctx context.Context, start time.Time) {
	interval := g.config.interval()
	for number := range g.config.totalCalls() {
		scheduled := start.Add(time.Duration(number) * interval)
		if !wait.Sleep(ctx, time.Until(scheduled)) {
			return
		}
		call := Call{Number: number, Kind: g.config.Mix.pick(g.random.IntN(g.config.Mix.total())),
			Entry: g.config.Entries[number%len(g.config.Entries)]}
		counted := scheduled.Sub(start) >= g.config.WarmUp
		select {
		case g.slots <- struct{}{}:
			g.pending.Go(func() { g.call(ctx, call, scheduled, counted) })
		default:
			g.record(counted, call.Kind, NotSent, 0)
		}
	}
}

func (g *generator) call(ctx context.Context, call Call, scheduled time.Time, counted bool) {
	defer func() { <-g.slots }()
	delay := time.Since(scheduled)
	ctx, cancel := context.WithTimeout(ctx, g.config.Timeout)
	defer cancel()
	outcome := g.caller.Do(ctx, call)
	g.record(counted, call.Kind, outcome, time.Since(scheduled))
	if counted {
		g.recorder.addDelay(delay)
	}
}

func (g *generator) record(counted bool, kind Kind, outcome Outcome, took time.Duration) {
	if counted {
		g.recorder.add(kind, outcome, took)
	}
}
