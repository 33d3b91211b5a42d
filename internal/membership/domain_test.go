package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func domainVM(id, failureDomain string) VM {
	return VM{ID: id, FailureDomain: failureDomain, Region: "a", Service: "tally", PeerAddress: id + ":1"}
}

// newTablePair returns two tables of one domain that contain a VM of another.
func newTablePair() (one, two *Table) {
	one, two = newTestTable(), newTestTable()
	for _, table := range []*Table{one, two} {
		table.RecordReceived(testStart, Record{VM: domainVM("far", "b-1"), Incarnation: 1, State: Live})
	}
	return one, two
}

// Guards against a lost domain that stays reachable because two VMs of another
// domain keep reporting the last contact with it to each other over slow links.
// The transmission time of each report is not part of the reported age.
func TestRelayedContactsAgeOnSlowLinks(t *testing.T) {
	one, two := newTablePair()
	const transit = 80 * time.Millisecond
	now := testStart
	for now.Sub(testStart) < 3*DefaultConfig().domainTimeout() {
		toTwo, toOne := one.Contacts(now), two.Contacts(now)
		now = now.Add(transit)
		for _, table := range []*Table{one, two} {
			table.ContactMade(now, domainVM("near", "a-1"))
		}
		two.ContactsReceived(now, domainVM("near", "a-1"), toTwo)
		one.ContactsReceived(now, domainVM("near", "a-1"), toOne)
		one.Tick(now)
	}
	assert.DeepEqual(t, one.View(now).Unreachable, []string{"b-1"})
}

// Guards against a domain counted as unreachable although a VM of the own domain
// has contact with it, and against accepting contacts that a VM of a third domain
// reports.
func TestContactsOfOwnDomainCount(t *testing.T) {
	one, _ := newTablePair()
	expired := testStart.Add(DefaultConfig().domainTimeout() + time.Second)
	one.ContactMade(expired, domainVM("near", "a-1"))
	fresh := []DomainContact{{FailureDomain: "b-1", AgeMillis: 100}}
	one.ContactsReceived(expired, domainVM("other", "c-1"), fresh)
	one.Tick(expired)
	assert.DeepEqual(t, one.View(expired).Unreachable, []string{"b-1"})
	one.ContactsReceived(expired, domainVM("near", "a-1"), fresh)
	one.Tick(expired)
	assert.Equal(t, len(one.View(expired).Unreachable), 0)
}

// Guards against wrong suspicions. If a helper of the indirect probe reaches the
// VM, it stays live; if none does, it becomes suspect; if no helper answers, this
// node is the isolated one and must not mark the VM.
func TestIndirectProbeResult(t *testing.T) {
	for _, tt := range []struct {
		desc   string
		result IndirectProbeResult
		want   State
	}{
		{"a helper reached it", IndirectProbeResult{Asked: 3, Answered: 1, Reached: true}, Live},
		{"none of them reached it", IndirectProbeResult{Asked: 3, Answered: 1}, Suspect},
		{"no helper answered", IndirectProbeResult{Asked: 3}, Live},
		{"there are no helpers", IndirectProbeResult{}, Suspect},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			table := newTestTable()
			probe := Probe{VM: testVM("x"), Record: testRecord("x", 5, 0, Live)}
			table.RecordReceived(testStart, probe.Record)
			table.IndirectProbeDone(testStart, probe, tt.result)
			assert.Equal(t, table.View(testStart).Records[1].State, tt.want)
		})
	}
}

// Guards against a late probe failure that overrides a newer record: the VM
// issues a new record while the probe fails. A node that has just resumed from a
// pause must not mark VMs as suspect either.
func TestLateProbeResultIsDropped(t *testing.T) {
	table := newTestTable()
	probe := Probe{VM: testVM("x"), Record: testRecord("x", 5, 0, Live)}
	table.RecordReceived(testStart, testRecord("x", 5, 1, Live))
	assert.Check(t, !table.IndirectProbeDone(testStart, probe, IndirectProbeResult{Asked: 1, Answered: 1}))
	probe.Record = testRecord("x", 5, 1, Live)
	table.Resume(testStart)
	assert.Check(t, !table.IndirectProbeDone(testStart, probe, IndirectProbeResult{Asked: 1, Answered: 1}))
}

// Guards against a domain that counts as unreachable only because reports of a
// contact by other VMs of the own domain arrive late. The node must probe the
// domain itself before.
func TestDomainIsProbedBeforeItIsUnreachable(t *testing.T) {
	one, _ := newTablePair()
	probes := 0
	for now := testStart; now.Sub(testStart) <= DefaultConfig().domainTimeout(); now = now.Add(time.Second) {
		one.ContactMade(now, domainVM("near", "a-1"))
		one.crossCredit = -1 // disables the regular cross-domain probes
		for _, probe := range one.Tick(now) {
			if probe.VM.ID == "far" {
				probes++
			}
		}
	}
	assert.Equal(t, probes, 3)
}

// Guards against a domain without VMs that stays in every heartbeat forever: a VM
// was restarted in another domain, or a record named a wrong domain.
func TestEmptyDomainIsForgotten(t *testing.T) {
	one, _ := newTablePair()
	assert.Equal(t, len(one.Contacts(testStart)), 1)
	one.RecordReceived(testStart, Record{VM: domainVM("far", "c-1"), Incarnation: 2, State: Live})
	assert.DeepEqual(t, one.Contacts(testStart), []DomainContact{{FailureDomain: "c-1"}})
}

// Guards against a failure domain that stays in the table after it was taken out
// of service: its VMs are not marked as suspect, so they would be unreachable,
// probed and alerted on forever. A domain that is cut off while the platform is
// down must be kept, however long this lasts.
func TestDomainOutOfServiceIsForgotten(t *testing.T) {
	one, _ := newTablePair()
	now := testStart
	tick := func(span time.Duration, list bool) {
		for end := now.Add(span); now.Before(end); now = now.Add(10 * time.Second) {
			one.ContactMade(now, domainVM("near", "a-1"))
			one.Tick(now)
			if list {
				one.ListReceived(now, []Record{listedRecord("near", Live)})
			}
		}
		one.Sweep(now)
	}
	one.ListReceived(now, []Record{{VM: domainVM("far", "b-1"), State: Live}})
	before := one.Digest()
	tick(time.Hour, false)
	assert.DeepEqual(t, one.View(now).Unreachable, []string{"b-1"})
	tick(DefaultConfig().ForgetAfter*3/4, true)
	one.ContactMade(now, domainVM("far", "b-1"))
	assert.DeepEqual(t, one.Digest(), before)
	tick(DefaultConfig().domainTimeout()+DefaultConfig().ForgetAfter*5/4, true)
	assert.Equal(t, len(one.View(now).Unreachable), 0)
	assert.Equal(t, len(one.View(now).Records), 1)
}

// Guards against probes to an old address: when the address of an unconfirmed VM
// changes, it must be taken from the list.
func TestListUpdatesUnconfirmedVMAddress(t *testing.T) {
	table := newTestTable()
	table.ListReceived(testStart, []Record{listedRecord("x", Live), {}})
	moved := listedRecord("x", Live)
	moved.VM.PeerAddress = "elsewhere"
	table.ListReceived(testStart, []Record{moved})
	var probed []string
	for _, probe := range table.Tick(testStart) {
		probed = append(probed, probe.VM.PeerAddress)
	}
	assert.DeepEqual(t, probed, []string{"elsewhere"})
}
