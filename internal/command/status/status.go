// Package status is tamarackctl's subcommand that asks nodes how they are.
package status

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/adapter/operatorhttp"
	"tamarackquay/internal/command"
	"tamarackquay/internal/command/nodes"
	"tamarackquay/internal/node"
	"tamarackquay/internal/snapshot"
)

// New returns the subcommand.
func New() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "status ADDRESS...",
		Short: "Show versions and their age across nodes, who lags, and what was refused and why",
		Long: "Show the state, the version in force and its age of each named node, which nodes lag behind the " +
			"newest version, and what was refused and why.\n\nA node that can't be reached is a line of the output. " +
			"The exit code is 1 if a node can't be reached, lags, is in another state than ready, or has lost contact with a failure domain.",
		Example: "  tamarackctl status 127.0.0.1:8302 127.0.0.1:8312\n" +
			"  tamarackctl status --nodes nodes.txt --wait 1.7 --timeout 15s",
		Args: cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, args []string) error { return o.run(c, args) },
	}
	c.Flags().StringVar(&o.wait, "wait", "", "wait until all nodes serve on this version (EPOCH.REVISION) or a newer one")
	c.Flags().DurationVar(&o.timeout, "timeout", defaultTimeout, "how long to wait")
	nodes.AddFlag(c, &o.file)
	command.AddFormat(c, &o.format)
	return c
}

// defaultTimeout is twice the time within which a change is to be in force.
const defaultTimeout = 30 * time.Second

type options struct {
	file    string
	format  command.Format
	wait    string
	timeout time.Duration
}

func (o *options) run(c *cobra.Command, args []string) error {
	addresses, err := nodes.Addresses(args, o.file)
	if err != nil {
		return err
	}
	r, err := o.report(c.Context(), addresses)
	if err != nil {
		return err
	}
	if o.format == command.FormatJSON {
		err = command.PrintJSON(c.OutOrStdout(), r)
	} else {
		r.print(c.OutOrStdout())
	}
	if err == nil && r.Findings > 0 {
		return command.ErrFindings
	}
	return err
}

func (o *options) report(ctx context.Context, addresses []string) (report, error) {
	ask := func() []nodes.Response[node.Status] {
		return nodes.Fetch[node.Status](ctx, addresses, operatorhttp.PathBriefStatus)
	}
	if o.wait == "" {
		return newReport(ask(), time.Now()), nil
	}
	version, err := snapshot.ParseVersion(o.wait)
	if err != nil {
		return report{}, errors.Wrap(err, "--wait")
	}
	return waitFor(ctx, version, o.timeout, ask), nil
}

// report is what all nodes together say.
type report struct {
	// Newest is the highest version that any node has in force.
	Newest snapshot.Version `json:"newest"`
	Nodes  []nodeLine       `json:"nodes"`
	// Findings counts what an operator should look at.
	Findings int `json:"findings"`
	// Waited is set when the command waited for a version.
	Waited *waited `json:"waited,omitempty"`
}

// nodeLine is one node's part.
type nodeLine struct {
	nodes.Response[node.Status]
	// Lags says that another node has a newer version, or other content under
	// the same number.
	Lags bool `json:"lags"`
	// AgeSeconds is the time since the version in force was published.
	AgeSeconds float64 `json:"age_seconds"`
	Problems   int     `json:"problems"`
}

func newReport(answers []nodes.Response[node.Status], now time.Time) report {
	var r report
	var root snapshot.Hash
	for _, answer := range answers {
		if applied := answer.Value.Applied; applied.NewerThan(r.Newest) {
			r.Newest, root = applied, answer.Value.Root
		}
	}
	for _, answer := range answers {
		line := newLine(answer, now)
		if answer.Problem == "" && (r.Newest.NewerThan(answer.Value.Applied) || answer.Value.Root != root) {
			line.Lags = true
			line.Problems++
		}
		r.Findings += line.Problems
		r.Nodes = append(r.Nodes, line)
	}
	return r
}

func newLine(answer nodes.Response[node.Status], now time.Time) nodeLine {
	line := nodeLine{Response: answer}
	if answer.Problem != "" {
		line.Problems++
		return line
	}
	status := answer.Value
	if !status.PublishedAt.IsZero() {
		line.AgeSeconds = now.Sub(status.PublishedAt).Seconds()
	}
	if status.Health.State != node.HealthReady {
		line.Problems++
	}
	if status.Isolated || len(status.Unreachable) > 0 {
		line.Problems++
	}
	return line
}
