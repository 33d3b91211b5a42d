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

// Options configures one run.
type Options struct {
	Programs Programs
	Seed     uint64
	// Duration is how long callers send requests, VMs the number of VMs.
	Duration time.Duration
	VMs      int
	// Kinds limits the plan to these kinds of faults. Empty means all.
	Kinds []Kind
	// SecondOctet is the second octet of the run's loopback addresses.
	SecondOctet int
	// KeepDir is the folder for the history and the logs of a run with findings.
	// Empty means that they aren't saved.
	KeepDir string
}

// Result is the result of one run.
type Result struct {
	Seed     uint64          `json:"seed"`
	Plan     []Fault         `json:"plan"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Crashes is the number of targets that requests crashed.
	Crashes  int       `json:"crashes"`
	Findings []Finding `json:"findings"`
}

// Run runs one seed. It returns an error only if the run could not be completed;
// broken promises are reported in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "tamaracksoak")
	if err != nil {
		return nil, errors.Wrap(err, "create soak directory")
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
	records, err := f.run(ctx, o, plan)
	if err != nil {
		// A fleet that doesn't recover is a finding as well, so save the logs.
		if saveErr := f.saveLogs(o); saveErr != nil {
			err = errors.WithMessage(err, saveErr.Error())
		}
		return nil, errors.Wrapf(err, "seed %d", o.Seed)
	}
	if ctx.Err() != nil {
		// An aborted run has no valid result.
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
	return result, f.saveRun(o, history)
}

// run sends the load and injects the faults of the plan at the same time.
func (f *fleet) run(ctx context.Context, o Options, plan []Fault) ([]Record, error) {
	rec := f.recorder
	loadCtx, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	var callers sync.WaitGroup
	callers.Go(func() { f.runCallers(loadCtx, o.Seed, rec) })
	err := f.inject(loadCtx, plan)
	if err != nil {
		stop()
	}
	callers.Wait()
	// Requests that a suspended or partitioned node still runs for disconnected
	// callers must be in the history too.
	wait.Sleep(ctx, stabilityWindow/2)
	return rec.records, err
}

func (f *fleet) history(records []Record) (*History, error) {
	entries, err := f.readLedgers()
	if err != nil {
		return nil, err
	}
	h := &History{Records: records, Entries: entries, Events: f.events, Targets: map[string]int{}}
	for _, m := range f.vms {
		h.Services = append(h.Services, m.service)
	}
	for i, instance := range f.instances {
		h.Targets[instance.name] = f.instances[i].vm
	}
	slices.SortFunc(h.Events, func(a, b Event) int { return int(a.Begin - b.Begin) })
	return h, nil
}
