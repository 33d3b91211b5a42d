package membership

import (
	"maps"
	"time"
)

// View is an immutable snapshot of the table, read by requests.
type View struct {
	// Peers are all other VMs in reachable domains to which control messages may
	// be sent, sorted by id.
	Peers []VM
	// Targets are the VMs that take new work, by service, sorted by id.
	Targets map[string][]VM
	// Records are the records of all confirmed VMs, sorted by VM id.
	Records []Record
	// Unconfirmed is the number of VMs that are known only from the platform's
	// list.
	Unconfirmed int
	// Unreachable are the failure domains without contact to this node's own.
	Unreachable []string
	// Isolated is set while the node has no contact with any peer and keeps its
	// last state.
	Isolated bool
}

// Changed reports whether the table has changed since the last call of View.
func (t *Table) Changed() bool { return t.viewStale }

// View returns a snapshot of the table. It is rebuilt only after a change, so
// its cost depends on the number of changes and not on the number of messages.
func (t *Table) View(now time.Time) *View {
	if !t.viewStale {
		return t.view
	}
	view := &View{
		Peers: make([]VM, 0, len(t.ordered)), Records: make([]Record, 0, len(t.ordered)),
		Targets: map[string][]VM{}, Isolated: t.isolated,
	}
	if t.view != nil {
		for service, vms := range t.view.Targets {
			view.Targets[service] = make([]VM, 0, len(vms)+1)
		}
	}
	fallback := map[string][]VM{}
	for _, m := range t.ordered {
		if !m.confirmed() {
			view.Unconfirmed++
			continue
		}
		view.Records = append(view.Records, m.record)
		reachable := t.domains[m.record.VM.FailureDomain].reachable
		if m != t.self && reachable && t.contactable(m) {
			view.Peers = append(view.Peers, m.record.VM)
		}
		if t.eligible(now, m) {
			into := view.Targets
			if m.record.State == Suspect || !reachable {
				into = fallback
			}
			into[m.record.VM.Service] = append(into[m.record.VM.Service], m.record.VM)
		}
	}
	// A service whose targets are all suspect or unreachable keeps them: requests
	// to them may fail, but without any target every request fails. Departed VMs
	// stay excluded.
	for service, vms := range fallback {
		if len(view.Targets[service]) == 0 {
			view.Targets[service] = vms
		}
	}
	maps.DeleteFunc(view.Targets, func(_ string, vms []VM) bool { return len(vms) == 0 })
	for _, d := range t.domains {
		if !d.reachable && len(d.members) > 0 {
			view.Unreachable = append(view.Unreachable, d.name)
		}
	}
	t.viewStale = false
	t.view = view
	return view
}

// eligible reports whether a VM takes new work according to its record and the
// platform's list.
func (t *Table) eligible(now time.Time, m *member) bool {
	takes := m.record.State == Live || m.record.State == Suspect
	return takes && !m.listedDeparting(now) && !t.superseded(m)
}
