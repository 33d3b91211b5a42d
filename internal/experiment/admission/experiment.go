// Package admission measures the decisions of internal/admission in virtual time. It
// simulates the targets of one service, a seeded stream of requests, and the choice
// of a target at the entry node. It has no network and no nodes, and every run with
// the same seed gives the same results.
//
// Experiments are paired: all policies and placements get the same requests.
package admission

import (
	"context"
	"io"
	"runtime"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"tamarackquay/internal/experiment"
)

// Config configures the experiment.
type Config struct {
	// Seed is the seed of all random numbers.
	Seed uint64
	// Seconds is the measured virtual time of each run. A warm-up of a tenth of it
	// runs before.
	Seconds float64
	// QueuePerSlot bounds the queues, in requests per slot, for all policies.
	QueuePerSlot int
}

// DefaultConfig returns the configuration of the results in
// docs/measurements/admission.md.
func DefaultConfig() Config { return Config{Seed: 1, Seconds: 30, QueuePerSlot: 8} }

// Deployment is the number and size of the targets of one service.
type Deployment struct {
	Name    string `json:"name"`
	Targets int    `json:"targets"`
	Slots   int    `json:"slots"`
}

// capacity returns the number of slots of all targets.
func (d Deployment) capacity() int { return d.Targets * d.Slots }

// The users' current deployments.
var (
	CoOperative     = Deployment{Name: "co-operative", Targets: 6, Slots: 12}
	LightingRecords = Deployment{Name: "lighting-records", Targets: 6, Slots: 18}
)

// Loads are the measured total demands, as multiples of the capacity.
var Loads = []float64{0.8, 1.2, 3, 10}

// lookupSeconds is the mean service time of a short request.
const lookupSeconds = 0.05

// Experiment implements experiment.Experiment.
type Experiment struct{}

var _ experiment.Experiment = Experiment{}

// Name implements experiment.Experiment.
func (Experiment) Name() string { return "admission" }

// Summary implements experiment.Experiment.
func (Experiment) Summary() string {
	return "contracts under overload, compared with first come, first served and a fixed partition"
}

// quickSeconds is the virtual time of a quick run.
const quickSeconds = 2

// Run implements experiment.Experiment.
func (Experiment) Run(ctx context.Context, w io.Writer, options experiment.Options) error {
	config := DefaultConfig()
	config.Seed = options.Seed
	if options.Quick {
		config.Seconds = quickSeconds
	}
	report, err := Run(ctx, config)
	if err != nil {
		return err
	}
	return report.WriteText(w)
}

// Run performs all runs of the experiment and returns the report. Runs share no
// state and are performed in parallel; the report doesn't depend on the order in
// which they end.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := config.check(); err != nil {
		return Report{}, err
	}
	var plan []func() Result
	for _, deployment := range []Deployment{CoOperative, LightingRecords} {
		plan = append(plan, planRuns(config, deployment)...)
	}
	report := Report{Config: config, Runs: make([]Result, len(plan))}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, run := range plan {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			report.Runs[i] = run()
			return nil
		})
	}
	return report, group.Wait()
}

func (c Config) check() error {
	if !(c.Seconds > 0 && c.Seconds <= 3600) {
		return errors.Errorf("seconds is %v, must be above 0 and at most 3600", c.Seconds)
	}
	if c.QueuePerSlot < 1 {
		return errors.Errorf("queue per slot is %d, must be at least 1", c.QueuePerSlot)
	}
	return nil
}

// planRuns returns the runs of one deployment.
func planRuns(config Config, deployment Deployment) []func() Result {
	var plan []func() Result
	add := func(run func() Result) { plan = append(plan, run) }
	for _, load := range Loads {
		for _, policy := range Policies {
			add(func() Result { return Overload(config, deployment, load, policy) })
		}
	}
	for _, bound := range []int{2, 4, 6, 8, 12} {
		add(func() Result { return QueueBound(config, deployment, bound) })
	}
	for _, multiple := range []float64{0, 1, 5, 20} {
		for _, policy := range Policies {
			add(func() Result { return Classes(config, deployment, multiple, policy) })
		}
	}
	for _, load := range Loads {
		for _, placement := range Placements {
			add(func() Result { return ComparePlacement(config, deployment, load, placement) })
		}
	}
	for _, placement := range []Placement{PlaceNear, PlaceInRegion} {
		add(func() Result { return OneRegion(config, deployment, placement) })
	}
	for _, fraction := range []float64{0, 0.25, 0.5, 1} {
		add(func() Result { return LongRequests(config, deployment, fraction) })
	}
	for _, load := range []float64{0.3, 0.6, 1.2} {
		for _, inner := range []int{1, 2} {
			add(func() Result { return Cycle(config, deployment, inner, load, true, PolicyFirstCome) })
			add(func() Result { return Cycle(config, deployment, inner, load, false, PolicyShares) })
			add(func() Result { return Cycle(config, deployment, inner, load, true, PolicyShares) })
		}
	}
	for _, partitioned := range []bool{false, true} {
		add(func() Result { return Limit(config, deployment, partitioned) })
	}
	return plan
}
