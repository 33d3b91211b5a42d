// Package status is tamarackctl's subcommand that asks nodes how they are.
package status

import (
	"time"

	"github.com/spf13/cobra"

	"tamarackquay/internal/adapter/operatorhttp"
	"tamarackquay/internal/command"
	"tamarackquay/internal/command/nodes"
	"tamarackquay/internal/node"
	"tamarackquay/internal/snapshot"
)

// New returns the subcommand.
func New() *cobra.Command {
	var format command.Format
	var file string
	c := &cobra.Command{
		Use:   "status ADDRESS...",
		Short: "Show versions and their age across nodes, who lags, and what was refused and why",
		Long: "Show the state, the version in force and its age of each named node, which nodes lag behind the " +
			"newest version, and what was refused and why.\n\nA node that can't be reached is a line of the output. " +
			"The exit code is 1 if a node can't be reached, lags, refuses requests or refused a version that is newer than the one it has.",
		Example: "  tamarackctl status 127.0.0.1:8302 127.0.0.1:8312\n" +
			"  tamarackctl status --nodes nodes.txt --output json",
		Args: cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, args []string) error { return run(c, format, args, file) },
	}
	nodes.AddFlag(c, &file)
	command.AddFormat(c, &format)
	return c
}

func run(c *cobra.Command, format command.Format, args []string, file string) error {
	if err := format.Check(); err != nil {
		return err
	}
	addresses, err := nodes.Addresses(args, file)
	if err != nil {
		return err
	}
	r := newReport(nodes.Ask[node.Status](c.Context(), addresses, operatorhttp.PathStatus), time.Now())
	if format == command.FormatJSON {
		err = command.PrintJSON(c.OutOrStdout(), r)
	} else {
		r.print(c.OutOrStdout())
	}
	if err == nil && r.Findings > 0 {
		return command.ErrFindings
	}
	return err
}

// report is what all nodes together say.
type report struct {
	// Newest is the highest version that any node has in force.
	Newest snapshot.Version `json:"newest"`
	Nodes  []nodeLine       `json:"nodes"`
	// Findings counts what an operator should look at.
	Findings int `json:"findings"`
}

// nodeLine is one node's part.
type nodeLine struct {
	nodes.Answer[node.Status]
	// Lags says that another node has a newer version, or other content under
	// the same number.
	Lags bool `json:"lags"`
	// AgeSeconds is the time since the version in force was published.
	AgeSeconds float64 `json:"age_seconds"`
	Problems   int     `json:"problems"`
}

func newReport(answers []nodes.Answer[node.Status], now time.Time) report {
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

func newLine(answer nodes.Answer[node.Status], now time.Time) nodeLine {
	line := nodeLine{Answer: answer}
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
	for _, refused := range status.RefusedVersions {
		if newerThan(refused.Version, status.Applied) {
			line.Problems++
		}
	}
	return line
}

func newerThan(version string, applied snapshot.Version) bool {
	parsed, err := snapshot.ParseVersion(version)
	return err == nil && parsed.NewerThan(applied)
}
