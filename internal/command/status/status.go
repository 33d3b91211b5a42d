// Package status implements 'tamarackctl status', which shows the state of nodes.
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
		Short: "Show versions and their age across nodes, lagging nodes, and refused versions and requests",
		Long: "Show the state of each named node, its version in force and the age of that version, which nodes lag behind the " +
			"newest version, and the refused versions and requests with the reasons.\n\nA node that can't be reached is shown as a line of the output. " +
			"The exit code is 1 if a node can't be reached, lags, is in a state other than ready, or has lost contact with a failure domain.",
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

// defaultTimeout is twice the time within which a change must be applied on every
// node.
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
	fetch := func() []nodes.Response[node.Status] {
		return nodes.Fetch[node.Status](ctx, addresses, operatorhttp.PathBriefStatus)
	}
	if o.wait == "" {
		return newReport(fetch(), time.Now()), nil
	}
	version, err := snapshot.ParseVersion(o.wait)
	if err != nil {
		return report{}, errors.Wrap(err, "--wait")
	}
	return waitFor(ctx, version, o.timeout, fetch), nil
}

// report is the JSON output: the responses of all nodes.
type report struct {
	// Newest is the newest version applied on any node.
	Newest snapshot.Version `json:"newest"`
	Nodes  []nodeReport     `json:"nodes"`
	// Findings is the number of problems that need an operator's attention.
	Findings int `json:"findings"`
	// Waited is set when the command waited for a version.
	Waited *waitResult `json:"waited,omitempty"`
}

// nodeReport is the part of one node.
type nodeReport struct {
	nodes.Response[node.Status]
	// Lags is set if another node has a newer version, or other content under the
	// same number.
	Lags bool `json:"lags"`
	// AgeSeconds is the time since the applied version was published.
	AgeSeconds float64 `json:"age_seconds"`
	Problems   int     `json:"problems"`
}

func newReport(responses []nodes.Response[node.Status], now time.Time) report {
	var r report
	var newestRoot snapshot.Hash
	for _, response := range responses {
		if applied := response.Value.Applied; applied.NewerThan(r.Newest) {
			r.Newest, newestRoot = applied, response.Value.Root
		}
	}
	for _, response := range responses {
		line := newNodeReport(response, now)
		if response.Problem == "" && (r.Newest.NewerThan(response.Value.Applied) || response.Value.Root != newestRoot) {
			line.Lags = true
			line.Problems++
		}
		r.Findings += line.Problems
		r.Nodes = append(r.Nodes, line)
	}
	return r
}

func newNodeReport(response nodes.Response[node.Status], now time.Time) nodeReport {
	line := nodeReport{Response: response}
	if response.Problem != "" {
		line.Problems++
		return line
	}
	status := response.Value
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
