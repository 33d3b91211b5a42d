// Package largeanswers simulates large responses that share the link of a target's VM,
// in virtual time. It measures how many are admitted, and how many are in time,
// depending on the order in which they are sent. It has no network, and every run with
// the same seed gives the same results.
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

// Load is the load of callers on one VM.
type Load struct {
	// Link is the speed of the VM's link in bytes a second.
	Link float64
	// Size is the mean size of responses in bytes, ServiceTime the mean time that the
	// target takes for one, Timeout the time in which callers must receive it.
	Size        float64
	ServiceTime time.Duration
	Timeout     time.Duration
	// Demand is the requested rate as a multiple of the usable rate of the link.
	Demand float64
	// Arrivals is the number of requests.
	Arrivals int
}

// Archives is the load of the users' largest archives: 280 KB over 22.4 Mbit/s.
var Archives = Load{Link: 22.4e6 / 8, Size: 280e3, ServiceTime: 210 * time.Millisecond, Timeout: 1200 * time.Millisecond, Demand: 1.5, Arrivals: 3000}

// logStdDev is the standard deviation of the logarithm of sizes and service times.
const logStdDev = 0.5

// Order determines the order in which ready responses are sent: the one with the
// earliest key is sent next.
type Order struct {
	Name string
	Key  func(r Response, timeout time.Duration) time.Time
}

// The compared orders.
var (
	ReadyFirst    = Order{"ready first", func(r Response, _ time.Duration) time.Time { return r.Ready }}
	DeadlineFirst = Order{"due first", func(r Response, timeout time.Duration) time.Time { return r.Arrived.Add(timeout) }}
)

// Response is one admitted response.
type Response struct {
	Arrived, Ready time.Time
	Size           float64
}

// start is the start of the simulated time. Its value is arbitrary.
var start = time.Unix(1_000_000, 0)

// Admitted returns the responses that the link's pacer admits, in the order in which
// they are ready.
func (l Load) Admitted(seed uint64) []Response {
	random := rand.New(rand.NewPCG(seed, 2))
	logNormal := func() float64 { return math.Exp(logStdDev*random.NormFloat64() - logStdDev*logStdDev/2) }
	pacer := link.NewPacer(l.Link)
	var expected link.TransferQueue
	meanInterval := l.Size / pacer.Rate() / l.Demand * float64(time.Second)
	var admitted []Response
	now := start
	for range l.Arrivals {
		now = now.Add(time.Duration(random.ExpFloat64() * meanInterval))
		size, serviceTime := l.Size*logNormal(), time.Duration(float64(l.ServiceTime)*logNormal())
		transfer := &link.Transfer{Deadline: now.Add(l.Timeout), Size: l.Size}
		if _, ok := pacer.Admit(now, &expected, transfer, link.Terms{MaxWait: l.Timeout - 3*l.ServiceTime/2, Work: l.ServiceTime}); !ok {
			continue
		}
		expected.Cancel(transfer)
		pacer.CorrectSize(l.Size, size)
		admitted = append(admitted, Response{Arrived: now, Ready: now.Add(serviceTime), Size: size})
	}
	slices.SortFunc(admitted, func(a, b Response) int { return a.Ready.Compare(b.Ready) })
	return admitted
}

// OnTimeFraction sends the responses one after another in the given order, and returns
// the fraction that is complete within the timeout.
func (l Load) OnTimeFraction(responses []Response, order Order) float64 {
	var q link.TransferQueue
	for range link.MaxConcurrent {
		q.Start(&link.Transfer{})
	}
	rate := link.NewPacer(l.Link).Rate()
	waiting := map[*link.Transfer]Response{}
	now, onTime, next := start, 0, 0
	for next < len(responses) || len(waiting) > 0 {
		if len(waiting) == 0 && responses[next].Ready.After(now) {
			now = responses[next].Ready
		}
		for ; next < len(responses) && !responses[next].Ready.After(now); next++ {
			transfer := &link.Transfer{Deadline: order.Key(responses[next], l.Timeout), Size: responses[next].Size}
			waiting[transfer] = responses[next]
			q.Start(transfer)
		}
		transfer := q.Finish(now, rate)
		now = now.Add(time.Duration(waiting[transfer].Size / rate * float64(time.Second)))
		if now.Sub(waiting[transfer].Arrived) <= l.Timeout {
			onTime++
		}
		delete(waiting, transfer)
	}
	return float64(onTime) / float64(len(responses))
}

// Experiment implements experiment.Experiment.
type Experiment struct{}

var _ experiment.Experiment = Experiment{}

// Name implements experiment.Experiment.
func (Experiment) Name() string { return "large-answers" }

// Summary implements experiment.Experiment.
func (Experiment) Summary() string {
	return "responses that share a VM's link: the fractions admitted and in time, by the order of sending"
}

// demands are the compared demands, as multiples of the usable rate of the link.
var demands = []float64{0.7, 0.9, 1.1, 1.5, 3}

// downloadRates are the compared rates of downloads per second.
var downloadRates = []float64{73, 80, 90}

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
		admitted := load.Admitted(options.Seed)
		fmt.Fprintf(table, "%.1f\t%.3f\t%.3f\t%.3f\n", demand, float64(len(admitted))/float64(load.Arrivals),
			load.OnTimeFraction(admitted, ReadyFirst), load.OnTimeFraction(admitted, DeadlineFirst))
	}
	fmt.Fprintln(table, "\ndownloads/s from 6 links\tadmission and order\tin time\tlate\tlost\trefused")
	for _, rate := range downloadRates {
		for _, policy := range DownloadPolicies {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			load := SixLinks
			load.Rate = rate
			result := load.Run(options.Seed, policy)
			fmt.Fprintf(table, "%.0f\t%s\t%d\t%d\t%d\t%d\n", rate, policy.Name, result.InTime, result.Late, result.Lost, result.Refused)
		}
	}
	return table.Flush()
}
