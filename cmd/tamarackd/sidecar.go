package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/adapter/callerhttp"
	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/adapter/feedws"
	"tamarackquay/internal/adapter/httpserver"
	"tamarackquay/internal/adapter/logout"
	"tamarackquay/internal/adapter/metrics"
	"tamarackquay/internal/adapter/responsehead"
	"tamarackquay/internal/follow"
	"tamarackquay/internal/logfield"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
	"tamarackquay/internal/proxy"
	"tamarackquay/internal/quarantine"
	"tamarackquay/platform"
)

// Connection settings.
var (
	// peerConnections are to other nodes.
	peerConnections = exchange.Options{
		// Round trips take 40 ms at most. A VM that takes longer to accept a
		// connection is down, or too slow to be used in time.
		DialTimeout: 150 * time.Millisecond, IdleTimeout: 20 * time.Second,
		AckTimeout: 500 * time.Millisecond, MaxIdle: 16, MaxHeaderBytes: maxPeerHeaderBytes,
	}
	// targetConnections are to the local target, a process on the same VM, where
	// a connection opens at once: a target that doesn't accept is stopped or
	// overloaded.
	targetConnections = exchange.Options{
		DialTimeout: 300 * time.Millisecond, IdleTimeout: 4 * time.Second,
		AckTimeout: 2 * time.Second, MaxIdle: 64, MaxHeaderBytes: maxHeaderBytes,
	}
)

// Size limits of the callers' listener and of targets' responses. The limits of the
// configuration are checked for each request in addition.
const (
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 1 << 30
)

// maxPeerHeaderBytes limits the headers of messages between nodes: those of a caller or a target,
// with the headers that nodes add.
const maxPeerHeaderBytes = 2 * maxHeaderBytes

// maxQueryHeaderBytes limits the headers of requests for readiness and metrics, and of responses
// that open feeds.
const maxQueryHeaderBytes = 16 << 10

// sidecarGCPercent keeps the heap small: peak memory is paid for, and the live heap
// is only a few megabytes. It is in percent, as GOGC.
const sidecarGCPercent = 60

func newSidecarCommand() *cobra.Command {
	var options sidecarOptions
	command := &cobra.Command{
		Use:   "sidecar",
		Short: "Serve callers as the sidecar of a target on the users' platform",
		Long: "Serve callers as the sidecar of a target on the users' platform. The platform writes the settings file; its path\n" +
			"is read from the environment variable " + platform.SettingsVariable + ".",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			path := os.Getenv(platform.SettingsVariable)
			loaded, found := platform.LoadSettings(path)
			if len(found) > 0 {
				return found
			}
			if options.halfBytes < 0 {
				return errors.Errorf("--half-bytes is %v; it must not be negative", options.halfBytes)
			}
			return runSidecar(path, loaded, options)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.metricsPort, "metrics-port", 0, "port of the metrics page; 0 for none")
	flags.StringVar(&options.level, "log-level", "info", "debug, info, warn or error")
	flags.Float64Var(&options.halfBytes, "half-bytes", placement.DefaultHalfBytes,
		"response size in bytes at which leaving the failure domain costs half as much as a late response; 0 to ignore sizes")
	return command
}

type sidecarOptions struct {
	metricsPort int
	level       string
	halfBytes   float64
}

// reloads receives SIGHUP, by which the platform announces changed settings. It is
// set up before anything else: without a handler the signal ends the process, and a
// signal that arrived while a node was starting left its VM without a node.
var reloads = notifyReload()

func notifyReload() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// sidecar holds the components of a running process.
type sidecar struct {
	settings platform.Settings
	log      *log.Logger
	output   *logout.Writer
	proxy    *proxy.Proxy
	follower *follow.Follower
	peers    *exchange.Pool
	target   *exchange.Pool
	callers  *httpserver.Server
	// crashes holds what this node knows of requests that crash targets, by itself
	// and from other nodes.
	crashes    *quarantine.SharedLedger
	peerServer *httpserver.Server
	listeners  []*listenerClients
	meter      *metrics.Meter
	// snapshot is the last one passed to the proxy; the follower's lock guards it.
	snapshot proxy.Snapshot
}

func runSidecar(path string, s platform.Settings, options sidecarOptions) error {
	debug.SetGCPercent(sidecarGCPercent)
	limitSidecarMemory(s.MemoryBytes)
	c := newSidecar(s, options)
	failed := make(chan error, 4)
	if err := c.listen(options, failed); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { c.follower.Run(ctx) })
	running.Go(func() { c.tick(ctx) })
	running.Go(func() { c.watchSettings(ctx, path) })
	c.log.Info().Str("callers", s.CallerAddress).Int("peers", s.PeerPort).Str(logfield.Service, s.Service).Str(logfield.Target, s.TargetAddress).Msg("started")
	err := waitForStop(failed)
	if err != nil {
		c.log.Error().Err(err).Msg("listener failed")
	}
	c.stop()
	cancel()
	running.Wait()
	c.log.Info().Msg("stopped")
	if closeErr := c.output.Close(); closeErr != nil && err == nil {
		err = errors.Wrap(closeErr, "close log output")
	}
	return err
}

func newSidecar(s platform.Settings, options sidecarOptions) *sidecar {
	output := logout.New(os.Stdout)
	logger := &log.Logger{
		Level: log.ParseLevel(options.level), TimeFormat: time.RFC3339Nano,
		Context: log.NewContext(nil).Str("node", s.Node).Value(),
		Writer:  output,
	}
	c := &sidecar{
		settings: s, log: logger, output: output, meter: metrics.New(),
		peers:   exchange.NewPool(peerConnections),
		crashes: quarantine.NewSharedLedger(wallClock{}),
	}
	targetOptions := targetConnections
	targetOptions.PeerClosed = func(address string) { c.proxy.DoubtTarget(address) }
	c.target = exchange.NewPool(targetOptions)
	c.proxy = proxy.New(proxyConfig(s, options), proxy.Ports{
		Clock: wallClock{}, Peers: c.peers, Target: c.target, Log: logger, Meter: c.meter, Crashes: c.crashes,
		ViewAge: func() time.Duration { return c.follower.Age() },
	})
	c.proxy.SetService(s.Service)
	peerAddress := func(host string) string { return net.JoinHostPort(host, strconv.Itoa(s.PeerPort)) }
	c.follower = follow.New(follow.Config{
		SelfAddress: peerAddress(s.IP), FailureDomain: s.FailureDomain, Region: s.Region, Regions: s.Regions,
		PeerAddress:      func(target string) string { return peerAddress(follow.HostOf(target)) },
		PropagationBound: propagationBound(s),
		ReportInterval:   s.ReportInterval,
		FirstStart:       s.FirstStart,
		Announce:         c.proxy.Ping,
	}, platform.NewStore(s.StoreAddress, logger), feedws.NewClient(feedTransport(), c.crashes, c.proxy.CountSent), wallClock{}, logger, c.meter, c.applyView)
	c.callers = callerhttp.NewServer(c.proxy, callerhttp.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, SendBytes: callerSendBytes(s.MemoryBytes)})
	c.limitClients(c.callers, "callers", clientLimits)
	c.callers.HeaderTimedOut = func(caller string) {
		c.log.Warn().Str(logfield.Caller, caller).Msg("header of a request timed out")
	}
	c.peerServer = c.newPeerServer(peerAddress)
	return c
}

// listenerClients counts the clients of a listener that were ended since the last line about them.
type listenerClients struct {
	listener string
	ended    atomic.Int64
}

// end counts a client that was ended.
func (l *listenerClients) end() { l.ended.Add(1) }

// limitClients limits what the clients of a listener may use, and records the requests that it refuses. The
// function limits divides the memory for clients and the descriptors.
func (c *sidecar) limitClients(server *httpserver.Server, listener string, limits func(memory int64, descriptors int) httpserver.ClientLimits) {
	server.Invalid = c.proxy.RecordInvalid
	server.LimitClients(c.proxy.NewClients, c.shareOf(limits), c.newListenerClients(listener).end)
}

// shareOf applies limits to the node's memory for clients and its descriptors.
func (c *sidecar) shareOf(limits func(memory int64, descriptors int) httpserver.ClientLimits) httpserver.ClientLimits {
	return limits(accountLimit(c.settings.MemoryBytes), descriptorLimit(c.settings.MaxDescriptors))
}

func (c *sidecar) newListenerClients(listener string) *listenerClients {
	clients := &listenerClients{listener: listener}
	c.listeners = append(c.listeners, clients)
	return clients
}

// reportEndedClients counts and logs the clients that were ended.
func (c *sidecar) reportEndedClients() {
	for _, clients := range c.listeners {
		if ended := clients.ended.Swap(0); ended > 0 {
			c.meter.Count(port.MetricClientsEnded, clients.listener, int(ended))
			c.log.Warn().Str(logfield.Listener, clients.listener).Int64(logfield.Ended, ended).Msg("client connections ended")
		}
	}
}

func proxyConfig(s platform.Settings, options sidecarOptions) proxy.Config {
	return proxy.Config{
		Headers: platform.Headers(), DecodeLoad: platform.DecodeLoad, FailureDomain: s.FailureDomain, Region: s.Region, Regions: s.Regions,
		TargetAddress: s.TargetAddress, PeerPort: s.PeerPort,
		RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
		HalfBytes: options.halfBytes, KeepLargeInRegion: s.LostRegions > 0, LinkRate: s.LinkRate,
		MemoryLimit:   accountLimit(s.MemoryBytes),
		WarmupOverage: s.WarmupOverage, WarmupSlack: s.WarmupSlack,
		DrainGrace: follow.DrainGrace(propagationBound(s)), Seed: uint64(time.Now().UnixNano()), Started: time.Now(),
	}
}

// propagationBound returns the shorter of the platform's bounds on how long changes
// in its store may take to reach the nodes; zero if it sets none.
func propagationBound(s platform.Settings) time.Duration {
	shortest := time.Duration(0)
	for _, bound := range []time.Duration{s.DrainBound, s.ApplyBound, s.EvacuationBound} {
		if bound > 0 && (shortest == 0 || bound < shortest) {
			shortest = bound
		}
	}
	return shortest
}

// feedDialTimeout is long enough for one lost packet to be retransmitted.
const feedDialTimeout = 400 * time.Millisecond

// feedTransport opens the connections of feeds. It sets no read timeout: the
// heartbeats of a feed show when the connection no longer works.
func feedTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: feedDialTimeout}
	return &http.Transport{DialContext: responsehead.Check(dialer.DialContext), MaxResponseHeaderBytes: maxQueryHeaderBytes}
}
