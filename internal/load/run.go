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

// Caller makes a call and checks its answer. Implementations are safe for
// concurrent use.
type Caller interface {
	Do(ctx context.Context, call Call) Outcome
}

// Run sends the load and returns what came of it. It ends when every call has
// ended, by its answer or its timeout; ending ctx cancels what is open.
func Run(ctx context.Context, config Config, caller Caller) (report.Run, error) {
	if err := config.Check(); err != nil {
		return report.Run{}, err
	}
	g := &generator{
		config: config, caller: caller, recorder: newRecorder(),
		random: rand.New(rand.NewPCG(config.Seed, 0)), room: make(chan struct{}, config.InFlight),
	}
	start := time.Now()
	var signals sync.WaitGroup
	for _, signal := range config.Signals {
		signals.Go(func() { signal.deliver(ctx, start) })
	}
	g.send(ctx, start)
	g.open.Wait()
	signals.Wait()
	run := g.recorder.result()
	run.Rate = config.Rate
	run.Seconds = config.Duration.Seconds()
	run.Seed = config.Seed
	return run, ctx.Err()
}

// generator sends calls at their intended times.
type generator struct {
	config   Config
	caller   Caller
	recorder *recorder
	random   *rand.Rand
	// room holds one token for each open call.
	room chan struct{}
	open sync.WaitGroup
}

func (g *generator) send(ctx context.Context, start time.Time) {
	interval := g.config.interval()
	for number := range g.config.calls() {
		intended := start.Add(time.Duration(number) * interval)
		if !wait.Sleep(ctx, time.Until(intended)) {
			return
		}
		call := Call{Number: number, Kind: g.config.Mix.pick(g.random.IntN(g.config.Mix.total())),
			Entry: g.config.Entries[number%len(g.config.Entries)]}
		counted := intended.Sub(start) >= g.config.WarmUp
		select {
		case g.room <- struct{}{}:
			g.open.Go(func() { g.call(ctx, call, intended, counted) })
		default:
			g.note(counted, call.Kind, NotSent, 0)
		}
	}
}

func (g *generator) call(ctx context.Context, call Call, intended time.Time, counted bool) {
	defer func() { <-g.room }()
	late := time.Since(intended)
	ctx, cancel := context.WithTimeout(ctx, g.config.Timeout)
	defer cancel()
	outcome := g.caller.Do(ctx, call)
	g.note(counted, call.Kind, outcome, time.Since(intended))
	if counted {
		g.recorder.late(late)
	}
}

func (g *generator) note(counted bool, kind Kind, outcome Outcome, took time.Duration) {
	if counted {
		g.recorder.add(kind, outcome, took)
	}
}
