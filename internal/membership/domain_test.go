package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func vmOf(id, failureDomain string) VM {
	return VM{ID: id, FailureDomain: failureDomain, Region: "a", Service: "tally", PeerAddress: id + ":1"}
}

// meeting returns two tables of one domain that know a VM of another.
func meeting() (one, two *Table) {
	one, two = newTestTable(), newTestTable()
	for _, table := range []*Table{one, two} {
		table.RecordReceived(began, Record{VM: vmOf("far", "b-1"), Incarnation: 1, State: Live})
	}
	return one, two
}

// Two VMs of a domain tell each other over slow links when they last heard from
// a domain that is lost. Each telling takes time that its age does not count; a
// domain must not stay reachable because they go on telling each other.
func TestRelayedContactsAgeOnSlowLinks(t *testing.T) {
	one, two := meeting()
	const transit = 80 * time.Millisecond
	now := began
	for now.Sub(began) < 3*DefaultConfig().domainSilence() {
		toTwo, toOne := one.Contacts(now), two.Contacts(now)
		now = now.Add(transit)
		for _, table := range []*Table{one, two} {
			table.ContactMade(now, vmOf("mate", "a-1"))
		}
		two.ContactsReceived(now, vmOf("mate", "a-1"), toTwo)
		one.ContactsReceived(now, vmOf("mate", "a-1"), toOne)
		one.Tick(now)
	}
	assert.DeepEqual(t, one.View(now).Unreachable, []string{"b-1"})
}

// A contact that a mate had is as good as an own one, and one that a stranger
// claims is not.
func TestContactsOfMatesCount(t *testing.T) {
	one, _ := meeting()
	silent := began.Add(DefaultConfig().domainSilence() + time.Second)
	one.ContactMade(silent, vmOf("mate", "a-1"))
	fresh := []DomainContact{{FailureDomain: "b-1", AgeMillis: 100}}
	one.ContactsReceived(silent, vmOf("stranger", "c-1"), fresh)
	one.Tick(silent)
	assert.DeepEqual(t, one.View(silent).Unreachable, []string{"b-1"})
	one.ContactsReceived(silent, vmOf("mate", "a-1"), fresh)
	one.Tick(silent)
	assert.Equal(t, len(one.View(silent).Unreachable), 0)
}

// The helpers of a failed probe decide: reached, the VM lives; not reached, it is
// suspect; no word from any helper, this node is the one that is cut off.
func TestVerdictOfHelpers(t *testing.T) {
	for _, tt := range []struct {
		desc    string
		verdict IndirectProbeResult
		want    State
	}{
		{"a helper reached it", IndirectProbeResult{Asked: 3, Answered: 1, Reached: true}, Live},
		{"none of them reached it", IndirectProbeResult{Asked: 3, Answered: 1}, Suspect},
		{"no helper answered", IndirectProbeResult{Asked: 3}, Live},
		{"there are no helpers", IndirectProbeResult{}, Suspect},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			table := newTestTable()
			probe := Probe{VM: testVM("x"), Record: word("x", 5, 0, Live)}
			table.RecordReceived(began, probe.Record)
			table.IndirectProbeDone(began, probe, tt.verdict)
			assert.Equal(t, table.View(began).Records[1].State, tt.want)
		})
	}
}

// While a probe fails, the VM speaks up again. The failure is about the earlier
// word and must not undo the later one. Nor does a node judge that just woke.
func TestLateVerdictIsDropped(t *testing.T) {
	table := newTestTable()
	probe := Probe{VM: testVM("x"), Record: word("x", 5, 0, Live)}
	table.RecordReceived(began, word("x", 5, 1, Live))
	assert.Check(t, !table.IndirectProbeDone(began, probe, IndirectProbeResult{Asked: 1, Answered: 1}))
	probe.Record = word("x", 5, 1, Live)
	table.Resume(began)
	assert.Check(t, !table.IndirectProbeDone(began, probe, IndirectProbeResult{Asked: 1, Answered: 1}))
}

// News that a mate reached another domain comes late. Before the domain counts
// as unreachable, the node tries it itself; its own contact then settles it.
func TestDomainIsTriedBeforeItIsGivenUp(t *testing.T) {
	one, _ := meeting()
	tried := 0
	for now := began; now.Sub(began) <= DefaultConfig().domainSilence(); now = now.Add(time.Second) {
		one.ContactMade(now, vmOf("mate", "a-1"))
		one.credit = -1 // none of the probes that come round anyway
		for _, probe := range one.Tick(now) {
			if probe.VM.ID == "far" {
				tried++
			}
		}
	}
	assert.Equal(t, tried, 3)
}

// A VM comes up in another domain, or a record with a wrong domain goes round.
// A domain without VMs must not stay in each heartbeat for ever.
func TestEmptyDomainIsForgotten(t *testing.T) {
	one, _ := meeting()
	assert.Equal(t, len(one.Contacts(began)), 1)
	one.RecordReceived(began, Record{VM: vmOf("far", "c-1"), Incarnation: 2, State: Live})
	assert.DeepEqual(t, one.Contacts(began), []DomainContact{{FailureDomain: "c-1"}})
}

// A failure domain is taken out of service for good. Its VMs are nobody's
// suspects, and would be unreachable, probed and alarmed about for ever. One that
// is cut off while the platform is down must not be forgotten, however long.
func TestDomainOutOfServiceIsForgotten(t *testing.T) {
	one, _ := meeting()
	now := began
	tick := func(span time.Duration, list bool) {
		for end := now.Add(span); now.Before(end); now = now.Add(10 * time.Second) {
			one.ContactMade(now, vmOf("mate", "a-1"))
			one.Tick(now)
			if list {
				one.ListReceived(now, []Record{listed("mate", Live)})
			}
		}
		one.Sweep(now)
	}
	one.ListReceived(now, []Record{{VM: vmOf("far", "b-1"), State: Live}})
	whole := one.Digest()
	tick(time.Hour, false)
	assert.DeepEqual(t, one.View(now).Unreachable, []string{"b-1"})
	tick(DefaultConfig().ForgetAfter*3/4, true)
	one.ContactMade(now, vmOf("far", "b-1"))
	assert.DeepEqual(t, one.Digest(), whole)
	tick(DefaultConfig().domainSilence()+DefaultConfig().ForgetAfter*5/4, true)
	assert.Equal(t, len(one.View(now).Unreachable), 0)
	assert.Equal(t, len(one.View(now).Records), 1)
}

// A VM that nobody heard yet moves to another address: the list tells where.
func TestListMovesUnheardVM(t *testing.T) {
	table := newTestTable()
	table.ListReceived(began, []Record{listed("x", Live), {}})
	moved := listed("x", Live)
	moved.VM.PeerAddress = "elsewhere"
	table.ListReceived(began, []Record{moved})
	var probed []string
	for _, probe := range table.Tick(began) {
		probed = append(probed, probe.VM.PeerAddress)
	}
	assert.DeepEqual(t, probed, []string{"elsewhere"})
}
