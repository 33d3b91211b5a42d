// Package cli is the command line of tamaracksoak.
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

// NewCommand returns the root command.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "tamaracksoak",
		Short:         "Run real nodes under injected faults and check the promises",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRunCommand(), newPlanCommand(), newCheckCommand(), newStoreCommand(), newTargetCommand())
	return root
}

// Bounds of what one invocation may do to the machine.
const (
	mostParallel = 8
	mostVMs      = 40
	leastLength  = 10 * time.Second
)

// errFindings is the error of runs in which a promise was broken.
var errFindings = errors.New("promises were broken")

type runOptions struct {
	node     string
	seed     uint64
	seeds    int
	parallel int
	length   time.Duration
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
		Short: "Play seeds and check the promises",
		Long: "Play seeds, each with a fleet of its own, and check the promises. A seed gives the plan of faults and what\n" +
			"callers ask for; the machine's own timing is not repeated. Exit code 1 when a promise was broken.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return o.run(command.Context(), command.OutOrStdout()) },
	}
	flags := command.Flags()
	flags.StringVar(&o.node, "node", "", "path of tamarackd; the one beside this program if empty")
	flags.Uint64Var(&o.seed, "seed", 1, "the first seed")
	flags.IntVar(&o.seeds, "seeds", 1, "how many seeds to play, from the first one on")
	flags.IntVar(&o.parallel, "parallel", 1, "how many to play at a time")
	flags.DurationVar(&o.length, "length", 20*time.Second, "for how long callers send")
	flags.IntVar(&o.vms, "vms", 6, "how many VMs")
	flags.StringVar(&o.keep, "keep", "", "folder for the history and logs of seeds with findings")
	flags.StringVar(&o.output, "output", "text", "text or json")
	flags.IntVar(&o.loopback, "loopback", usualLoopback, "second number of the addresses to use, for invocations side by side")
	flags.StringSliceVar(&o.faults, "faults", nil, "kinds of faults to carry out of each plan; all if empty")
	flags.BoolVar(&o.untimed, "untimed", false, "let the exit code tell only of promises without a bound in time, for busy machines")
	return command
}

func (o *runOptions) check() error {
	switch {
	case o.parallel < 1 || o.parallel > mostParallel:
		return errors.Errorf("--parallel must be 1 to %d", mostParallel)
	case o.vms < 4 || o.vms > mostVMs:
		return errors.Errorf("--vms must be 4 to %d", mostVMs)
	case o.loopback < usualLoopback || o.loopback > mostLoopback:
		return errors.Errorf("--loopback must be %d to %d", usualLoopback, mostLoopback)
	case o.length < leastLength:
		return errors.Errorf("--length must be %s or more", leastLength)
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
		return errors.Wrap(err, "this program's path")
	}
	if o.node == "" {
		o.node = filepath.Join(filepath.Dir(self), "tamarackd")
	}
	results, err := o.playAll(ctx, soak.Programs{Node: o.node, Self: self}, out)
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
	if slices.ContainsFunc(results, o.isRed) {
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

func (o *runOptions) isRed(r *soak.Result) bool {
	return slices.ContainsFunc(r.Findings, func(f soak.Finding) bool { return !o.untimed || !f.Promise.HasTimeBound() })
}

// playAll plays the seeds, so many at a time; the first run that can't be made
// ends it.
func (o *runOptions) playAll(ctx context.Context, programs soak.Programs, out io.Writer) ([]*soak.Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	seeds := make(chan uint64)
	results := make([]*soak.Result, o.seeds)
	var mu sync.Mutex
	var failed error
	var playing sync.WaitGroup
	for lane := range o.parallel {
		playing.Go(func() {
			for seed := range seeds {
				result, err := soak.Run(ctx, soak.Options{
					Programs: programs, Seed: seed, Duration: o.length, VMs: o.vms, SecondOctet: o.loopback + lane, KeepDir: o.keep, Kinds: o.kinds(),
				})
				mu.Lock()
				if err != nil && failed == nil {
					failed = err
					stop()
				}
				if err == nil {
					results[seed-o.seed] = result
					o.printOne(out, result)
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
	playing.Wait()
	return results, failed
}

// usualLoopback is the second number of the first run's loopback addresses, and
// each run beside it has the next one; the project's other tests use 127.0 and 127.64
// to 127.127.
const (
	usualLoopback = 140
	mostLoopback  = 250 - mostParallel
)

// shownFindings is how many findings of a seed are printed.
const shownFindings = 10

func (o *runOptions) printOne(out io.Writer, r *soak.Result) {
	if o.output != "text" {
		return
	}
	fmt.Fprintf(out, "seed %d: %d faults, %s, %d targets crashed, %d findings\n", r.Seed, len(r.Plan), outcomes(r.Outcomes), r.Crashes, len(r.Findings))
	for i, f := range r.Findings {
		if i == shownFindings {
			fmt.Fprintln(out, "  ...")
			break
		}
		fmt.Fprintf(out, "  %s %s: %s\n", f.Promise, f.Request, f.Detail)
	}
}

func outcomes(counts map[soak.Outcome]int) string {
	text, total := "", 0
	for _, outcome := range []soak.Outcome{soak.Answered, soak.Refused, soak.Unrouted, soak.Failed, soak.Broken, soak.Unsent, soak.Wrong} {
		total += counts[outcome]
		text += fmt.Sprintf(", %d %s", counts[outcome], outcome)
	}
	return fmt.Sprintf("%d requests%s", total, text)
}

func printTotal(out io.Writer, results []*soak.Result) {
	counts := map[soak.Outcome]int{}
	red := 0
	for _, r := range results {
		for outcome, n := range r.Outcomes {
			counts[outcome] += n
		}
		if len(r.Findings) > 0 {
			red++
		}
	}
	fmt.Fprintf(out, "%d seeds, %d with findings; %s\n", len(results), red, outcomes(counts))
}
