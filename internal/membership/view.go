package membership

import (
	"maps"
	"time"
)

// View is an immutable picture of the table for requests to read.
type View struct {
	// Peers are all VMs that may be talked to, sorted by id, the node itself
	// left out.
	Peers []VM
	// Targets are the VMs that take new work, by service, sorted by id.
	Targets map[string][]VM
	// Records are those of all VMs that were heard, sorted by VM id.
	Records []Record
	// Unheard counts VMs that only the platform's list has named.
	Unconfirmed int
	// Unreachable are the failure domains that this one has no contact with.
	Unreachable []string
	// Isolated is set while the node hears nobody and keeps its last good set.
	Isolated bool
}

// Changed reports whether the next View will differ from the last.
func (t *Table) Changed() bool { return t.dirty }

// View returns the picture at now. It is built anew only after a change, so its
// cost follows the number of changes and not of messages.
func (t *Table) View(now time.Time) *View {
	if !t.dirty {
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
	silent := map[string][]VM{}
	for _, m := range t.ordered {
		if !m.heard() {
			view.Unconfirmed++
			continue
		}
		view.Records = append(view.Records, m.record)
		reachable := t.domains[m.record.VM.FailureDomain].reachable
		if m != t.self && reachable && t.talks(m) {
			view.Peers = append(view.Peers, m.record.VM)
		}
		if t.eligible(now, m) {
			into := view.Targets
			if m.record.State == Suspect || !reachable {
				into = silent
			}
			into[m.record.VM.Service] = append(into[m.record.VM.Service], m.record.VM)
		}
	}
	// A service whose every target fell silent keeps them: sending to them may
	// fail, having none to send to must. Departures are no silence and stay out.
	for service, vms := range silent {
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
	t.dirty = false
	t.view = view
	return view
}

// eligible reports whether a VM takes new work as far as its own word and the
// platform's list go.
func (t *Table) eligible(now time.Time, m *member) bool {
	takes := m.record.State == Live || m.record.State == Suspect
	return takes && !m.departingByList(now) && !t.superseded(m)
}
