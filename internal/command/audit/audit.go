// Package audit implements 'tamarackctl audit', which shows the audit trails of many
// nodes.
package audit

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"tamarackquay/internal/adapter/auditlog"
	"tamarackquay/internal/adapter/operatorhttp"
	"tamarackquay/internal/command"
	"tamarackquay/internal/command/nodes"
	"tamarackquay/internal/port"
)

type options struct {
	file     string
	format   command.Format
	since    time.Duration
	kinds    []string
	version  string
	versions bool
}

// defaultSince limits the output of a large fleet to the recent events, which are
// queried most often.
const defaultSince = 24 * time.Hour

// New returns the subcommand.
func New() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "audit ADDRESS...",
		Short: "Show published versions with their publishers, and when each node applied or refused them",
		Long: "Show the audit trails of all named nodes, merged in order of time. Timestamps are from each node's clock; " +
			"a node keeps its last 2,048 events, and the log stream has all of them.\n\n" +
			"A node that can't be reached is shown as a line of the output.",
		Example: "  tamarackctl audit 127.0.0.1:8302 127.0.0.1:8312 --since 1h --kind version-applied,version-refused\n" +
			"  tamarackctl audit --nodes nodes.txt --versions",
		Args: cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, args []string) error { return o.run(c, args) },
	}
	flags := c.Flags()
	nodes.AddFlag(c, &o.file)
	flags.DurationVar(&o.since, "since", defaultSince, "only events newer than this; 0 for all")
	flags.StringSliceVar(&o.kinds, "kind", nil, "only events of these kinds")
	flags.StringVar(&o.version, "version", "", "only events of this version (EPOCH.REVISION)")
	flags.BoolVar(&o.versions, "versions", false, "one line per version: its publisher, how many nodes applied or refused it, and how fast")
	command.AddFormat(c, &o.format)
	return c
}

// report is the JSON output.
type report struct {
	Events      []port.AuditEvent `json:"events,omitempty"`
	Versions    []versionSummary  `json:"versions,omitempty"`
	Unreachable []unreachable     `json:"unreachable,omitempty"`
}

type unreachable struct {
	Address string `json:"address"`
	Problem string `json:"problem"`
}

func (o *options) run(c *cobra.Command, args []string) error {
	addresses, err := nodes.Addresses(args, o.file)
	if err != nil {
		return err
	}
	filter := o.filter(time.Now())
	path := operatorhttp.PathAudit + "?" + filter.Query().Encode()
	r := o.collect(nodes.Fetch[[]port.AuditEvent](c.Context(), addresses, path))
	if o.format == command.FormatJSON {
		err = command.PrintJSON(c.OutOrStdout(), r)
	} else {
		r.print(c.OutOrStdout())
	}
	if err == nil && len(r.Unreachable) > 0 {
		return command.ErrFindings
	}
	return err
}

// filter returns the filter that is sent to the nodes.
func (o *options) filter(now time.Time) auditlog.Filter {
	filter := auditlog.Filter{Kinds: o.kinds, Version: o.version}
	if o.since > 0 {
		filter.Since = now.Add(-o.since)
	}
	if o.versions {
		filter.Kinds = []string{string(port.AuditApplied), string(port.AuditRefused)}
	}
	return filter
}

// collect merges the audit trails of the nodes.
func (o *options) collect(responses []nodes.Response[[]port.AuditEvent]) report {
	var r report
	for _, response := range responses {
		if response.Problem != "" {
			r.Unreachable = append(r.Unreachable, unreachable{response.Address, response.Problem})
			continue
		}
		r.Events = append(r.Events, response.Value...)
	}
	slices.SortStableFunc(r.Events, func(a, b port.AuditEvent) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
	})
	if o.versions {
		r.Versions = summarize(r.Events)
		r.Events = nil
	}
	return r
}

func (r report) print(w io.Writer) {
	for _, event := range r.Events {
		fmt.Fprintln(w, formatEvent(event))
		for _, f := range event.Findings {
			fmt.Fprintf(w, "    %s\n", f)
		}
	}
	for _, version := range r.Versions {
		fmt.Fprintln(w, version)
	}
	for _, u := range r.Unreachable {
		fmt.Fprintf(w, "%s no answer: %s\n", u.Address, u.Problem)
	}
}

// timeLayout includes milliseconds, since nodes apply a version within milliseconds
// of each other.
const timeLayout = "2006-01-02T15:04:05.000Z"

func formatEvent(event port.AuditEvent) string {
	parts := []string{event.Time.UTC().Format(timeLayout), fmt.Sprintf("%-14s %-16s", event.VM, event.Kind)}
	if event.Version != "" {
		parts = append(parts, "version "+event.Version)
	}
	if event.PublishedBy != "" {
		parts = append(parts, "published by "+event.PublishedBy)
	}
	if event.PublishedAt != nil {
		parts = append(parts, fmt.Sprintf("%s before", event.Time.Sub(*event.PublishedAt).Round(time.Millisecond)))
	}
	if event.From != "" {
		parts = append(parts, "from "+event.From)
	}
	parts = append(parts, event.Subject, event.Detail)
	parts = slices.DeleteFunc(parts, func(part string) bool { return part == "" })
	return strings.TrimSpace(strings.Join(parts, "  "))
}
