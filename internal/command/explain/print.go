package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/command"
	"tamarackquay/internal/explain"
	"tamarackquay/internal/port"
)

func (o *options) explainReason(c *cobra.Command) error {
	meaning, ok := explain.MeaningOf(port.Reason(o.reason))
	if !ok {
		return errors.Errorf("--reason %q: unknown reason; the reasons are %s", o.reason, strings.Join(explain.Reasons(), ", "))
	}
	if o.format == command.FormatJSON {
		return command.PrintJSON(c.OutOrStdout(), meaning)
	}
	fmt.Fprintf(c.OutOrStdout(), "%s: %s.\nThe request did not run. What helps: %s.\n", o.reason, meaning.Cause, meaning.Remedy)
	return nil
}

func printText(w io.Writer, r result) {
	if r.Customer != "" {
		fmt.Fprintf(w, "contract of %s%s\n", r.Customer, formatLocation(r.Location))
	}
	if r.Node != nil {
		printNode(w, r.Node)
	}
	for _, route := range r.Routes {
		printRoute(w, route)
	}
	if r.Refused != nil {
		fmt.Fprintf(w, "refused: %s: %s%s\n", r.Refused.Reason, r.Refused.Detail, formatLocation(r.Refused.Location))
		if meaning, ok := explain.MeaningOf(r.Refused.Reason); ok {
			fmt.Fprintf(w, "  what helps: %s\n", meaning.Remedy)
		}
	}
}

func formatLocation(location string) string {
	if location == "" {
		return ""
	}
	return "  (" + location + ")"
}

func printNode(w io.Writer, n *nodeSummary) {
	fmt.Fprintf(w, "node %s: %s since %s, version %s, %d running and %d waiting at its target\n",
		n.ID, n.Health.State, n.Health.Since.UTC().Format(time.RFC3339), n.Version, n.Running, n.Waiting)
	if n.Differs {
		fmt.Fprintln(w, "  the version in force on the node is not the one explained here")
	}
	for _, reason := range n.Health.Reasons {
		fmt.Fprintf(w, "  %s\n", reason)
	}
	for _, reason := range slices.Sorted(maps.Keys(n.RefusedRequests)) {
		fmt.Fprintf(w, "  refused since its start: %d %s\n", n.RefusedRequests[reason], reason)
	}
}

func printRoute(w io.Writer, route explain.Route) {
	fmt.Fprintf(w, "route %s: %s to service %s%s\n", route.Name, route.Prefix, route.Service, formatLocation(route.Location))
	for _, line := range []struct {
		name  string
		value explain.LocatedValue
	}{
		{"share", route.Share}, {"limit", route.Limit}, {"long", route.LongLimit}, {"class", route.Class}, {"deadline", route.Deadline},
		{"stall", route.StallTimeout}, {"runs", route.Execution}, {"spill", route.Spill}, {"domains", route.Domains},
	} {
		if line.value.Value != "" {
			fmt.Fprintf(w, "  %-9s %s%s\n", line.name, line.value.Value, formatLocation(line.value.Location))
		}
	}
	fmt.Fprintln(w, "  targets, in the order in which they are tried:")
	for _, domain := range route.Reach {
		printDomain(w, domain)
	}
	fmt.Fprintln(w, "  would be refused when:")
	for _, condition := range route.Conditions {
		fmt.Fprintf(w, "    %-12s %s%s\n", condition.Reason, condition.When, formatLocation(condition.Location))
	}
}

func printDomain(w io.Writer, domain explain.Domain) {
	text := fmt.Sprintf("%d committed, %d slots", domain.Committed, domain.Slots)
	if domain.Live != nil {
		text += ", live: " + strings.Join(domain.Live, " ")
	}
	if domain.Distance != "" {
		text += ", " + domain.Distance
	}
	if !domain.InReach {
		text += ", out of the route's reach"
	}
	fmt.Fprintf(w, "    %-18s %s%s\n", domain.Name, text, formatLocation(domain.Location))
}
