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
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/adapter/callerhttp"
	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/adapter/feedws"
	"tamarackquay/internal/adapter/logout"
	"tamarackquay/internal/adapter/metrics"
	"tamarackquay/internal/follow"
	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
	"tamarackquay/internal/proxy"
	"tamarackquay/internal/wait"
	"tamarackquay/platform"
)

// Times of the sidecar.
const (
	// settingsPoll is how often the settings file is looked at: it may change
	// without a signal.
	settingsPoll = 500 * time.Millisecond
	// proxyTick is how often requests are started that time alone made room for.
	proxyTick = 100 * time.Millisecond
	// housekeeping is how often idle connections are closed and gauges set.
	housekeeping = time.Second
	// takeOut is how long after the order to stop callers may still come: the
	// platform asks once a second and takes a node out after two misses.
	takeOut = 2500 * time.Millisecond
	// killMargin is kept from the end of the grace time.
	killMargin = 700 * time.Millisecond
)

// Connections to other nodes and to the VM's own target.
var (
	peerConnections = exchange.Options{
		// Round trips are 40 ms at most; a VM that takes longer to open a
		// connection is away or can't be used in time.
		DialTimeout: 150 * time.Millisecond, IdleTimeout: 20 * time.Second,
		SilenceTimeout: 500 * time.Millisecond, MaxIdle: 16,
	}
	// targetConnections are to a process on the same VM, where opening takes
	// no time: one that doesn't answer at once is stopped or full.
	targetConnections = exchange.Options{
		DialTimeout: 300 * time.Millisecond, IdleTimeout: 4 * time.Second,
		SilenceTimeout: 2 * time.Second, MaxIdle: 64,
	}
)

// Bounds of the callers' listener; the configuration's own limits are checked
// for each request.
const (
	mostHeaderBytes = 64 << 10
	mostBodyBytes   = 1 << 30
)

// sidecarCollectPercent keeps the heap small: memory at its peak is paid for,
// and the live heap is a few megabytes.
const sidecarCollectPercent = 60

func newSidecarCommand() *cobra.Command {
	var options sidecarOptions
	command := &cobra.Command{
		Use:   "sidecar",
		Short: "Serve callers beside a target on the users' platform",
		Long: "Serve callers beside a target on the users' platform. The settings file is the platform's; its path\n" +
			"stands in the environment variable " + platform.SettingsVariable + ".",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			path := os.Getenv(platform.SettingsVariable)
			loaded, found := platform.LoadSettings(path)
			if len(found) > 0 {
				return found
			}
			if options.halfBytes < 0 {
				return errors.Errorf("--half-bytes is %v; a number from 0 on is wanted", options.halfBytes)
			}
			return runSidecar(path, loaded, options)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.metricsPort, "metrics-port", 0, "port of the metrics page; 0 for none")
	flags.StringVar(&options.level, "log-level", "info", "debug, info, warn or error")
	flags.Float64Var(&options.halfBytes, "half-bytes", placement.DefaultHalfBytes,
		"size of an answer in bytes at which leaving the failure domain weighs half as much as a late answer; 0 if bytes don't matter")
	return command
}

type sidecarOptions struct {
	metricsPort int
	level       string
	halfBytes   float64
}

// reloads gets the platform's word that the settings have changed (SIGHUP). It is
// set up before anything else: without a handler the signal ends the process, and
// one that came while a node was just starting left its VM without a node.
var reloads = notifyReload()

func notifyReload() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// sidecar holds the parts of a running process.
type sidecar struct {
	settings platform.Settings
	log      *log.Logger
	output   *logout.Writer
	proxy    *proxy.Proxy
	follower *follow.Follower
	peers    *exchange.Pool
	target   *exchange.Pool
	callers  *callerhttp.Server
	peerSide *http.Server
	meter    *metrics.Meter
}

func runSidecar(path string, s platform.Settings, options sidecarOptions) error {
	debug.SetGCPercent(sidecarCollectPercent)
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
	c.log.Info().Str("callers", s.Callers).Int("peers", s.PeerPort).Str(logfield.Service, s.Service).Str(logfield.Target, s.TargetAddress).Msg("started")
	err := waitForStop(failed)
	if err != nil {
		c.log.Error().Err(err).Msg("a listener failed")
	}
	c.stop()
	cancel()
	running.Wait()
	c.log.Info().Msg("stopped")
	if closeErr := c.output.Close(); closeErr != nil && err == nil {
		err = errors.Wrap(closeErr, "log output")
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
		peers: exchange.NewPool(peerConnections), target: exchange.NewPool(targetConnections),
	}
	c.proxy = proxy.New(proxyConfig(s, options), proxy.Ports{
		Clock: wallClock{}, Peers: c.peers, Target: c.target, Log: logger, Meter: c.meter,
		ViewAge: func() time.Duration { return c.follower.Age() },
	})
	c.proxy.SetService(s.Service)
	peerAddress := func(host string) string { return net.JoinHostPort(host, strconv.Itoa(s.PeerPort)) }
	c.follower = follow.New(follow.Config{
		Self: peerAddress(s.IP), FailureDomain: s.FailureDomain, Region: s.Region, Regions: s.Regions,
		PeerAddress:   func(target string) string { return peerAddress(follow.HostOf(target)) },
		InForceWithin: inForceWithin(s),
		Greet:         c.proxy.Greet,
	}, platform.NewStore(s.StoreAddress, logger), feedws.NewClient(feedTransport()), wallClock{}, logger, c.meter, c.takeView)
	c.callers = callerhttp.NewServer(c.proxy, callerhttp.Limits{HeaderBytes: mostHeaderBytes, BodyBytes: mostBodyBytes})
	c.peerSide = c.newPeerSide(peerAddress)
	return c
}

func proxyConfig(s platform.Settings, options sidecarOptions) proxy.Config {
	return proxy.Config{
		Headers: platform.Headers(), FailureDomain: s.FailureDomain, Region: s.Region, Regions: s.Regions,
		TargetAddress: s.TargetAddress, PeerPort: s.PeerPort,
		RepeatRatio: s.RepeatRatio, RepeatFew: s.RepeatFew, RepeatWindow: s.RepeatWindow,
		HalfBytes: options.halfBytes, LinkRate: s.LinkRate, Seed: uint64(time.Now().UnixNano()),
	}
}

// inForceWithin is the shorter of the platform's bounds for what nodes learn from
// its store; zero where it names none.
func inForceWithin(s platform.Settings) time.Duration {
	if s.DrainWithin == 0 || s.ChangeWithin == 0 {
		return max(s.DrainWithin, s.ChangeWithin)
	}
	return min(s.DrainWithin, s.ChangeWithin)
}

// feedDialTimeout is long enough for a lost packet to be sent again.
const feedDialTimeout = 400 * time.Millisecond

// feedTransport opens the connections of feeds. A feed's own beats show when it
// has gone silent.
func feedTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: feedDialTimeout}
	return &http.Transport{DialContext: dialer.DialContext}
}

// newPeerSide serves other nodes: feeds, and requests for the VM's own target.
func (c *sidecar) newPeerSide(peerAddress func(host string) string) *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.GET(feedws.Path, echo.WrapHandler(feedws.NewHandler(c.follower, c.proxy.CountSent)))
	hint := func(r *http.Request) { c.follower.Hint(peerAddress(follow.HostOf(r.RemoteAddr))) }
	e.GET(proxy.PingPath, func(context echo.Context) error {
		hint(context.Request())
		return context.NoContent(http.StatusNoContent)
	})
	e.Any("/*", func(context echo.Context) error {
		hint(context.Request())
		c.proxy.ServePeer(context.Response(), context.Request())
		return nil
	})
	return &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout, ConnContext: callhttp.ConnContext}
}

func (c *sidecar) listen(options sidecarOptions, failed chan<- error) error {
	s := c.settings
	readiness := echo.New()
	readiness.HideBanner = true
	readiness.GET("/ready", c.ready)
	servers := []struct {
		name, address string
		run           func(net.Listener) error
	}{
		{"callers", s.Callers, c.callers.Run},
		{"peers", net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)), c.peerSide.Serve},
		{"readiness", s.Readiness, (&http.Server{Handler: readiness, ReadHeaderTimeout: readHeaderTimeout}).Serve},
	}
	for _, server := range servers {
		listener, err := net.Listen("tcp", server.address)
		if err != nil {
			return errors.Wrap(err, server.name)
		}
		go serve(server.run, listener, failed)
	}
	if options.metricsPort > 0 {
		return c.listenMetrics(options.metricsPort, failed)
	}
	return nil
}

func (c *sidecar) listenMetrics(port int, failed chan<- error) error {
	e := echo.New()
	e.HideBanner = true
	e.GET("/metrics", func(context echo.Context) error {
		c.meter.Write(context.Response())
		return nil
	})
	listener, err := net.Listen("tcp", net.JoinHostPort(c.settings.IP, strconv.Itoa(port)))
	if err != nil {
		return errors.Wrap(err, "metrics")
	}
	go serve((&http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}).Serve, listener, failed)
	return nil
}

func (c *sidecar) ready(context echo.Context) error {
	if c.proxy.Ready() {
		return context.NoContent(http.StatusOK)
	}
	return context.NoContent(http.StatusServiceUnavailable)
}

// takeView makes the picture that requests are routed by.
func (c *sidecar) takeView(view *mesh.View) {
	picture := &proxy.Picture{Table: view.Table(), Services: view.Takers(), Own: view.At(c.settings.TargetAddress)}
	hosts := map[string]bool{}
	for _, member := range view.Members() {
		hosts[follow.HostOf(member.Address)] = true
	}
	picture.Nodes = len(hosts)
	c.meter.Set(port.MetricConfigVersion, "", float64(view.Version()))
	for service, members := range picture.Services {
		c.meter.Set(port.MetricTargetsUsable, service, float64(len(members)))
	}
	c.proxy.SetPicture(picture)
}

func (c *sidecar) tick(ctx context.Context) {
	sweep := time.Now()
	for wait.Sleep(ctx, proxyTick) {
		c.proxy.Tick()
		if now := time.Now(); now.Sub(sweep) > housekeeping {
			sweep = now
			c.keepHouse(now)
		}
	}
}

// keepHouse closes idle connections and brings metrics and the log up to date.
func (c *sidecar) keepHouse(now time.Time) {
	c.peers.CloseIdle(now)
	c.target.CloseIdle(now)
	c.closeOverdue(now)
	c.proxy.TellLeftOut()
	if lines := c.output.TakeDropped(); lines > 0 {
		c.meter.Count(port.MetricLinesDropped, "output", int(lines))
		c.log.Warn().Str(logfield.Kind, "output").Int64(logfield.Lines, lines).Msg("lines dropped")
	}
	running, waiting := c.proxy.Counts()
	c.meter.Set(port.MetricSlotsRunning, "", float64(running))
	c.meter.Set(port.MetricQueueWaiting, "", float64(waiting))
	c.meter.Set(port.MetricRequestsOpen, "", float64(c.proxy.Open()))
	c.meter.Set(port.MetricLinkWait, "", c.proxy.LinkWait().Seconds())
	c.meter.Set(port.MetricViewAge, "", c.follower.Age().Seconds())
}

// closeOverdue ends the connections of callers that keep this node waiting for
// longer than the configuration allows.
func (c *sidecar) closeOverdue(now time.Time) {
	limits := c.proxy.Limits()
	ended, err := c.callers.CloseOverdue(now, callerhttp.Waits{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout})
	if err != nil {
		c.log.Warn().Err(err).Msg("overdue connections are left open")
	}
	c.meter.Count(port.MetricOverdue, "", ended)
}

// watchSettings takes up changed settings, on a signal and without one.
func (c *sidecar) watchSettings(ctx context.Context, path string) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	var seen time.Time
	for {
		select {
		case <-reloads:
			seen = time.Time{}
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		info, err := os.Stat(path)
		if err != nil || info.ModTime().Equal(seen) {
			continue
		}
		seen = info.ModTime()
		c.reload(path)
	}
}

// reload takes up what may change while the process runs: the service of the
// VM's target.
func (c *sidecar) reload(path string) {
	loaded, found := platform.LoadSettings(path)
	if len(found) > 0 {
		c.log.Error().Err(found).Msg("changed settings are not taken up")
		return
	}
	c.log.Info().Str(logfield.Service, loaded.Service).Msg("settings loaded")
	c.proxy.SetService(loaded.Service)
}

// stop is the graceful shutdown. The node says that it isn't ready, serves on
// until the platform sends no more callers, gives its target no more work then,
// and ends connections politely once their last answer is out.
func (c *sidecar) stop() {
	begin := time.Now()
	c.log.Info().Int64("open", c.proxy.Open()).Msg("stopping")
	endsBy := begin.Add(c.settings.Grace - killMargin)
	c.proxy.Stop(endsBy)
	wait.Sleep(context.Background(), takeOut)
	c.proxy.StopOwn()
	if err := c.callers.StopAccepting(); err != nil {
		c.log.Warn().Err(err).Msg("callers' listener")
	}
	ctx, cancel := context.WithDeadline(context.Background(), endsBy)
	defer cancel()
	for c.proxy.Open() > 0 && wait.Sleep(ctx, stopPoll) {
	}
	if err := c.callers.CloseIdle(); err != nil {
		c.log.Warn().Err(err).Msg("idle connections closed without an answer")
	}
	for _, server := range []*http.Server{c.callers.Server, c.peerSide} {
		if err := server.Shutdown(ctx); err != nil {
			c.log.Warn().Err(err).Msg("listener closed late")
		}
	}
}

// stopPoll is how often a stopping node looks whether requests still run.
const stopPoll = 20 * time.Millisecond
