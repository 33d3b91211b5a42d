// Package explain implements 'tamarackctl explain', which shows the line of a
// contract that each limit, share and set of targets comes from, and why a request
// would be refused.
package explain

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/adapter/operatorhttp"
	"tamarackquay/internal/command"
	"tamarackquay/internal/command/nodes"
	"tamarackquay/internal/command/published"
	"tamarackquay/internal/explain"
	"tamarackquay/internal/node"
	"tamarackquay/internal/port"
)

type options struct {
	query  explain.Query
	node   string
	reason string
	format command.Format
}

// New returns the subcommand.
func New() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "explain SOURCE (--customer NAME | --token TOKEN) [--path PATH]",
		Short: "Show the source line of each limit, share and set of targets, and why a request would be refused",
		Long: "Show how a contract applies to a request, with the file and line of each value.\n\n" +
			"SOURCE is a directory of contracts, a directory that 'build' wrote, or the URL of the platform; " +
			"only contracts have file and line. With --node, the state of that node and the live targets in its view are included. " +
			"With --reason alone, the given reason of a refusal is explained.",
		Example: "  tamarackctl explain examples/co-operative --customer fraser-valley --path /tallies/hwy1 --failure-domain interior-1\n" +
			"  tamarackctl explain --reason queue-full",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return o.run(c, args) },
	}
	flags := c.Flags()
	flags.StringVar(&o.query.Customer, "customer", "", "customer whose contract is explained")
	flags.StringVar(&o.query.Token, "token", "", "caller token, instead of the customer")
	flags.StringVar(&o.query.Path, "path", "", "path of the request; without it all routes are explained")
	flags.StringVar(&o.query.Method, "method", http.MethodGet, "method of the request")
	flags.StringVar(&o.query.FailureDomain, "failure-domain", "", "failure domain where the request enters")
	flags.StringVar(&o.node, "node", "", "operators' address of a node whose state and live targets are included")
	flags.StringVar(&o.reason, "reason", "", "explain the reason of a refusal")
	// The error is impossible: the flag is declared above.
	_ = c.RegisterFlagCompletionFunc("reason", cobra.FixedCompletions(explain.Reasons(), cobra.ShellCompDirectiveNoFileComp))
	command.AddFormat(c, &o.format)
	return c
}

func (o *options) run(c *cobra.Command, args []string) error {
	if o.reason != "" {
		return o.explainReason(c)
	}
	if len(args) != 1 {
		return errors.New("SOURCE is missing: name a directory, or the URL of the platform")
	}
	if (o.query.Customer == "") == (o.query.Token == "") {
		return errors.New("give one of --customer and --token")
	}
	source, found, err := published.Load(c.Context(), args[0])
	if err != nil {
		return err
	}
	if len(found) > 0 {
		return command.PrintFindings(c.OutOrStdout(), o.format, found)
	}
	result, err := o.explain(c.Context(), source)
	if err != nil {
		return err
	}
	if o.format == command.FormatJSON {
		err = command.PrintJSON(c.OutOrStdout(), result)
	} else {
		printText(c.OutOrStdout(), result)
	}
	if err == nil && result.Refused != nil {
		return command.ErrFindings
	}
	return err
}

// result is the explanation with the state of the node, if one was requested.
type result struct {
	explain.Explanation
	Node *nodeSummary `json:"node,omitempty"`
}

// nodeSummary is the relevant part of the node's status.
type nodeSummary struct {
	ID      string      `json:"id"`
	Health  node.Health `json:"health"`
	Version string      `json:"version"`
	// Differs is set if the applied version of the node is not the explained one.
	Differs bool `json:"differs"`
	// Running and Waiting count requests at the local target of the node.
	Running         int                 `json:"running"`
	Waiting         int                 `json:"waiting"`
	RefusedRequests map[port.Reason]int `json:"refused_requests,omitempty"`
}

func (o *options) explain(ctx context.Context, source *published.Source) (result, error) {
	input := explain.Input{Set: source.Set, Locations: source.Locations}
	if o.node == "" {
		return result{Explanation: explain.Explain(input, o.query)}, nil
	}
	status, err := o.fetchStatus(ctx)
	if err != nil {
		return result{}, err
	}
	input.Members = status.Members
	input.Regions = explain.RegionsOf(status.Members)
	o.query.FailureDomain = cmp.Or(o.query.FailureDomain, status.VM.FailureDomain)
	r := result{Explanation: explain.Explain(input, o.query), Node: summarizeNode(status, source)}
	if refused := nodeRefusal(status.Health); refused != nil {
		r.Refused = refused
	}
	return r, nil
}

func (o *options) fetchStatus(ctx context.Context) (node.Status, error) {
	addresses, err := nodes.Addresses([]string{o.node}, "")
	if err != nil {
		return node.Status{}, err
	}
	response := nodes.Fetch[node.Status](ctx, addresses, operatorhttp.PathStatus)[0]
	if response.Problem != "" {
		return node.Status{}, errors.Errorf("%s: %s", response.Address, response.Problem)
	}
	return response.Value, nil
}

func summarizeNode(status node.Status, source *published.Source) *nodeSummary {
	return &nodeSummary{
		ID: status.VM.ID, Health: status.Health, Version: status.Applied.String(),
		Differs: source.Manifest != nil && source.Manifest.Root != status.Root,
		Running: status.Running, Waiting: status.Waiting, RefusedRequests: status.RefusedRequests,
	}
}

// nodeRefusal returns the refusal that applies to every request because of the
// state of the node, or nil.
func nodeRefusal(health node.Health) *explain.Refusal {
	if health.Serving() {
		return nil
	}
	reason := port.ReasonNotReady
	if health.State == node.HealthStopping {
		reason = port.ReasonStopping
	}
	return &explain.Refusal{Reason: reason, Detail: "the node is " + string(health.State) + " since " + health.Since.UTC().Format(time.RFC3339)}
}
