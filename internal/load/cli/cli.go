// Package cli is the command line of tamarackload: bounded load on loopback,
// paired runs, and experiments on virtual time.
package cli

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"tamarackquay/internal/experiment"
	"tamarackquay/internal/load"
	"tamarackquay/internal/report"
)

// Wiring is what the program hands to its command line.
type Dependencies struct {
	// Digest gives the hex SHA-256 of an archive by its path and size, as the
	// targets under load make them.
	Digest      func(path string, size int64) string
	Experiments []experiment.Experiment
}

// New returns the whole command line.
func New(wiring Dependencies) *cobra.Command {
	root := &cobra.Command{
		Use:   "tamarackload",
		Short: "Put a bounded load on entry nodes of this machine, and run experiments",
		Long: "Put a bounded open-loop load on entry nodes of this machine, and run experiments on virtual time.\n\n" +
			"Waits are counted from the time at which a call was meant to be sent. Every answer is checked. " +
			"Addresses off loopback are refused.\nExit codes: 0 fine, 1 a wrong answer was seen, 2 wrong usage.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRun(wiring), newPair(wiring), newExperiment(wiring.Experiments))
	return root
}

// ErrWrongAnswer ends a run in which a caller got a whole answer that was not
// the answer to its call.
var ErrWrongAnswer = errors.New("a wrong answer was seen")

// Exit codes of tamarackload.
const (
	ExitFine  = 0
	ExitWrong = 1
	ExitUsage = 2
)

// ExitCode is the exit code that a command's error stands for.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitFine
	case errors.Is(err, ErrWrongAnswer):
		return ExitWrong
	}
	return ExitUsage
}

// flags are those of run and pair alike.
type flags struct {
	config  load.Config
	mix     string
	signals []string
	json    string
	svg     string
}

func (f *flags) declare(c *cobra.Command) {
	set := c.Flags()
	set.StringVar(&f.config.Token, "token", "", "the callers' token")
	set.Float64Var(&f.config.Rate, "rate", 100, "calls a second")
	set.DurationVar(&f.config.Duration, "duration", 10*time.Second, "how long calls are sent and counted")
	set.DurationVar(&f.config.WarmUp, "warm-up", 2*time.Second, "how long calls are sent before they count")
	set.IntVar(&f.config.InFlight, "in-flight", 512, "calls that may be open at a time; more are counted as not sent")
	set.StringVar(&f.mix, "mix", "tally=90,return=8,archive=2", "weights of the kinds of calls")
	set.Int64Var(&f.config.ArchiveBytes, "archive-bytes", 1<<20, "size of one archive")
	set.DurationVar(&f.config.Timeout, "timeout", 30*time.Second, "when a call is given up")
	set.Uint64Var(&f.config.Seed, "seed", 1, "starts the choice of calls")
	set.StringArrayVar(&f.signals, "signal", nil, "PID:NAME@TIME, a signal to a process that you started, for example 4711:KILL@2s")
	set.StringVar(&f.json, "json", "", "file to write the report to as JSON")
	set.StringVar(&f.svg, "svg", "", "file to write a plot of the waits to")
}

// finish reads the flags that are written as text.
func (f *flags) finish() error {
	mix, err := load.ParseMix(f.mix)
	if err != nil {
		return errors.Wrap(err, "--mix")
	}
	f.config.Mix = mix
	for _, text := range f.signals {
		signal, err := load.ParseSignal(text)
		if err != nil {
			return errors.Wrap(err, "--signal")
		}
		f.config.Signals = append(f.config.Signals, signal)
	}
	return nil
}

// write puts the report where the flags say and judges it.
func (f *flags) write(c *cobra.Command, r *report.Report) error {
	r.Text(c.OutOrStdout())
	if err := toFile(f.json, r.JSON); err != nil {
		return err
	}
	if err := toFile(f.svg, r.SVG); err != nil {
		return err
	}
	for i := range r.Runs {
		for _, kind := range r.Runs[i].Kinds {
			if n := kind.Outcomes[string(load.Wrong)]; n > 0 {
				return errors.Wrapf(ErrWrongAnswer, "%s %s: %d", r.Runs[i].Name, kind.Name, n)
			}
		}
	}
	return nil
}

func toFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// commandLine is the command as typed, for the report, without the token.
func commandLine(c *cobra.Command, args []string) string {
	parts := append([]string{c.CommandPath()}, args...)
	c.Flags().Visit(func(flag *pflag.Flag) {
		if flag.Name != "token" {
			parts = append(parts, fmt.Sprintf("--%s=%s", flag.Name, strings.Trim(flag.Value.String(), "[]")))
		}
	})
	return strings.Join(parts, " ")
}
