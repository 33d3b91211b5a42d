// Package cli implements the command line of tamarackload: bounded load on loopback,
// paired runs, and experiments in virtual time.
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

// Dependencies are provided to the command line by the program.
type Dependencies struct {
	// Digest returns the hex SHA-256 of an archive, given its path and size. It must
	// match the archives that the targets under load generate.
	Digest      func(path string, size int64) string
	Experiments []experiment.Experiment
}

// New returns the root command of tamarackload.
func New(dependencies Dependencies) *cobra.Command {
	root := &cobra.Command{
		Use:   "tamarackload",
		Short: "Send a bounded load to entry nodes on this machine, and run experiments",
		Long: "Send a bounded open-loop load to entry nodes on this machine, and run experiments in virtual time.\n\n" +
			"Latency is measured from the scheduled time of a call. Every response is checked. " +
			"Only loopback addresses are accepted.\nExit codes: 0 success, 1 a wrong response was received, 2 any other error.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRun(dependencies), newPair(dependencies), newExperiment(dependencies.Experiments))
	return root
}

// ErrWrongResponse is returned for a run in which a caller received a complete response
// that did not belong to its call.
var ErrWrongResponse = errors.New("a wrong response was received")

// Exit codes of tamarackload.
const (
	ExitOK            = 0
	ExitWrongResponse = 1
	ExitError         = 2
)

// ExitCode returns the exit code for a command's error.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrWrongResponse):
		return ExitWrongResponse
	}
	return ExitError
}

// flags are the flags that run and pair share.
type flags struct {
	config  load.Config
	mix     string
	signals []string
	json    string
	svg     string
}

func (f *flags) declare(c *cobra.Command) {
	set := c.Flags()
	set.StringVar(&f.config.Token, "token", "", "token of the callers")
	set.Float64Var(&f.config.Rate, "rate", 100, "calls per second")
	set.DurationVar(&f.config.Duration, "duration", 10*time.Second, "how long calls are sent and counted")
	set.DurationVar(&f.config.WarmUp, "warm-up", 2*time.Second, "how long calls are sent before they are counted")
	set.IntVar(&f.config.InFlightLimit, "in-flight", 512, "maximum calls in flight; calls above it are counted as not sent")
	set.StringVar(&f.mix, "mix", "tally=90,return=8,archive=2", "weights of the kinds of calls")
	set.Int64Var(&f.config.ArchiveBytes, "archive-bytes", 1<<20, "size of one archive")
	set.DurationVar(&f.config.Timeout, "timeout", 30*time.Second, "timeout of a call")
	set.Uint64Var(&f.config.Seed, "seed", 1, "seed of the random choice of calls")
	set.StringArrayVar(&f.signals, "signal", nil, "PID:NAME@TIME, a signal to send to a process that you started, for example 4711:KILL@2s")
	set.StringVar(&f.json, "json", "", "file to write the report to as JSON")
	set.StringVar(&f.svg, "svg", "", "file to write a plot of the latencies to")
}

// finish parses the flags that are given as text.
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

// write writes the report to the outputs that the flags select, and returns
// ErrWrongResponse if it has a wrong response.
func (f *flags) write(c *cobra.Command, r *report.Report) error {
	r.WriteText(c.OutOrStdout())
	if err := toFile(f.json, r.WriteJSON); err != nil {
		return err
	}
	if err := toFile(f.svg, r.WriteSVG); err != nil {
		return err
	}
	for i := range r.Runs {
		for _, kind := range r.Runs[i].Kinds {
			if n := kind.Outcomes[string(load.Wrong)]; n > 0 {
				return errors.Wrapf(ErrWrongResponse, "%s %s: %d", r.Runs[i].Name, kind.Name, n)
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

// commandLine returns the command with its flags for the report, without the token.
func commandLine(c *cobra.Command, args []string) string {
	parts := append([]string{c.CommandPath()}, args...)
	c.Flags().Visit(func(flag *pflag.Flag) {
		if flag.Name != "token" {
			parts = append(parts, fmt.Sprintf("--%s=%s", flag.Name, strings.Trim(flag.Value.String(), "[]")))
		}
	})
	return strings.Join(parts, " ")
}
