package main

import (
	"context"
	"os"
	"time"

	"tamarackquay/internal/adapter/httpserver"
	"tamarackquay/internal/follow"
	"tamarackquay/internal/link"
	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
	"tamarackquay/internal/proxy"
	"tamarackquay/internal/wait"
	"tamarackquay/platform"
)

// Intervals of the sidecar's loops.
const (
	// settingsPollInterval is how often the settings file is checked: it may change
	// without a signal.
	settingsPollInterval = 500 * time.Millisecond
	// proxyTickInterval is how often the proxy starts waiting requests that can run
	// because time has passed, without another request having ended.
	proxyTickInterval = 100 * time.Millisecond
	// housekeepInterval is how often idle connections are closed and gauges are set.
	housekeepInterval = time.Second
)

// applyView builds the snapshot that requests are routed by. The part derived from
// the targets is rebuilt only when they have changed: in a burst of configuration
// changes they mostly have not.
func (c *sidecar) applyView(view *mesh.View) {
	c.meter.Set(port.MetricConfigVersion, "", float64(view.Version()))
	snapshot := c.snapshot
	if snapshot.MembersGeneration != view.MembersGeneration() {
		snapshot = c.buildSnapshot(view)
	}
	snapshot.Table = view.Table()
	c.snapshot = snapshot
	c.proxy.SetSnapshot(&snapshot)
}

func (c *sidecar) buildSnapshot(view *mesh.View) proxy.Snapshot {
	snapshot := proxy.Snapshot{Services: view.ReadyByService(), Local: view.MemberAt(c.settings.TargetAddress), MembersGeneration: view.MembersGeneration()}
	snapshot.LocalEvacuated = view.Evacuated(c.settings.FailureDomain)
	hosts := make(map[string]bool, len(view.Members()))
	for _, member := range view.Members() {
		hosts[follow.HostOf(member.Address)] = true
	}
	snapshot.ListedVMs = len(hosts)
	for service, members := range snapshot.Services {
		c.meter.Set(port.MetricTargetsUsable, service, float64(len(members)))
	}
	return snapshot
}

func (c *sidecar) tick(ctx context.Context) {
	lastSweep := time.Now()
	for wait.Sleep(ctx, proxyTickInterval) {
		c.proxy.Tick()
		if now := time.Now(); now.Sub(lastSweep) > housekeepInterval {
			lastSweep = now
			c.housekeep(now)
		}
	}
}

// housekeep closes idle connections, sets the gauges and logs what was dropped.
func (c *sidecar) housekeep(now time.Time) {
	c.peers.CloseIdle(now)
	c.target.CloseIdle(now)
	c.closeSlowConnections(now)
	c.reportEndedClients()
	c.proxy.LogDroppedLines()
	if lines := c.output.TakeDropped(); lines > 0 {
		c.meter.Count(port.MetricLinesDropped, "output", int(lines))
		c.log.Warn().Str(logfield.Kind, "output").Int64(logfield.Lines, lines).Msg("lines dropped")
	}
	c.meter.Set(port.MetricQuarantined, "", float64(c.crashes.BlockedCount()))
	if dropped := c.crashes.TakeDropped(); dropped > 0 {
		c.meter.Count(port.MetricCrashesDropped, "", dropped)
	}
	running, waiting := c.proxy.Counts()
	c.meter.Set(port.MetricSlotsRunning, "", float64(running))
	c.meter.Set(port.MetricQueueWaiting, "", float64(waiting))
	c.proxy.MeasureTarget()
	c.proxy.MeasureShortages()
	c.proxy.MeasureRetries()
	c.proxy.MeasureMemory()
	c.meter.Set(port.MetricRequestsOpen, "", float64(c.proxy.InFlight()))
	c.meter.Set(port.MetricLinkWait, "", c.proxy.LinkWait().Seconds())
	expected, waiting, sending := c.proxy.Transfers()
	c.meter.Set(port.MetricLinkTransfers, "expected", float64(expected))
	c.meter.Set(port.MetricLinkTransfers, "waiting", float64(waiting))
	c.meter.Set(port.MetricLinkTransfers, "sending", float64(sending))
	c.meter.Set(port.MetricLinkReceive, "", c.proxy.ReceiveTime(link.LargeSize).Seconds())
	c.meter.Set(port.MetricViewAge, "", c.follower.Age().Seconds())
}

// closeSlowConnections closes the connections of callers that keep this node
// waiting for longer than the configuration allows.
func (c *sidecar) closeSlowConnections(now time.Time) {
	limits := c.proxy.Limits()
	closed, err := c.callers.CloseTimedOut(now, httpserver.Timeouts{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout})
	if err != nil {
		c.log.Warn().Err(err).Msg("slow caller connections stay open")
	}
	c.meter.Count(port.MetricTimedOutConnections, "", closed)
}

// watchSettings reloads the settings file after a signal, or when its modification
// time has changed.
func (c *sidecar) watchSettings(ctx context.Context, path string) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var lastModified time.Time
	for {
		select {
		case <-reloads:
			lastModified = time.Time{}
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		info, err := os.Stat(path)
		if err != nil || info.ModTime().Equal(lastModified) {
			continue
		}
		lastModified = info.ModTime()
		c.reloadSettings(path)
	}
}

// reloadSettings applies the only setting that may change while the process runs:
// the service of the VM's target.
func (c *sidecar) reloadSettings(path string) {
	loaded, found := platform.LoadSettings(path)
	if len(found) > 0 {
		c.log.Error().Err(found).Msg("changed settings are not taken up")
		return
	}
	c.log.Info().Str(logfield.Service, loaded.Service).Msg("settings loaded")
	c.proxy.SetService(loaded.Service)
}
