package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/soak"
)

func newPlanCommand() *cobra.Command {
	var seed uint64
	var duration time.Duration
	var vms int
	command := &cobra.Command{
		Use:   "plan",
		Short: "Show the fault plan of a seed",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			for _, f := range soak.NewPlan(seed, duration, vms) {
				fmt.Fprintf(command.OutOrStdout(), "%8s for %-8s %-14s vm %d %s\n", f.At.Round(time.Millisecond), f.Duration.Round(time.Millisecond), f.Kind, f.VM, f.Side)
			}
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "the seed")
	command.Flags().DurationVar(&duration, "length", 20*time.Second, "how long callers send requests")
	command.Flags().IntVar(&vms, "vms", 6, "number of VMs")
	return command
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a saved history again",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return errors.Wrap(err, "read history")
			}
			var history soak.History
			if err := json.Unmarshal(raw, &history); err != nil {
				return errors.Wrap(err, "decode history")
			}
			found := soak.Check(&history)
			for _, f := range found {
				fmt.Fprintf(command.OutOrStdout(), "%s %s at %s: %s\n", f.Promise, f.Request, f.At, f.Detail)
			}
			if len(found) > 0 {
				return errFindings
			}
			return nil
		},
	}
}
