package main

import (
	"context"
	"os"
	"time"

	"tamarackquay/internal/adapter/callerhttp"
	"tamarackquay/internal/follow"
	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
	"tamarackquay/internal/proxy"
	"tamarackquay/internal/wait"
	"tamarackquay/platform"
)

// Times of the sidecar's loops.
const (
	// settingsPoll is how often the settings file is looked at: it may change
	// without a signal.
	settingsPoll = 500 * time.Millisecond
	// proxyTick is how often requests are started that time alone made room for.
	proxyTick = 100 * time.Millisecond
	// housekeeping is how often idle connections are closed and gauges set.
	housekeeping = time.Second
)

// takeView makes the picture that requests are routed by. What follows from the
// targets is made anew only when they have changed: in a storm of changes of the
// configuration they mostly have not.
func (c *sidecar) takeView(view *mesh.View) {
	c.meter.Set(port.MetricConfigVersion, "", float64(view.Version()))
	picture := c.picture
	if picture.MembersVersion != view.MembersGeneration() {
		picture = c.pictureOfMembers(view)
	}
	picture.Table = view.Table()
	c.picture = picture
	c.proxy.SetSnapshot(&picture)
}

func (c *sidecar) pictureOfMembers(view *mesh.View) proxy.Snapshot {
	picture := proxy.Snapshot{Services: view.ReadyByService(), Local: view.MemberAt(c.settings.TargetAddress), MembersVersion: view.MembersGeneration()}
	hosts := make(map[string]bool, len(view.Members()))
	for _, member := range view.Members() {
		hosts[follow.HostOf(member.Address)] = true
	}
	picture.Nodes = len(hosts)
	for service, members := range picture.Services {
		c.meter.Set(port.MetricTargetsUsable, service, float64(len(members)))
	}
	return picture
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
	c.meter.Set(port.MetricRequestsOpen, "", float64(c.proxy.InFlight()))
	c.meter.Set(port.MetricLinkWait, "", c.proxy.LinkWait().Seconds())
	c.meter.Set(port.MetricViewAge, "", c.follower.Age().Seconds())
}

// closeOverdue ends the connections of callers that keep this node waiting for
// longer than the configuration allows.
func (c *sidecar) closeOverdue(now time.Time) {
	limits := c.proxy.Limits()
	ended, err := c.callers.CloseTimedOut(now, callerhttp.Timeouts{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout})
	if err != nil {
		c.log.Warn().Err(err).Msg("overdue connections are left open")
	}
	c.meter.Count(port.MetricSlowConnections, "", ended)
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
