package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// began is the start of time in the tests of tables.
var began = time.Unix(1_700_000_000, 0)

func testVM(id string) VM {
	return VM{ID: id, FailureDomain: "a-1", Region: "a", Service: "tally", PeerAddress: id + ":1", CallerAddress: id + ":2"}
}

func word(id string, incarnation, sequence uint64, state State) Record {
	return Record{VM: testVM(id), Incarnation: incarnation, Sequence: sequence, State: state}
}

func newTestTable() *Table {
	return NewTable(DefaultConfig(), word("self", 10, 0, Live), began, rand.New(rand.NewPCG(1, 1)))
}

func listed(id string, state State) Record { return Record{VM: testVM(id), State: state} }

// chosen reports whether a table lets a VM take new work.
func chosen(t *Table, now time.Time, id string) bool {
	for _, vm := range t.View(now).Targets["tally"] {
		if vm.ID == id {
			return true
		}
	}
	return false
}

// A caller's request reaches a VM that said goodbye: its goodbye and an older
// heartbeat crossed, and the heartbeat, arriving last, brought it back.
func TestLateWordDoesNotReviveDeparted(t *testing.T) {
	table := newTestTable()
	table.RecordReceived(began, word("x", 5, 7, Departing))
	table.RecordReceived(began, word("x", 5, 9, Live))
	table.RecordReceived(began, word("x", 5, 9, Suspect))
	assert.Check(t, !chosen(table, began, "x"))
	table.RecordReceived(began, word("x", 6, 0, Live))
	assert.Check(t, chosen(table, began, "x"), "a new start takes work again")
}

// A departed VM takes work again after ten minutes: the table forgot it while
// the lagging list still named it, and so met it as a VM without a past.
func TestListDoesNotReviveForgotten(t *testing.T) {
	table := newTestTable()
	table.RecordReceived(began, word("x", 5, 7, Departing))
	now := began
	for range 30 {
		now = now.Add(time.Minute)
		table.Sweep(now)
		table.ListReceived(now, []Record{listed("x", Live)})
		assert.Assert(t, !chosen(table, now, "x"), "after %s", now.Sub(began))
	}
	table.Sweep(now.Add(11 * time.Minute))
	assert.Equal(t, len(table.View(now).Records), 1, "forgotten once the list drops it")
}

// A list that names a VM which never ran sends callers to an address where
// nobody answers, or somebody else does. Only a VM that spoke takes work.
func TestListedVMTakesNoWorkUnheard(t *testing.T) {
	table := newTestTable()
	table.ListReceived(began, []Record{listed("x", Live)})
	assert.Check(t, !chosen(table, began, "x"))
	table.RecordReceived(began, word("x", 5, 0, Live))
	assert.Check(t, chosen(table, began, "x"))
	table.ListReceived(began, nil)
	assert.Check(t, chosen(table, began, "x"), "a VM missing on the list goes on")
}

// The list calls a healthy VM departing by mistake. The VM is out of the choice
// while the list says so; the mistake must not outlive its correction.
func TestListedDepartureEndsWithTheList(t *testing.T) {
	table := newTestTable()
	table.RecordReceived(began, word("x", 5, 0, Live))
	now := began
	for range 20 {
		table.ListReceived(now, []Record{listed("x", Departing)})
		assert.Assert(t, !chosen(table, now, "x"))
		now = now.Add(10 * time.Second)
		table.Tick(now)
	}
	now = now.Add(markHold)
	table.ListReceived(now, []Record{listed("x", Live)})
	table.Tick(now)
	assert.Check(t, chosen(table, now, "x"))
}

// A VM departs by the list, restarts, and gets no work while the lagging list
// still shows the departure of the process before.
func TestListedDepartureIsOfOneIncarnation(t *testing.T) {
	table := newTestTable()
	table.RecordReceived(began, word("x", 5, 0, Live))
	table.ListReceived(began, []Record{listed("x", Departing)})
	table.RecordReceived(began, word("x", 6, 0, Live))
	assert.Check(t, chosen(table, began, "x"))
	late := began.Add(2 * markHold)
	table.Tick(late)
	table.ListReceived(late, []Record{listed("x", Departing)})
	assert.Check(t, chosen(table, late, "x"), "an expired mark comes back as the same one")
}

// A list names a VM as departing before anyone heard it: the process that is
// heard first is the one meant.
func TestListedDepartureBeforeHeard(t *testing.T) {
	table := newTestTable()
	table.ListReceived(began, []Record{listed("x", Departing)})
	table.RecordReceived(began, word("x", 5, 0, Live))
	assert.Check(t, !chosen(table, began, "x"))
}

// Marks that peers read from the list count here too, and end without them.
func TestMarkOfPeerHoldsForATime(t *testing.T) {
	table := newTestTable()
	table.RecordReceived(began, word("x", 5, 0, Live))
	table.MarksReceived(began, []DepartureMark{{ID: "x", Incarnation: 5, RemainingMillis: 1 << 31}})
	assert.Check(t, !chosen(table, began, "x"))
	table.Tick(began.Add(markHold))
	assert.Check(t, chosen(table, began.Add(markHold), "x"), "a mark can't be made to hold longer")
}

// A VM restarts with a clock that stepped back. Its new words look older than
// the departure of its last start, and nobody would take them: it must learn of
// the higher incarnation and raise its own.
func TestClockSteppedBackAtRestart(t *testing.T) {
	peers := newTestTable()
	peers.RecordReceived(began, word("x", 9, 3, Departing))
	restarted := NewTable(DefaultConfig(), word("x", 4, 0, Live), began, rand.New(rand.NewPCG(1, 1)))
	peers.RecordReceived(began, restarted.Self())
	assert.Check(t, !chosen(peers, began, "x"))

	known, ok := peers.NewerRecord(restarted.Self())
	assert.Check(t, ok)
	restarted.RecordReceived(began, known)
	peers.RecordReceived(began, restarted.Self())
	assert.Check(t, chosen(peers, began, "x"))
}

// Peers say things about this node that are wrong: that it is suspect, departed
// or gone. Each is refuted by a later word that wins at whoever believed it.
func TestWrongWordsAboutSelfAreRefuted(t *testing.T) {
	for _, tt := range []struct {
		desc  string
		claim Record
	}{
		{desc: "suspect", claim: word("self", 10, 0, Suspect)},
		{desc: "suspect at a later word", claim: word("self", 10, 99, Suspect)},
		{desc: "suspect at the last word", claim: word("self", 10, maxSequence-1, Suspect)},
		{desc: "departing", claim: word("self", 10, 3, Departing)},
		{desc: "gone", claim: word("self", 10, 3, Gone)},
		{desc: "a start in the future", claim: word("self", uint64(began.Add(time.Hour).UnixNano()), 0, Departing)},
		{desc: "another address", claim: Record{VM: VM{ID: "self", PeerAddress: "z"}, Incarnation: 10, State: Live}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			table, peer := newTestTable(), NewTable(DefaultConfig(), word("peer", 1, 0, Live), began, rand.New(rand.NewPCG(1, 1)))
			peer.RecordReceived(began, tt.claim)
			table.RecordReceived(began, tt.claim)
			assert.Equal(t, table.Self().State, Live)
			peer.RecordReceived(began, table.Self())
			assert.Check(t, chosen(peer, began, "self"))
			assert.Check(t, table.GossipPending() || len(table.queue.items) > 0, "the refutation is passed on")
		})
	}
}

// A broken peer sends records without sense. They are dropped: one with the
// highest incarnation of all could never be refuted and would keep its VM out.
func TestRecordsWithoutSenseAreDropped(t *testing.T) {
	for _, tt := range []struct {
		desc   string
		record Record
	}{
		{desc: "no id", record: word("", 1, 0, Live)},
		{desc: "state zero", record: word("x", 1, 0, 0)},
		{desc: "state of a later release", record: word("x", 1, 0, 9)},
		{desc: "no incarnation", record: word("x", 0, 0, Live)},
		{desc: "highest incarnation", record: word("x", 1<<64-1, 0, Live)},
		{desc: "highest sequence", record: word("x", 1, 1<<64-1, Suspect)},
		{desc: "long id", record: word(string(make([]byte, 10_000)), 1, 0, Live)},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			table := newTestTable()
			assert.Check(t, !table.RecordReceived(began, tt.record))
			assert.Equal(t, len(table.View(began).Records), 1)
		})
	}
}

// A VM is replaced under another id at the same address. Requests meant for the
// old one would reach its successor.
func TestReplacedAtSameAddress(t *testing.T) {
	successor := Record{VM: testVM("x"), Incarnation: 8, State: Live}
	successor.VM.ID = "y"
	for _, order := range [][]Record{{word("x", 5, 0, Live), successor}, {successor, word("x", 5, 0, Live)}} {
		table := newTestTable()
		for _, record := range order {
			table.RecordReceived(began, record)
		}
		assert.Check(t, !chosen(table, began, "x"))
		assert.Check(t, chosen(table, began, "y"))
	}
}

// Every target of a service falls silent at once. Having none to send to would
// fail each request; the last good set may still work. One that departed stays
// out all the same.
func TestLastGoodSetIsKept(t *testing.T) {
	table := newTestTable()
	table.Depart(began, Departing)
	table.RecordReceived(began, word("x", 5, 0, Live))
	table.RecordReceived(began, word("y", 5, 0, Suspect))
	table.RecordReceived(began, word("z", 5, 0, Departing))
	assert.Check(t, chosen(table, began, "x") && !chosen(table, began, "y"))
	table.RecordReceived(began, word("x", 5, 0, Suspect))
	assert.Check(t, chosen(table, began, "x") && chosen(table, began, "y") && !chosen(table, began, "z"))
}

// Two processes run under one VM id by mistake. Each beats the other's word; they
// must not drive each other, and the fleet's gossip, faster than a heartbeat.
func TestTwoProcessesWithOneIDAreSlow(t *testing.T) {
	one, two := newTestTable(), NewTable(DefaultConfig(), word("self", 20, 0, Live), began, rand.New(rand.NewPCG(1, 1)))
	now := began
	raised := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		one.RecordReceived(now, two.Self())
		two.RecordReceived(now, one.Self())
	}
	for _, change := range append(one.TakeChanges(), two.TakeChanges()...) {
		if change.IncarnationRaised {
			raised++
		}
	}
	assert.Check(t, raised >= 10 && raised <= 21, "%d in ten seconds", raised)
}
