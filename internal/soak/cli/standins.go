package cli

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/wait"
	"tamarackquay/standin/userstore"
	"tamarackquay/standin/usertarget"
)

func newStoreCommand() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use:   "store",
		Short: "Run a stand-in for the users' store",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			server := &http.Server{Addr: listen, Handler: userstore.New().Handler()}
			defer context.AfterFunc(command.Context(), func() { _ = server.Close() })()
			return errors.Wrap(server.ListenAndServe(), "serve store")
		},
	}
	command.Flags().StringVar(&listen, "listen", "", "address to listen on")
	return command
}

// Parameters of the soak's targets: a few slots, and a service time that is short
// compared with every checked bound.
const (
	targetSlots = 8
	targetWork  = 20 * time.Millisecond
	heartbeat   = 500 * time.Millisecond
	// shutdownDelay is how long a leaving target still serves requests, a little
	// longer than requests may still reach it.
	shutdownDelay = 3 * time.Second
)

type targetOptions struct {
	listen, control, ledger string
	// clockBehind is how far the clock of the target's VM lies behind at its start.
	clockBehind  time.Duration
	registration usertarget.Registration
}

func newTargetCommand() *cobra.Command {
	o := targetOptions{registration: usertarget.Registration{Slots: targetSlots, Heartbeat: heartbeat}}
	command := &cobra.Command{
		Use:   "target",
		Short: "Run a stand-in for a target of the users' platform",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return o.run() },
	}
	flags := command.Flags()
	flags.StringVar(&o.listen, "listen", "", "address to listen on")
	flags.StringVar(&o.control, "control", "", "address for control requests of the soak")
	flags.StringVar(&o.ledger, "ledger", "", "file in which arriving requests are recorded")
	flags.DurationVar(&o.clockBehind, "clock-behind", 0, "how far the clock lies behind at the start")
	flags.StringVar(&o.registration.Store, "store", "", "address of the store")
	flags.StringVar(&o.registration.Address, "address", "", "address in the target's entry in the store")
	flags.StringVar(&o.registration.Instance, "instance", "", "name of this instance")
	flags.StringVar(&o.registration.Service, "service", "", "service")
	flags.StringVar(&o.registration.Zone, "zone", "", "failure domain")
	return command
}

func (o *targetOptions) run() error {
	ledger, err := os.OpenFile(o.ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open ledger")
	}
	startTime := time.Now().Add(-o.clockBehind)
	t := usertarget.New(o.registration.Instance, o.registration.Service, targetSlots, targetWork, ledger, crash)
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return errors.Wrap(err, "target")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	failed := make(chan error, 2)
	go func() { failed <- http.Serve(listener, t) }()
	registered, end := context.WithCancel(context.Background())
	defer end()
	go func() { failed <- http.ListenAndServe(o.control, o.controlHandler(t, startTime, stop, end)) }()
	go o.registration.Run(registered, startTime)
	select {
	case err := <-failed:
		return errors.Wrap(err, "target")
	case <-ctx.Done():
	}
	wait.Sleep(context.Background(), shutdownDelay)
	end()
	return o.registration.Deregister(context.Background())
}

// crashExitCode is the exit code of a target that a request crashed.
const crashExitCode = 3

func crash() { os.Exit(crashExitCode) }

// quiet is the query parameter of /drain by which the target doesn't say in its responses that it
// leaves.
const quiet = "quiet"

// controlHandler serves the soak's control requests: /mode sets the behaviour of the
// target, /drain makes it leave, and /remove makes it remove its entry and serve on.
func (o *targetOptions) controlHandler(t *usertarget.Target, startTime time.Time, stop, endRegistration func()) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/mode", func(w http.ResponseWriter, r *http.Request) {
		var mode usertarget.Mode
		if err := json.NewDecoder(r.Body).Decode(&mode); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetMode(mode)
	})
	mux.HandleFunc("/drain", func(w http.ResponseWriter, r *http.Request) {
		stop()
		if !r.URL.Query().Has(quiet) {
			t.Leave()
		}
		if err := o.registration.Drain(r.Context(), startTime); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
		}
	})
	mux.HandleFunc("/remove", func(w http.ResponseWriter, r *http.Request) {
		endRegistration()
		if err := o.registration.Deregister(r.Context()); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
		}
	})
	return mux
}
