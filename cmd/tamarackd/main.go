// Command tamarackd is the node process. One runs on each target VM: it serves
// callers and distributes the configuration.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"tamarackquay/internal/adapter/settings"
)

// exitFindings is the exit code for invalid settings.
const exitFindings = 2

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func printCheckResult(loaded settings.Settings) {
	for _, warning := range loaded.Warnings {
		fmt.Println("warning:", warning)
	}
	fmt.Println("settings are good")
}

func newCommand() *cobra.Command {
	var file string
	var checkOnly bool
	command := &cobra.Command{
		Use:           "tamarackd --config FILE",
		Short:         "Serve callers and distribute configuration on one target VM",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			// These settings are read only once, so SIGHUP gets its default action
			// back; see reloads.
			signal.Reset(syscall.SIGHUP)
			loaded, found := settings.Load(file)
			if len(found) > 0 {
				fmt.Fprintln(os.Stderr, found.Error())
				os.Exit(exitFindings)
			}
			if checkOnly {
				printCheckResult(loaded)
				return nil
			}
			return run(loaded)
		},
	}
	command.Flags().StringVar(&file, "config", "", "settings file (TOML)")
	command.Flags().BoolVar(&checkOnly, "check-config", false, "report every finding in the settings and exit")
	command.AddCommand(newSidecarCommand())
	// The error is impossible: the flag is declared above.
	_ = command.MarkFlagRequired("config")
	return command
}
