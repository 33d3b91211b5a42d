// Package largeanswers plays large answers that share the link of a target's VM, in
// virtual time: how many are in time by the order in which they are sent, and how
// many are taken at all. It has no network, and every run with the same seed gives
// the same figures.
package largeanswers

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"tamarackquay/internal/experiment"
	"tamarackquay/internal/link"
)

// Load is what callers ask of one VM.
type Load struct {
	// Link is the speed of the VM's link in bytes a second.
	Link float64
	// Size is the mean of the answers in bytes, Hold how long the target takes for
	// one on average, Within the time in which callers want it.
	Size        float64
	ServiceTime time.Duration
	Timeout     time.Duration
	// Demand is what is asked for, as a multiple of what the link carries.
	Demand float64
	// Arrivals is how many answers are asked for.
	Arrivals int
}

// Archives is the load of the users' largest archives: 280 KB over 22.4 Mbit/s.
var Archives = Load{Link: 22.4e6 / 8, Size: 280e3, ServiceTime: 210 * time.Millisecond, Timeout: 1200 * time.Millisecond, Demand: 1.5, Arrivals: 3000}

// spread is that of the logarithm of sizes and of the target's times.
const spread = 0.5

// Order says which of the answers that are ready is sent next: the one with the
// earliest moment.
type Order struct {
	Name string
	Key  func(a Response, within time.Duration) time.Time
}

// The orders that are compared.
var (
	ReadyFirst    = Order{"ready first", func(a Response, _ time.Duration) time.Time { return a.Ready }}
	DeadlineFirst = Order{"due first", func(a Response, within time.Duration) time.Time { return a.Arrived.Add(within) }}
)

// Answer is one answer that was taken.
type Response struct {
	Arrived, Ready time.Time
	Size           float64
}

// start is when the plays begin; any moment serves.
var start = time.Unix(1_000_000, 0)

// Taken returns the answers that the link's share takes, in the order in which they
// are ready.
func (l Load) Admitted(seed uint64) []Response {
	random := rand.New(rand.NewPCG(seed, 2))
	logNormal := func() float64 { return math.Exp(spread*random.NormFloat64() - spread*spread/2) }
	share := link.NewPacer(l.Link)
	between := l.Size / share.Rate() / l.Demand * float64(time.Second)
	var taken []Response
	now := start
	for range l.Arrivals {
		now = now.Add(time.Duration(random.ExpFloat64() * between))
		size, hold := l.Size*logNormal(), time.Duration(float64(l.ServiceTime)*logNormal())
		if _, ok := share.Admit(now, l.Size, l.Timeout-3*l.ServiceTime/2); !ok {
			continue
		}
		share.CorrectSize(l.Size, size)
		taken = append(taken, Response{Arrived: now, Ready: now.Add(hold), Size: size})
	}
	slices.SortFunc(taken, func(a, b Response) int { return a.Ready.Compare(b.Ready) })
	return taken
}

// InTime sends the answers in an order, one after another, and returns which part
// of them came within the time that callers want.
func (l Load) OnTimeFraction(answers []Response, order Order) float64 {
	var q link.TransferQueue
	for range link.MaxConcurrent {
		q.Start(&link.Transfer{})
	}
	rate := link.NewPacer(l.Link).Rate()
	waiting := map[*link.Transfer]Response{}
	now, good, next := start, 0, 0
	for next < len(answers) || len(waiting) > 0 {
		if len(waiting) == 0 && answers[next].Ready.After(now) {
			now = answers[next].Ready
		}
		for ; next < len(answers) && !answers[next].Ready.After(now); next++ {
			turn := &link.Transfer{Deadline: order.Key(answers[next], l.Timeout)}
			waiting[turn] = answers[next]
			q.Start(turn)
		}
		turn := q.Finish()
		now = now.Add(time.Duration(waiting[turn].Size / rate * float64(time.Second)))
		if now.Sub(waiting[turn].Arrived) <= l.Timeout {
			good++
		}
		delete(waiting, turn)
	}
	return float64(good) / float64(len(answers))
}

// Experiment implements experiment.Experiment.
type Experiment struct{}

var _ experiment.Experiment = Experiment{}

// Name implements experiment.Experiment.
func (Experiment) Name() string { return "large-answers" }

// Summary implements experiment.Experiment.
func (Experiment) Summary() string {
	return "answers that share a VM's link: which part is taken, and in time, by the order in which they are sent"
}

// demands are those that are compared, as multiples of what the link carries.
var demands = []float64{0.7, 0.9, 1.1, 1.5, 3}

// Run implements experiment.Experiment.
func (Experiment) Run(ctx context.Context, w io.Writer, options experiment.Options) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "demand\ttaken\tin time, ready first\tin time, due first")
	for _, demand := range demands {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		load := Archives
		load.Demand = demand
		taken := load.Admitted(options.Seed)
		fmt.Fprintf(table, "%.1f\t%.3f\t%.3f\t%.3f\n", demand, float64(len(taken))/float64(load.Arrivals),
			load.OnTimeFraction(taken, ReadyFirst), load.OnTimeFraction(taken, DeadlineFirst))
	}
	return table.Flush()
}
