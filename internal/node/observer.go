package node

import (
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// observePeriod is the shortest time between two rounds of gauges and member
// events: changes within it are combined.
const observePeriod = time.Second

// observer collects state for operators: whether the platform responds, and
// which versions and requests were refused. It has no effect on the node's
// decisions.
type observer struct {
	started  time.Time
	platform *observedPlatform
	problems *problemLog
	refusals *refusalCounter

	// lastRound is when gauges were last set; auditedPlatform is the platform's
	// state at the last check for an audit event. Only the control loop accesses
	// both.
	lastRound       time.Time
	auditedPlatform PlatformState
}

// wrapPorts wraps the node's ports with its observers.
func (n *Node) wrapPorts(now time.Time) {
	problems := &problemLog{inner: n.ports.Audit}
	platform := observePlatform(n.ports)
	n.ports.Audit = problems
	n.ports.Platform = platform
	n.observer = &observer{
		started: now, platform: platform, problems: problems, refusals: newRefusalCounter(now), lastRound: now,
	}
}

// observe sets gauges and records changes since the last round.
func (o *observer) observe(n *Node, now time.Time, s *Status, view *membership.View) {
	// Each platform state that health has shown is recorded, however briefly it
	// lasted.
	if event, ok := platformEvent(o.auditedPlatform, s.Platform); ok {
		n.audit(event)
	}
	o.auditedPlatform = s.Platform.State
	if now.Sub(o.lastRound) < observePeriod {
		return
	}
	o.lastRound = now
	for _, event := range memberEvents(n.table.TakeChanges()) {
		n.audit(event)
	}
	for _, event := range o.refusals.due(now) {
		n.audit(event)
	}
	n.setGauges(now, s)
	n.setMemberGauges(view)
}

// platformEvent returns an event if the platform became unreachable, or
// reachable again. A node's first successful read is no event.
func platformEvent(previous PlatformState, current PlatformStatus) (port.AuditEvent, bool) {
	switch {
	case current.State == PlatformUnreachable && previous != PlatformUnreachable:
		return port.AuditEvent{Kind: port.AuditPlatformDown, Detail: current.Problem}, true
	case current.State == PlatformReachable && previous == PlatformUnreachable:
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
	meter.Set(port.MetricPlatformReachable, "", boolGauge(s.Platform.State == PlatformReachable))
	for _, state := range []HealthState{HealthReady, HealthOldConfiguration, HealthNotReady, HealthStopping} {
		meter.Set(port.MetricHealth, string(state), boolGauge(s.Health.State == state))
	}
}

func boolGauge(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
