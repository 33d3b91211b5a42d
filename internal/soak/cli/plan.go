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
	var length time.Duration
	var vms int
	command := &cobra.Command{
		Use:   "plan",
		Short: "Show the faults that a seed gives",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			for _, f := range soak.NewPlan(seed, length, vms) {
				fmt.Fprintf(command.OutOrStdout(), "%8s for %-8s %-14s vm %d %s\n", f.At.Round(time.Millisecond), f.Duration.Round(time.Millisecond), f.Kind, f.VM, f.Side)
			}
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "the seed")
	command.Flags().DurationVar(&length, "length", 20*time.Second, "for how long callers send")
	command.Flags().IntVar(&vms, "vms", 6, "how many VMs")
	return command
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a kept history again",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return errors.Wrap(err, "history")
			}
			var history soak.History
			if err := json.Unmarshal(raw, &history); err != nil {
				return errors.Wrap(err, "history")
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
