package node

import (
	"slices"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// auditDomains records in the audit trail which failure domains became reachable
// or unreachable between two views, and whether the node became isolated. old is
// nil for the first view.
func (n *Node) auditDomains(old, view *membership.View) {
	if old == nil {
		return
	}
	for _, name := range view.Unreachable {
		if !slices.Contains(old.Unreachable, name) {
			n.audit(port.AuditEvent{Kind: port.AuditDomainChanged, Subject: name, Detail: "unreachable"})
		}
	}
	for _, name := range old.Unreachable {
		if !slices.Contains(view.Unreachable, name) {
			n.audit(port.AuditEvent{Kind: port.AuditDomainChanged, Subject: name, Detail: "reachable"})
		}
	}
	if old.Isolated != view.Isolated {
		detail := "peers are heard again"
		if view.Isolated {
			detail = "no peer is heard; the last good set is kept"
		}
		n.audit(port.AuditEvent{Kind: port.AuditDomainChanged, Subject: n.config.Self.ID, Detail: detail})
	}
}

func (n *Node) setMemberGauges(view *membership.View) {
	suspects := 0
	for i := range view.Records {
		if view.Records[i].State == membership.Suspect {
			suspects++
		}
	}
	live := 0
	for _, vms := range view.Targets {
		live += len(vms)
	}
	isolated := 0.0
	if view.Isolated {
		isolated = 1
	}
	n.ports.Meter.Set(port.MetricLiveMembers, "", float64(live))
	n.ports.Meter.Set(port.MetricSuspectMembers, "", float64(suspects))
	n.ports.Meter.Set(port.MetricUnconfirmedMembers, "", float64(view.Unconfirmed))
	n.ports.Meter.Set(port.MetricUnreachableDomains, "", float64(len(view.Unreachable)))
	n.ports.Meter.Set(port.MetricIsolated, "", isolated)
}
