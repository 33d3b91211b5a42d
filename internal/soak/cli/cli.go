// Package cli implements the command line of tamaracksoak.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/soak"
)

// New returns the root command of tamaracksoak.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "tamaracksoak",
		Short:         "Run real nodes under injected faults and check the promises",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRunCommand(), newPlanCommand(), newCheckCommand(), newStoreCommand(), newTargetCommand())
	return root
}

// Limits of one invocation, which protect the machine.
const (
	maxParallel = 8
	maxVMs      = 40
	minDuration = 10 * time.Second
)

// errFindings is returned when a run broke a promise.
var errFindings = errors.New("promises were broken")

type runOptions struct {
	node     string
	seed     uint64
	seeds    int
	parallel int
	duration time.Duration
	vms      int
	keep     string
	output   string
	untimed  bool
	faults   []string
	loopback int
}

func newRunCommand() *cobra.Command {
	var o runOptions
	command := &cobra.Command{
		Use:   "run",
		Short: "Run seeds and check the promises",
		Long: "Run seeds, each with a fleet of its own, and check the promises. A seed determines the plan of faults and the\n" +
			"requests of callers, but not the timing of the machine. The exit code is 1 if a promise was broken.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return o.run(command.Context(), command.OutOrStdout()) },
	}
	flags := command.Flags()
	flags.StringVar(&o.node, "node", "", "path of tamarackd; if empty, the one in the folder of this program")
	flags.Uint64Var(&o.seed, "seed", 1, "the first seed")
	flags.IntVar(&o.seeds, "seeds", 1, "number of seeds to run, counted from the first one")
	flags.IntVar(&o.parallel, "parallel", 1, "number of seeds to run at the same time")
	flags.DurationVar(&o.duration, "length", 20*time.Second, "how long callers send requests")
	flags.IntVar(&o.vms, "vms", 6, "number of VMs")
	flags.StringVar(&o.keep, "keep", "", "folder for the history and logs of seeds with findings")
	flags.StringVar(&o.output, "output", "text", "text or json")
	flags.IntVar(&o.loopback, "loopback", defaultLoopback, "second octet of the loopback addresses; give parallel invocations different ones")
	flags.StringSliceVar(&o.faults, "faults", nil, "kinds of faults to inject from each plan; all if empty")
	flags.BoolVar(&o.untimed, "untimed", false, "ignore promises with a time bound in the exit code, for overloaded machines")
	return command
}

func (o *runOptions) check() error {
	switch {
	case o.parallel < 1 || o.parallel > maxParallel:
		return errors.Errorf("--parallel must be 1 to %d", maxParallel)
	case o.vms < 4 || o.vms > maxVMs:
		return errors.Errorf("--vms must be 4 to %d", maxVMs)
	case o.loopback < defaultLoopback || o.loopback > maxLoopback:
		return errors.Errorf("--loopback must be %d to %d", defaultLoopback, maxLoopback)
	case o.duration < minDuration:
		return errors.Errorf("--length must be %s or more", minDuration)
	case o.output != "text" && o.output != "json":
		return errors.Errorf("--output must be text or json, not %q", o.output)
	}
	return nil
}

func (o *runOptions) run(ctx context.Context, out io.Writer) error {
	if err := o.check(); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "determine path of this program")
	}
	if o.node == "" {
		o.node = filepath.Join(filepath.Dir(self), "tamarackd")
	}
	results, err := o.runSeeds(ctx, soak.Programs{Node: o.node, Self: self}, out)
	if err != nil {
		return err
	}
	if o.output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(results); err != nil {
			return err
		}
	} else {
		printTotal(out, results)
	}
	if slices.ContainsFunc(results, o.isFailure) {
		return errFindings
	}
	return nil
}

func (o *runOptions) kinds() []soak.Kind {
	var kinds []soak.Kind
	for _, name := range o.faults {
		kinds = append(kinds, soak.Kind(name))
	}
	return kinds
}

func (o *runOptions) isFailure(r *soak.Result) bool {
	return slices.ContainsFunc(r.Findings, func(f soak.Finding) bool { return !o.untimed || !f.Promise.HasTimeBound() })
}

// runSeeds runs the seeds, o.parallel at a time, and stops at the first run that
// can't be completed.
func (o *runOptions) runSeeds(ctx context.Context, programs soak.Programs, out io.Writer) ([]*soak.Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	seeds := make(chan uint64)
	results := make([]*soak.Result, o.seeds)
	var mu sync.Mutex
	var failed error
	var workers sync.WaitGroup
	for worker := range o.parallel {
		workers.Go(func() {
			for seed := range seeds {
				result, err := soak.Run(ctx, soak.Options{
					Programs: programs, Seed: seed, Duration: o.duration, VMs: o.vms, SecondOctet: o.loopback + worker, KeepDir: o.keep, Kinds: o.kinds(),
				})
				mu.Lock()
				if err != nil && failed == nil {
					failed = err
					stop()
				}
				if err == nil {
					results[seed-o.seed] = result
					o.printResult(out, result)
				}
				mu.Unlock()
			}
		})
	}
	for i := range o.seeds {
		if ctx.Err() != nil {
			break
		}
		seeds <- o.seed + uint64(i)
	}
	close(seeds)
	workers.Wait()
	return results, failed
}

// Second octets of loopback addresses. Each parallel run uses the next one. Other
// tests of the project use 127.0 and 127.64 to 127.127.
const (
	defaultLoopback = 140
	maxLoopback     = 250 - maxParallel
)

// maxPrintedFindings bounds the printed findings of one seed.
const maxPrintedFindings = 10

func (o *runOptions) printResult(out io.Writer, r *soak.Result) {
	if o.output != "text" {
		return
	}
	fmt.Fprintf(out, "seed %d: %d faults, %s, %d targets crashed, %d findings\n", r.Seed, len(r.Plan), outcomes(r.Outcomes), r.Crashes, len(r.Findings))
	for i, f := range r.Findings {
		if i == maxPrintedFindings {
			fmt.Fprintln(out, "  ...")
			break
		}
		fmt.Fprintf(out, "  %s %s: %s\n", f.Promise, f.Request, f.Detail)
	}
}

func outcomes(counts map[soak.Outcome]int) string {
	text, total := "", 0
	for _, outcome := range []soak.Outcome{soak.Answered, soak.Refused, soak.Unrouted, soak.Failed, soak.Broken, soak.Unreachable, soak.Wrong} {
		total += counts[outcome]
		text += fmt.Sprintf(", %d %s", counts[outcome], outcome)
	}
	return fmt.Sprintf("%d requests%s", total, text)
}

func printTotal(out io.Writer, results []*soak.Result) {
	counts := map[soak.Outcome]int{}
	withFindings := 0
	for _, r := range results {
		for outcome, n := range r.Outcomes {
			counts[outcome] += n
		}
		if len(r.Findings) > 0 {
			withFindings++
		}
	}
	fmt.Fprintf(out, "%d seeds, %d with findings; %s\n", len(results), withFindings, outcomes(counts))
}
