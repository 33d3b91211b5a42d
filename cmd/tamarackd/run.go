package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/auditlog"
	"tamarackquay/internal/adapter/callerhttp"
	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/httpserver"
	"tamarackquay/internal/adapter/metrics"
	"tamarackquay/internal/adapter/operatorhttp"
	"tamarackquay/internal/adapter/peerforward"
	"tamarackquay/internal/adapter/peertls"
	"tamarackquay/internal/adapter/peerws"
	"tamarackquay/internal/adapter/platformhttp"
	"tamarackquay/internal/adapter/settings"
	"tamarackquay/internal/adapter/targethttp"
	"tamarackquay/internal/distribution"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/membudget"
	"tamarackquay/internal/node"
	"tamarackquay/internal/port"
)

// Timeouts and intervals of the node process.
const (
	// linger is how long a stopping node continues to serve callers. It is longer
	// than the usual pause of a caller between two requests, and short compared
	// with the time allowed for a planned stop.
	linger = time.Second
	// idleGrace is how long idle caller connections are left open after the
	// callers' listener is closed.
	idleGrace         = 3 * time.Second
	closeTimeout      = 5 * time.Second
	idleSweepInterval = 15 * time.Second
)

// wallClock implements port.Clock.
type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// daemon holds the components of a running process that must be closed.
type daemon struct {
	log        *log.Logger
	node       *node.Node
	peers      *peerws.Client
	forward    *peerforward.Client
	callers    *httpserver.Server
	peerServer *httpserver.Server
	operators  *httpserver.Server
}

func run(s settings.Settings) error {
	tuneGC()
	logger := newLogger(s)
	for _, warning := range s.Warnings {
		logger.Warn().Str("setting", warning.Key).Msg(warning.String())
	}
	identity, err := peertls.Load(peertls.Files{
		Certificate: s.Peers.CertificateFile, Key: s.Peers.KeyFile, Authorities: s.Peers.AuthorityFiles,
	})
	if err != nil {
		return err
	}
	d := newDaemon(s, logger, identity)
	failed := make(chan error, 3)
	if err := d.listen(s, failed); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.node.Run(ctx)
	}()
	go d.sweepIdle(ctx, identity)
	logger.Info().Str("callers", s.Listen.Callers).Str("peers", s.Listen.Peers).Msg("serving")
	err = waitForStop(failed)
	d.stop()
	cancel()
	<-stopped
	d.peers.Close()
	d.forward.Close()
	return err
}

func newLogger(s settings.Settings) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(s.Log.Level),
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("node", s.VM.ID).Value(),
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}

func newDaemon(s settings.Settings, logger *log.Logger, identity *peertls.Config) *daemon {
	clock := wallClock{}
	audit := auditlog.New(logger)
	meter := metrics.New()
	d := &daemon{
		log:     logger,
		peers:   peerws.NewCountingClient(identity, clock.Now, meter),
		forward: peerforward.NewClient(identity, clock.Now),
	}
	d.node = node.New(nodeConfig(s), node.Ports{
		Platform: platformhttp.New(s.Platform.URL, s.Platform.ReadTimeout.Std(), s.Platform.WatchTimeout.Std()),
		Peers:    d.peers,
		Forward:  d.forward,
		Target:   targethttp.New(s.Target.Address, s.Target.MaxConnections),
		Clock:    clock,
		Audit:    audit,
		Meter:    meter,
		Log:      logger,
	})
	d.callers = callerhttp.NewServer(d.node, callerhttp.Limits{
		HeaderBytes: s.Requests.MaxHeaderBytes, BodyBytes: s.Requests.MaxBodyBytes,
	})
	d.peerServer = newPeerServer(d.node, clock.Now, identity)
	d.operators = httpserver.NewQuery(operatorhttp.NewHandler(d.node, audit, meter), maxQueryHeaderBytes)
	d.limitClients(int64(s.Requests.ClientMemoryMB)<<20, meter)
	return d
}

// limitClients limits what the clients of each listener may use of the memory for clients in bytes, and of the
// descriptors, and counts the requests that the listener refuses.
func (d *daemon) limitClients(memory int64, meter port.Meter) {
	account, lock := membudget.New(memory), &sync.Mutex{}
	newClients := func(limits membudget.ClientLimits) *membudget.Clients {
		return membudget.NewClients(account, lock, limits)
	}
	descriptors := descriptorLimit(0)
	for _, listener := range []struct {
		name   string
		server *httpserver.Server
		limits httpserver.ClientLimits
	}{
		{"callers", d.callers, clientLimits(memory, descriptors)},
		{"peers", d.peerServer, clientLimits(memory, descriptors)},
		{"operators", d.operators, queryLimits(memory, descriptors)},
	} {
		listener.server.Invalid = func(_ *http.Request, refusal *port.Refusal) {
			meter.Count(port.MetricRefused, string(refusal.Reason), 1)
		}
		listener.server.LimitClients(newClients, listener.limits, func() { meter.Count(port.MetricClientsEnded, listener.name, 1) })
	}
}

func nodeConfig(s settings.Settings) node.Config {
	return node.Config{
		Self: membership.VM{
			ID: s.VM.ID, FailureDomain: s.VM.FailureDomain, Region: s.VM.Region, Service: s.VM.Service,
			PeerAddress: s.Listen.Peers, CallerAddress: s.Listen.Callers,
		},
		Seeds:        s.Peers.Seeds,
		Heartbeat:    s.Peers.Heartbeat.Std(),
		ListInterval: s.Platform.ListInterval.Std(),
		ReadPacing:   readPacing(s),
		Distribution: distributionConfig(s),
		Membership:   membership.Config{SuspectAfter: s.Peers.SuspectAfter.Std(), ForgetAfter: s.Peers.ForgetAfter.Std()},
		QueuePerSlot: s.Requests.QueuePerSlot,
		MaxAttempts:  s.Requests.MaxAttempts,
		Linger:       linger,
		DrainTimeout: s.Requests.DrainTimeout.Std(),
		Seed:         uint64(time.Now().UnixNano()),
	}
}

func readPacing(s settings.Settings) distribution.ReadPacing {
	pacing := distribution.DefaultReadPacing()
	pacing.Readers = s.Platform.Readers
	pacing.StartSpread = s.Platform.StartSpread.Std()
	return pacing
}

func distributionConfig(s settings.Settings) distribution.Config {
	config := distribution.DefaultConfig()
	config.CrossRegionDelay = s.Platform.CrossRegionDelay.Std()
	config.Redundancy = s.Platform.Redundancy
	return config
}

func newPeerServer(n *node.Node, now func() time.Time, identity *peertls.Config) *httpserver.Server {
	e := callhttp.NewRouter()
	e.GET(peerws.Path, echo.WrapHandler(peerws.NewServer(n)))
	e.Any(peerforward.Prefix+"/*", echo.WrapHandler(peerforward.NewHandler(n, now)))
	return httpserver.NewTLS(e, maxPeerHeaderBytes, identity.Server)
}

func (d *daemon) listen(s settings.Settings, failed chan<- error) error {
	callers, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "callers listener")
	}
	peers, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "peers listener")
	}
	operators, err := net.Listen("tcp", s.Listen.Operators)
	if err != nil {
		return errors.Wrap(err, "operators listener")
	}
	go serve(d.callers.Run, callers, failed)
	go serve(d.peerServer.Run, peers, failed)
	go serve(d.operators.Run, operators, failed)
	return nil
}

func serve(run func(net.Listener) error, listener net.Listener, failed chan<- error) {
	if err := run(listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// waitForStop returns nil on SIGTERM or SIGINT, and the error of a listener
// that failed.
func waitForStop(failed <-chan error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		return nil
	case err := <-failed:
		return err
	}
}

// stop shuts the process down gracefully: the node completes the running requests
// before any listener is closed, so that no response is cut off.
func (d *daemon) stop() {
	d.log.Info().Msg("stopping")
	d.node.Stop(context.Background())
	if err := d.callers.StopAccepting(); err != nil {
		d.log.Warn().Err(err).Msg("failed to close callers listener")
	}
	d.awaitIdleCallers()
	if err := d.callers.CloseIdle(); err != nil {
		d.log.Warn().Err(err).Msg("idle caller connections closed without a response")
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range []*httpserver.Server{d.callers, d.peerServer, d.operators} {
		if err := server.Shutdown(ctx); err != nil {
			d.log.Warn().Err(err).Msg("server did not shut down in time")
		}
	}
	d.log.Info().Msg("stopped")
}

// awaitIdleCallers keeps the open connections of callers for up to idleGrace, so
// that each can be used once more and be closed with the response.
func (d *daemon) awaitIdleCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), idleGrace)
	defer cancel()
	d.callers.AwaitClosed(ctx)
}

// sweepIdle periodically closes idle connections and reloads changed certificate
// files, so that an authority can be rotated without restarts.
func (d *daemon) sweepIdle(ctx context.Context, identity *peertls.Config) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.peers.CloseIdle()
			d.reloadCertificates(identity)
		case <-ctx.Done():
			return
		}
	}
}

func (d *daemon) reloadCertificates(identity *peertls.Config) {
	changed, err := identity.Reload()
	if err != nil {
		d.log.Error().Err(err).Msg("peer certificate files can't be read; the old ones stay in use")
		return
	}
	if changed {
		d.log.Info().Msg("peer certificates changed")
		// Open connections were authenticated with the old files.
		d.peers.Close()
	}
}
