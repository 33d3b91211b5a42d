package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// domain is what the table holds of one failure domain.
type domain struct {
	name    string
	members []*member
	// contact is when anyone of this node's own domain last heard directly
	// from a VM of the domain.
	contact   time.Time
	reachable bool
	// failures counts probes across that failed since the last contact; it
	// moves the probes on to other VMs of the domain.
	failures uint64
	// sum is the XOR of the hashes of all records that digests cover.
	sum uint64
}

func (t *Table) domain(now time.Time, name string) *domain {
	d, ok := t.domains[name]
	if !ok {
		d = &domain{name: name, contact: now, reachable: true}
		t.domains[name] = d
	}
	return d
}

// dropEmpty forgets a failure domain without VMs. Its name would else stay in
// every heartbeat.
func (t *Table) dropEmpty(name string) {
	if d, ok := t.domains[name]; ok && len(d.members) == 0 {
		delete(t.domains, name)
	}
}

func (d *domain) add(m *member) {
	d.members = append(d.members, m)
	if m.heard() && !m.dormant {
		d.sum ^= m.record.hash()
	}
}

func (d *domain) remove(m *member) {
	if i := slices.Index(d.members, m); i >= 0 {
		d.members = slices.Delete(d.members, i, i+1)
	}
	if m.heard() && !m.dormant {
		d.sum ^= m.record.hash()
	}
}

// hide makes a member dormant: its record leaves the digest.
func (d *domain) hide(m *member) {
	if m.heard() && !m.dormant {
		d.sum ^= m.record.hash()
	}
	m.dormant = true
}

// wake ends the dormancy of live members, when the domain was heard again.
func (d *domain) wake() {
	for _, m := range d.members {
		if m.dormant && m.heard() && m.record.State == Live {
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

// Contact notes that a VM was heard directly. It reports whether that ended a
// silence, of the VM's domain or of all: the VM should then be asked for what
// was missed, since others may have departed meanwhile.
func (t *Table) ContactMade(now time.Time, vm VM) bool {
	if vm.ID == t.self.record.VM.ID {
		return false
	}
	t.lastContact = now
	d := t.domain(now, vm.FailureDomain)
	d.failures = 0
	returned := !d.reachable
	t.contacted(d, now)
	if t.isolated {
		t.isolated = false
		t.restart(now)
		returned = true
	}
	return returned
}

func (t *Table) contacted(d *domain, at time.Time) {
	if at.After(d.contact) {
		d.contact = at
	}
	if !d.reachable {
		d.reachable = true
		d.wake()
		t.touch()
	}
}

// Contacts returns how long ago this domain last heard from each other one.
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

// hopAge is added to the age of each contact that a mate tells of, for the time
// that the telling took. It lies above the time that a message takes within a
// domain: with less, mates that tell each other of one contact in turn would
// keep a lost domain reachable.
const hopAge = 100 * time.Millisecond

// ContactsHeard takes what a VM of the same failure domain knows of others.
func (t *Table) ContactsReceived(now time.Time, from VM, contacts []DomainContact) {
	if from.FailureDomain != t.self.record.VM.FailureDomain {
		return
	}
	for _, c := range contacts {
		d, ok := t.domains[c.FailureDomain]
		at := now.Add(-hopAge - time.Duration(c.AgeMillis)*time.Millisecond)
		if ok && at.After(d.contact) && now.Sub(at) <= t.config.domainSilence() {
			t.contacted(d, at)
		}
	}
}

// judgeDomains decides which domains can be reached. A node that hears nobody at
// all is itself cut off, and its last good set is better than none: it judges
// nobody.
func (t *Table) judgeDomains(now time.Time) {
	if !t.isolated && len(t.members) > 1 && now.Sub(t.lastContact) > t.config.SuspectAfter {
		t.isolated = true
		t.touch()
	}
	if t.isolated || now.Before(t.trustAfter) {
		return
	}
	for _, d := range t.domains {
		reachable := d.name == t.self.record.VM.FailureDomain || now.Sub(d.contact) <= t.config.domainSilence()
		if reachable != d.reachable {
			d.reachable = reachable
			t.touch()
		}
	}
}

// restart forgets all silences: they were this node's own.
func (t *Table) restart(now time.Time) {
	t.lastContact = now
	t.trustAfter = now.Add(t.config.SuspectAfter)
	for _, d := range t.domains {
		d.contact = now
		d.reachable = true
	}
	t.touch()
}

// Resume is called when the node finds that it was paused. All that it
// measured as silence of others was its own.
func (t *Table) Resume(now time.Time) {
	t.isolated = false
	t.synced = false
	t.restart(now)
}

// RefreshPeers returns a few neighbours to ask what was missed in a pause. More
// than one, since some may have gone meanwhile.
func (t *Table) RefreshPeers() []VM { return t.gossipPeers(gossipFanout) }

// Isolated reports whether this node hears nobody.
func (t *Table) Isolated() bool { return t.isolated }

// Digest sums up what the table holds, one sum per failure domain.
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

// Differing returns this table's records of every domain in which it differs
// from the digest of a peer, and the names of those domains.
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

// RecordsOf returns the records of failure domains that digests cover.
func (t *Table) RecordsOf(domains []string) []Record {
	var records []Record
	for _, name := range domains {
		d, ok := t.domains[name]
		if !ok {
			continue
		}
		for _, m := range d.members {
			if m.heard() && !m.dormant {
				records = append(records, m.record)
			}
		}
	}
	return records
}

// Newer returns those of this table's records in the domains that beat what a
// peer sent, so that the peer can be told.
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
