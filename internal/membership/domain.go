package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// domain is the state of one failure domain in the table.
type domain struct {
	name    string
	members []*member
	// contact is the last time that any VM of this node's own domain received
	// a message directly from a VM of the domain.
	contact   time.Time
	reachable bool
	// failures counts the cross-domain probes that failed since the last
	// contact. Each failure moves the probes to another VM of the domain.
	failures uint64
	// sum is the XOR of the hashes of all records included in digests.
	sum uint64
}

func (t *Table) ensureDomain(now time.Time, name string) *domain {
	d, ok := t.domains[name]
	if !ok {
		d = &domain{name: name, contact: now, reachable: true}
		t.domains[name] = d
	}
	return d
}

// dropEmptyDomain removes a failure domain without VMs. Otherwise its name would
// stay in every heartbeat.
func (t *Table) dropEmptyDomain(name string) {
	if d, ok := t.domains[name]; ok && len(d.members) == 0 {
		delete(t.domains, name)
	}
}

func (d *domain) add(m *member) {
	d.members = append(d.members, m)
	if m.confirmed() && !m.dormant {
		d.sum ^= m.record.hash()
	}
}

func (d *domain) remove(m *member) {
	if i := slices.Index(d.members, m); i >= 0 {
		d.members = slices.Delete(d.members, i, i+1)
	}
	if m.confirmed() && !m.dormant {
		d.sum ^= m.record.hash()
	}
}

// makeDormant marks a member as dormant and removes its record from the digest.
func (d *domain) makeDormant(m *member) {
	if m.confirmed() && !m.dormant {
		d.sum ^= m.record.hash()
	}
	m.dormant = true
}

// reactivate ends the dormancy of live members when the domain is reachable
// again.
func (d *domain) reactivate() {
	for _, m := range d.members {
		if m.dormant && m.confirmed() && m.record.State == Live {
			m.dormant = false
			d.sum ^= m.record.hash()
		}
	}
}

func (r *Record) hash() uint64 {
	var buffer [256]byte
	raw := buffer[:0]
	for _, field := range r.VM.fields() {
		raw = append(raw, field...)
		raw = append(raw, 0)
	}
	raw = binary.LittleEndian.AppendUint64(raw, r.Incarnation)
	raw = binary.LittleEndian.AppendUint64(raw, r.Sequence)
	return xxhash.Sum64(append(raw, byte(r.State)))
}

// ContactMade records that a message was received directly from a VM. It reports
// whether this ended the loss of contact with the VM's domain or with all peers.
// In that case the VM should be asked for missed records, since others may have
// departed in the meantime.
func (t *Table) ContactMade(now time.Time, vm VM) bool {
	if vm.ID == t.self.record.VM.ID {
		return false
	}
	t.lastContact = now
	d := t.ensureDomain(now, vm.FailureDomain)
	d.failures = 0
	returned := !d.reachable
	t.updateContact(d, now)
	if t.isolated {
		t.isolated = false
		t.resetContacts(now)
		returned = true
	}
	return returned
}

func (t *Table) updateContact(d *domain, at time.Time) {
	if at.After(d.contact) {
		d.contact = at
	}
	if !d.reachable {
		d.reachable = true
		d.reactivate()
		t.invalidate()
	}
}

// Contacts returns the time since the last contact of this node's domain with
// each other domain.
func (t *Table) Contacts(now time.Time) []DomainContact {
	contacts := make([]DomainContact, 0, len(t.domains))
	for _, d := range t.domains {
		if d.name != t.self.record.VM.FailureDomain {
			contacts = append(contacts, DomainContact{FailureDomain: d.name, AgeMillis: uint32(max(0, now.Sub(d.contact).Milliseconds()))})
		}
	}
	slices.SortFunc(contacts, func(a, b DomainContact) int { return strings.Compare(a.FailureDomain, b.FailureDomain) })
	return contacts
}

// relayDelay is added to the age of each contact that a VM of the same domain
// reports, to account for the transmission time. It is larger than the
// transmission time within a domain: with a smaller value, VMs that report the
// same contact to each other in turn would keep a lost domain reachable.
const relayDelay = 100 * time.Millisecond

// ContactsReceived processes the contacts with other domains reported by a VM of
// the same failure domain.
func (t *Table) ContactsReceived(now time.Time, from VM, contacts []DomainContact) {
	if from.FailureDomain != t.self.record.VM.FailureDomain {
		return
	}
	for _, c := range contacts {
		d, ok := t.domains[c.FailureDomain]
		at := now.Add(-relayDelay - time.Duration(c.AgeMillis)*time.Millisecond)
		if ok && at.After(d.contact) && now.Sub(at) <= t.config.domainTimeout() {
			t.updateContact(d, at)
		}
	}
}

// updateReachability determines which domains are reachable. A node without any
// contact is itself isolated. It keeps its last state, since the last usable set
// of targets is better than none.
func (t *Table) updateReachability(now time.Time) {
	if !t.isolated && len(t.members) > 1 && now.Sub(t.lastContact) > t.config.SuspectAfter {
		t.isolated = true
		t.invalidate()
	}
	if t.isolated || now.Before(t.graceUntil) {
		return
	}
	for _, d := range t.domains {
		reachable := d.name == t.self.record.VM.FailureDomain || now.Sub(d.contact) <= t.config.domainTimeout()
		if reachable != d.reachable {
			d.reachable = reachable
			t.invalidate()
		}
	}
}

// resetContacts sets the last contact of all domains to now, because the missing
// contact was caused by this node.
func (t *Table) resetContacts(now time.Time) {
	t.lastContact = now
	t.graceUntil = now.Add(t.config.SuspectAfter)
	for _, d := range t.domains {
		d.contact = now
		d.reachable = true
	}
	t.invalidate()
}

// Resume is called when the node detects that its process was paused. The time
// without messages from others was caused by the pause.
func (t *Table) Resume(now time.Time) {
	t.isolated = false
	t.synced = false
	t.resetContacts(now)
}

// RefreshPeers returns the neighbours to ask for updates missed during a pause.
// There are several, since some may have left in the meantime.
func (t *Table) RefreshPeers() []VM { return t.randomPeers(gossipFanout) }

// Isolated reports whether this node has no contact with any peer.
func (t *Table) Isolated() bool { return t.isolated }

// Digest returns a checksum of the table's records per failure domain.
func (t *Table) Digest() []DomainDigest {
	digest := make([]DomainDigest, 0, len(t.domains))
	for _, d := range t.domains {
		if len(d.members) > 0 {
			digest = append(digest, DomainDigest{FailureDomain: d.name, Sum: d.sum})
		}
	}
	slices.SortFunc(digest, func(a, b DomainDigest) int { return strings.Compare(a.FailureDomain, b.FailureDomain) })
	return digest
}

// DiffDigest compares the table with the digest of a peer. It returns the
// domains that differ and this table's records of them.
func (t *Table) DiffDigest(digest []DomainDigest) (domains []string, records []Record) {
	theirs := make(map[string]uint64, len(digest))
	for _, d := range digest {
		theirs[d.FailureDomain] = d.Sum
	}
	for name, d := range t.domains {
		if sum, ok := theirs[name]; !ok && len(d.members) > 0 || ok && sum != d.sum {
			domains = append(domains, name)
		}
		delete(theirs, name)
	}
	for name := range theirs {
		domains = append(domains, name)
	}
	slices.Sort(domains)
	return domains, t.RecordsOf(domains)
}

// RecordsOf returns the records of failure domains that are included in digests.
func (t *Table) RecordsOf(domains []string) []Record {
	var records []Record
	for _, name := range domains {
		d, ok := t.domains[name]
		if !ok {
			continue
		}
		for _, m := range d.members {
			if m.confirmed() && !m.dormant {
				records = append(records, m.record)
			}
		}
	}
	return records
}

// NewerRecords returns this table's records of the domains that are newer than
// the ones sent by a peer, or missing from them, to be sent to that peer.
func (t *Table) NewerRecords(domains []string, sent []Record) []Record {
	theirs := make(map[string]*Record, len(sent))
	for i := range sent {
		theirs[sent[i].VM.ID] = &sent[i]
	}
	var newer []Record
	for _, record := range t.RecordsOf(domains) {
		if known, ok := theirs[record.VM.ID]; !ok || record.newer(known) {
			newer = append(newer, record)
		}
	}
	return newer
}
