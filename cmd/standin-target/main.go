// Command standin-target runs the stand-in for a target, for tests and the
// demo only.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"tamarackquay/standin/target"
)

const readHeaderTimeout = 10 * time.Second

func main() {
	var listen, ledger string
	var slots int
	var mode target.Mode
	command := &cobra.Command{
		Use:   "standin-target --listen IP:PORT",
		Short: "Run a stand-in for a target with slots and an execution ledger",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			upstream := target.New(slots, mode)
			if ledger != "" {
				file, err := os.OpenFile(ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
				if err != nil {
					return err
				}
				defer file.Close()
				upstream.WriteLedgerTo(file)
			}
			server := &http.Server{Addr: listen, Handler: upstream.Handler(), ReadHeaderTimeout: readHeaderTimeout}
			return server.ListenAndServe()
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "address to listen on")
	command.Flags().StringVar(&ledger, "ledger", "", "file to which each run is appended when it starts")
	command.Flags().IntVar(&slots, "slots", 12, "number of requests that run at a time")
	command.Flags().IntVar(&mode.ServiceMS, "service-ms", 5, "time that each request takes, in milliseconds")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
