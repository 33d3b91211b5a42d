// Package status is tamarackctl's subcommand that asks nodes how they are.
package status

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/command"
	"tamarackquay/internal/node"
)

const askTimeout = 3 * time.Second

// New returns the subcommand.
func New() *cobra.Command {
	var format command.Format
	c := &cobra.Command{
		Use:     "status ADDRESS...",
		Short:   "Show the version in force and the state of nodes, by their operators' address",
		Example: "  tamarackctl status 127.0.0.1:8302 127.0.0.1:8312",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := format.Check(); err != nil {
				return err
			}
			return show(c, format, args)
		},
	}
	command.AddFormat(c, &format)
	return c
}

func show(c *cobra.Command, format command.Format, addresses []string) error {
	var all []node.Status
	for _, address := range addresses {
		status, err := ask(address)
		if err != nil {
			return err
		}
		all = append(all, status)
	}
	if format == command.FormatJSON {
		return command.PrintJSON(c.OutOrStdout(), all)
	}
	for _, s := range all {
		fmt.Fprintf(c.OutOrStdout(), "%-12s %-18s ready=%-5t version=%s root=%s running=%d waiting=%d members=%d\n",
			s.VM.ID, s.VM.FailureDomain, s.Ready, s.Applied, s.Root.Short(), s.Running, s.Waiting, len(s.Members))
	}
	return nil
}

func ask(address string) (node.Status, error) {
	var status node.Status
	client := http.Client{Timeout: askTimeout}
	response, err := client.Get("http://" + address + "/status")
	if err != nil {
		return status, errors.Wrap(err, address)
	}
	defer response.Body.Close()
	return status, errors.Wrap(json.NewDecoder(response.Body).Decode(&status), address)
}
