package soak

import (
	"context"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/wait"
)

// Options are those of one run.
type Options struct {
	Programs Programs
	Seed     uint64
	// Length is for how long callers send, VMs how many nodes there are.
	Duration time.Duration
	VMs      int
	// Kinds are the faults of the plan that are carried out; all without any.
	Kinds []Kind
	// Net16 is the second number of the loopback addresses that the run uses.
	SecondOctet int
	// Keep is where the history and the logs of a run with findings go; empty for
	// nowhere.
	KeepDir string
}

// Result is what came of one run.
type Result struct {
	Seed     uint64          `json:"seed"`
	Plan     []Fault         `json:"plan"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Crashes counts the targets that a request crashed.
	Crashes  int       `json:"crashes"`
	Findings []Finding `json:"findings"`
}

// Run plays one seed. The error is for runs that could not be made; broken
// promises stand in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "tamaracksoak")
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	defer os.RemoveAll(dir)
	f, err := newFleet(o.Programs, dir, o.SecondOctet, o.VMs)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, errors.Wrapf(err, "seed %d", o.Seed)
	}
	plan := NewPlan(o.Seed, o.Duration, o.VMs)
	if len(o.Kinds) > 0 {
		plan = FilterKinds(plan, o.Kinds)
	}
	records, err := f.play(ctx, o, plan)
	if err != nil {
		// A fleet that doesn't come back is a finding, too.
		if keepErr := f.keepLogs(o); keepErr != nil {
			err = errors.WithMessage(err, keepErr.Error())
		}
		return nil, errors.Wrapf(err, "seed %d", o.Seed)
	}
	if ctx.Err() != nil {
		// Half a run proves nothing.
		return nil, ctx.Err()
	}
	history, err := f.history(records)
	if err != nil {
		return nil, errors.Wrapf(err, "seed %d", o.Seed)
	}
	result := &Result{Seed: o.Seed, Plan: plan, Outcomes: map[Outcome]int{}, Findings: Check(history)}
	for _, r := range records {
		result.Outcomes[r.Outcome]++
	}
	for i := range history.Events {
		if history.Events[i].Kind == TargetCrashed {
			result.Crashes++
		}
	}
	if len(result.Findings) == 0 {
		return result, nil
	}
	return result, f.keep(o, history)
}

// play sends the load and carries out the plan beside it.
func (f *fleet) play(ctx context.Context, o Options, plan []Fault) ([]Record, error) {
	b := f.book
	loadCtx, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	var loading sync.WaitGroup
	loading.Go(func() { f.load(loadCtx, o.Seed, b) })
	err := f.inject(loadCtx, plan)
	if err != nil {
		stop()
	}
	loading.Wait()
	// What a frozen or cut node still does for callers that have gone is seen too.
	wait.Sleep(ctx, stability/2)
	return b.records, err
}

func (f *fleet) history(records []Record) (*History, error) {
	entries, err := f.ledgers()
	if err != nil {
		return nil, err
	}
	h := &History{Records: records, Entries: entries, Events: f.events, Targets: map[string]int{}}
	for _, m := range f.vms {
		h.Services = append(h.Services, m.service)
	}
	for i, instance := range f.started {
		h.Targets[instance.name] = f.started[i].vm
	}
	slices.SortFunc(h.Events, func(a, b Event) int { return int(a.Begin - b.Begin) })
	return h, nil
}
