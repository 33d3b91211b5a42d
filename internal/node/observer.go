package node

import (
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// observePeriod is the least time between two rounds of gauges and of member
// events: what happens faster is seen together.
const observePeriod = time.Second

// observer notes what operators ask about later: how the platform answers,
// and which versions and requests were refused. It decides nothing.
type observer struct {
	started  time.Time
	platform *observedPlatform
	troubles *troubleLog
	refusals *refusalTally

	// last is when gauges were set, told the last state of the platform in the
	// trail; both are the control loop's own.
	last time.Time
	told PlatformState
}

// observe puts the node's observers around its ports.
func (n *Node) observe(now time.Time) {
	troubles := &troubleLog{inner: n.ports.Audit}
	platform := observePlatform(n.ports)
	n.ports.Audit = troubles
	n.ports.Platform = platform
	n.observer = &observer{
		started: now, platform: platform, troubles: troubles, refusals: newRefusalTally(now), last: now,
	}
}

// observe sets gauges and records what changed since the last round.
func (o *observer) observe(n *Node, now time.Time, s *Status, view *membership.View) {
	// Each state that health has shown is told, however short it was.
	if event, ok := platformEvent(o.told, s.Platform); ok {
		n.audit(event)
	}
	o.told = s.Platform.State
	if now.Sub(o.last) < observePeriod {
		return
	}
	o.last = now
	for _, event := range memberEvents(n.table.TakeChanges()) {
		n.audit(event)
	}
	for _, event := range o.refusals.due(now) {
		n.audit(event)
	}
	n.setGauges(now, s)
	n.countMembers(view)
}

// platformEvent tells that the platform went away or came back. A node that
// reads it for the first time tells nothing.
func platformEvent(before PlatformState, now PlatformStatus) (port.AuditEvent, bool) {
	switch {
	case now.State == PlatformUnreachable && before != PlatformUnreachable:
		return port.AuditEvent{Kind: port.AuditPlatformDown, Detail: now.Problem}, true
	case now.State == PlatformReachable && before == PlatformUnreachable:
		return port.AuditEvent{Kind: port.AuditPlatformUp}, true
	}
	return port.AuditEvent{}, false
}

func (n *Node) setGauges(now time.Time, s *Status) {
	meter := n.ports.Meter
	running, waiting := n.gate.Counts()
	meter.Set(port.MetricSlotsRunning, "", float64(running))
	meter.Set(port.MetricQueueWaiting, "", float64(waiting))
	meter.Set(port.MetricRequestsOpen, "", float64(n.running.Load()))
	meter.Set(port.MetricVersionEpoch, "", float64(s.Applied.Epoch))
	meter.Set(port.MetricVersionRevision, "", float64(s.Applied.Revision))
	meter.Set(port.MetricReportedRevision, "", float64(s.Reported.Revision))
	if !s.PublishedAt.IsZero() {
		meter.Set(port.MetricConfigurationAge, "", now.Sub(s.PublishedAt).Seconds())
	}
	meter.Set(port.MetricPlatformReachable, "", flag(s.Platform.State == PlatformReachable))
	for _, state := range []HealthState{HealthReady, HealthOldConfiguration, HealthNotReady, HealthStopping} {
		meter.Set(port.MetricHealth, string(state), flag(s.Health.State == state))
	}
}

func flag(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
