// Package explain is tamarackctl's subcommand that tells which line of a
// contract gave which limit, share and targets, and why a request would be
// refused.
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
		Short: "Tell which line gave which limit, share and targets, and why a request would be refused",
		Long: "Tell what follows from a contract for a request, with the file and line of each value.\n\n" +
			"SOURCE is a directory of contracts, a directory that 'build' wrote, or the URL of the platform; " +
			"only contracts carry lines. With --node, what that node sees is taken into account: its state and the live targets. " +
			"With --reason alone, the reason of a refusal is explained.",
		Example: "  tamarackctl explain examples/co-operative --customer fraser-valley --path /tallies/hwy1 --failure-domain interior-1\n" +
			"  tamarackctl explain --reason queue-full",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return o.run(c, args) },
	}
	flags := c.Flags()
	flags.StringVar(&o.query.Customer, "customer", "", "the customer whose contract is explained")
	flags.StringVar(&o.query.Token, "token", "", "a caller token, in place of the customer")
	flags.StringVar(&o.query.Path, "path", "", "the request's path; without it all routes are explained")
	flags.StringVar(&o.query.Method, "method", http.MethodGet, "the request's method")
	flags.StringVar(&o.query.FailureDomain, "failure-domain", "", "where the request enters")
	flags.StringVar(&o.node, "node", "", "operators' address of a node to ask for its state and live targets")
	flags.StringVar(&o.reason, "reason", "", "explain the reason of a refusal")
	// The flag exists: it was declared above.
	_ = c.RegisterFlagCompletionFunc("reason", cobra.FixedCompletions(explain.Reasons(), cobra.ShellCompDirectiveNoFileComp))
	command.AddFormat(c, &o.format)
	return c
}

func (o *options) run(c *cobra.Command, args []string) error {
	if o.reason != "" {
		return o.explainReason(c)
	}
	if len(args) != 1 {
		return errors.New("name the contracts: a directory, or the URL of the platform")
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

// result is the explanation with what the node said.
type result struct {
	explain.Explanation
	Node *nodeView `json:"node,omitempty"`
}

// nodeView is what matters of the asked node.
type nodeView struct {
	ID      string      `json:"id"`
	Health  node.Health `json:"health"`
	Version string      `json:"version"`
	// Differs says that the node has another version in force than the one
	// explained.
	Differs bool `json:"differs"`
	// Running and Waiting are requests at the node's own target.
	Running         int                 `json:"running"`
	Waiting         int                 `json:"waiting"`
	RefusedRequests map[port.Reason]int `json:"refused_requests,omitempty"`
}

func (o *options) explain(ctx context.Context, source *published.Source) (result, error) {
	input := explain.Input{Set: source.Set, Locations: source.Locations}
	if o.node == "" {
		return result{Explanation: explain.Explain(input, o.query)}, nil
	}
	status, err := o.ask(ctx)
	if err != nil {
		return result{}, err
	}
	input.Members = status.Members
	input.Regions = explain.RegionsOf(status.Members)
	o.query.FailureDomain = cmp.Or(o.query.FailureDomain, status.VM.FailureDomain)
	r := result{Explanation: explain.Explain(input, o.query), Node: viewOf(status, source)}
	if refused := refusedByNode(status.Health); refused != nil {
		r.Refused = refused
	}
	return r, nil
}

func (o *options) ask(ctx context.Context) (node.Status, error) {
	addresses, err := nodes.Addresses([]string{o.node}, "")
	if err != nil {
		return node.Status{}, err
	}
	answer := nodes.Fetch[node.Status](ctx, addresses, operatorhttp.PathStatus)[0]
	if answer.Problem != "" {
		return node.Status{}, errors.Errorf("%s: %s", answer.Address, answer.Problem)
	}
	return answer.Value, nil
}

func viewOf(status node.Status, source *published.Source) *nodeView {
	return &nodeView{
		ID: status.VM.ID, Health: status.Health, Version: status.Applied.String(),
		Differs: source.Manifest != nil && source.Manifest.Root != status.Root,
		Running: status.Running, Waiting: status.Waiting, RefusedRequests: status.RefusedRequests,
	}
}

// refusedByNode is the refusal that the node's own state brings, whatever the
// request.
func refusedByNode(health node.Health) *explain.Refusal {
	if health.Serving() {
		return nil
	}
	reason := port.ReasonNotReady
	if health.State == node.HealthStopping {
		reason = port.ReasonStopping
	}
	return &explain.Refusal{Reason: reason, Detail: "the node is " + string(health.State) + " since " + health.Since.UTC().Format(time.RFC3339)}
}
