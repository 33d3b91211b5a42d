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
		table.Heard(began, Record{VM: vmOf("far", "b-1"), Incarnation: 1, State: Live})
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
			table.Contact(now, vmOf("mate", "a-1"))
		}
		two.ContactsHeard(now, vmOf("mate", "a-1"), toTwo)
		one.ContactsHeard(now, vmOf("mate", "a-1"), toOne)
		one.Tick(now)
	}
	assert.DeepEqual(t, one.View(now).Unreachable, []string{"b-1"})
}

// A contact that a mate had is as good as an own one, and one that a stranger
// claims is not.
func TestContactsOfMatesCount(t *testing.T) {
	one, _ := meeting()
	silent := began.Add(DefaultConfig().domainSilence() + time.Second)
	one.Contact(silent, vmOf("mate", "a-1"))
	fresh := []DomainContact{{FailureDomain: "b-1", AgeMillis: 100}}
	one.ContactsHeard(silent, vmOf("stranger", "c-1"), fresh)
	one.Tick(silent)
	assert.DeepEqual(t, one.View(silent).Unreachable, []string{"b-1"})
	one.ContactsHeard(silent, vmOf("mate", "a-1"), fresh)
	one.Tick(silent)
	assert.Equal(t, len(one.View(silent).Unreachable), 0)
}

// The helpers of a failed probe decide: reached, the VM lives; not reached, it is
// suspect; no word from any helper, this node is the one that is cut off.
func TestVerdictOfHelpers(t *testing.T) {
	for _, tt := range []struct {
		desc    string
		verdict Verdict
		want    State
	}{
		{"a helper reached it", Verdict{Asked: 3, Answered: 1, Reached: true}, Live},
		{"none of them reached it", Verdict{Asked: 3, Answered: 1}, Suspect},
		{"no helper answered", Verdict{Asked: 3}, Live},
		{"there are no helpers", Verdict{}, Suspect},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			table := newTestTable()
			probe := Probe{VM: testVM("x"), Record: word("x", 5, 0, Live)}
			table.Heard(began, probe.Record)
			table.Judged(began, probe, tt.verdict)
			assert.Equal(t, table.View(began).Records[1].State, tt.want)
		})
	}
}

// While a probe fails, the VM speaks up again. The failure is about the earlier
// word and must not undo the later one. Nor does a node judge that just woke.
func TestLateVerdictIsDropped(t *testing.T) {
	table := newTestTable()
	probe := Probe{VM: testVM("x"), Record: word("x", 5, 0, Live)}
	table.Heard(began, word("x", 5, 1, Live))
	assert.Check(t, !table.Judged(began, probe, Verdict{Asked: 1, Answered: 1}))
	probe.Record = word("x", 5, 1, Live)
	table.Resume(began)
	assert.Check(t, !table.Judged(began, probe, Verdict{Asked: 1, Answered: 1}))
}
