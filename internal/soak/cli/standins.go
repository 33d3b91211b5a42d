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
		Short: "Stand in for the users' store",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			server := &http.Server{Addr: listen, Handler: userstore.New().Handler()}
			defer context.AfterFunc(command.Context(), func() { _ = server.Close() })()
			return errors.Wrap(server.ListenAndServe(), "store")
		},
	}
	command.Flags().StringVar(&listen, "listen", "", "address to listen on")
	return command
}

// Figures of the soak's targets: a few slots, and work that is short beside every
// bound that is checked.
const (
	targetSlots = 8
	targetWork  = 20 * time.Millisecond
	heartbeat   = 500 * time.Millisecond
	// servesOn is how long a target that leaves still serves, a little longer than
	// work may still reach it.
	servesOn = 3 * time.Second
)

type targetOptions struct {
	listen, control, ledger string
	registration            usertarget.Registration
}

func newTargetCommand() *cobra.Command {
	o := targetOptions{registration: usertarget.Registration{Slots: targetSlots, Heartbeat: heartbeat}}
	command := &cobra.Command{
		Use:   "target",
		Short: "Stand in for a target of the users' platform",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return o.run() },
	}
	flags := command.Flags()
	flags.StringVar(&o.listen, "listen", "", "address to listen on")
	flags.StringVar(&o.control, "control", "", "address for the soak's own orders")
	flags.StringVar(&o.ledger, "ledger", "", "file for what arrives")
	flags.StringVar(&o.registration.Store, "store", "", "address of the store")
	flags.StringVar(&o.registration.Address, "address", "", "address in the store's entry")
	flags.StringVar(&o.registration.Instance, "instance", "", "name of this start")
	flags.StringVar(&o.registration.Service, "service", "", "service")
	flags.StringVar(&o.registration.Zone, "zone", "", "failure domain")
	return command
}

func (o *targetOptions) run() error {
	ledger, err := os.OpenFile(o.ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "ledger")
	}
	born := time.Now()
	t := usertarget.New(o.registration.Instance, o.registration.Service, targetSlots, targetWork, ledger, crash)
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return errors.Wrap(err, "target")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	failed := make(chan error, 2)
	go func() { failed <- http.Serve(listener, t) }()
	go func() { failed <- http.ListenAndServe(o.control, o.orders(t, born, stop)) }()
	registered, end := context.WithCancel(context.Background())
	defer end()
	go o.registration.Run(registered, born)
	select {
	case err := <-failed:
		return errors.Wrap(err, "target")
	case <-ctx.Done():
	}
	wait.Sleep(context.Background(), servesOn)
	end()
	return o.registration.Deregister(context.Background())
}

// crashStatus is the exit status of a target that a request crashes.
const crashStatus = 3

func crash() { os.Exit(crashStatus) }

// orders serves what the soak tells the target: how to behave, and to leave.
func (o *targetOptions) orders(t *usertarget.Target, born time.Time, leave func()) http.Handler {
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
		leave()
		if err := o.registration.Drain(r.Context(), born); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
		}
	})
	return mux
}
