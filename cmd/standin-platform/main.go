// Command standin-platform runs the stand-in for the platform, for tests and
// the demo only.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"tamarackquay/standin/platform"
)

const readHeaderTimeout = 10 * time.Second

func main() {
	var listen string
	command := &cobra.Command{
		Use:   "standin-platform --listen IP:PORT",
		Short: "Run a stand-in for the platform's configuration service and VM list",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			server := &http.Server{Addr: listen, Handler: platform.New().Handler(), ReadHeaderTimeout: readHeaderTimeout}
			return server.ListenAndServe()
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "address to listen on")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
