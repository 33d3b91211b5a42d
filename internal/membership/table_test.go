package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testStart is the initial time in the table tests.
var testStart = time.Unix(1_700_000_000, 0)

func testVM(id string) VM {
	return VM{ID: id, FailureDomain: "a-1", Region: "a", Service: "tally", PeerAddress: id + ":1", CallerAddress: id + ":2"}
}

func testRecord(id string, incarnation, sequence uint64, state State) Record {
	return Record{VM: testVM(id), Incarnation: incarnation, Sequence: sequence, State: state}
}

func newTestTable() *Table {
	return NewTable(DefaultConfig(), testRecord("self", 10, 0, Live), testStart, rand.New(rand.NewPCG(1, 1)))
}

func listedRecord(id string, state State) Record { return Record{VM: testVM(id), State: state} }

// isTarget reports whether a VM takes new work according to the table.
func isTarget(t *Table, now time.Time, id string) bool {
	for _, vm := range t.View(now).Targets["tally"] {
		if vm.ID == id {
			return true
		}
	}
	return false
}

// Guards against requests to a departed VM: its departure and a heartbeat were in
// flight at the same time, and the heartbeat, arriving last, made it a target
// again.
func TestLateRecordDoesNotRestoreDepartedVM(t *testing.T) {
	table := newTestTable()
	table.RecordReceived(testStart, testRecord("x", 5, 7, Departing))
	table.RecordReceived(testStart, testRecord("x", 5, 9, Live))
	table.RecordReceived(testStart, testRecord("x", 5, 9, Suspect))
	assert.Check(t, !isTarget(table, testStart, "x"))
	table.RecordReceived(testStart, testRecord("x", 6, 0, Live))
	assert.Check(t, isTarget(table, testStart, "x"), "a new start takes work again")
}

// Guards against a departed VM that takes work again after ten minutes: the table
// removed it while an outdated list still named it, and then added it as a new
// VM.
func TestStaleListDoesNotRestoreRemovedVM(t *testing.T) {
	table := newTestTable()
	table.RecordReceived(testStart, testRecord("x", 5, 7, Departing))
	now := testStart
	for range 30 {
		now = now.Add(time.Minute)
		table.Sweep(now)
		table.ListReceived(now, []Record{listedRecord("x", Live)})
		assert.Assert(t, !isTarget(table, now, "x"), "after %s", now.Sub(testStart))
	}
	table.Sweep(now.Add(11 * time.Minute))
	assert.Equal(t, len(table.View(now).Records), 1, "forgotten once the list drops it")
}

// Guards against requests to a listed VM that never ran: its address is unused or
// belongs to another process. Only a confirmed VM takes work.
func TestUnconfirmedVMTakesNoWork(t *testing.T) {
	table := newTestTable()
	table.ListReceived(testStart, []Record{listedRecord("x", Live)})
	assert.Check(t, !isTarget(table, testStart, "x"))
	table.RecordReceived(testStart, testRecord("x", 5, 0, Live))
	assert.Check(t, isTarget(table, testStart, "x"))
	table.ListReceived(testStart, nil)
	assert.Check(t, isTarget(table, testStart, "x"), "a VM missing from the list keeps taking work")
}

// Guards against a wrong departure mark that outlives its correction. The list
// names a healthy VM as departing by mistake; the VM takes no work only while the
// list says so.
func TestListedDepartureEndsWithTheList(t *testing.T) {
	table := newTestTable()
	table.RecordReceived(testStart, testRecord("x", 5, 0, Live))
	now := testStart
	for range 20 {
		table.ListReceived(now, []Record{listedRecord("x", Departing)})
		assert.Assert(t, !isTarget(table, now, "x"))
		now = now.Add(10 * time.Second)
		table.Tick(now)
	}
	now = now.Add(markTTL)
	table.ListReceived(now, []Record{listedRecord("x", Live)})
	table.Tick(now)
	assert.Check(t, isTarget(table, now, "x"))
}

// Guards against a restarted VM that gets no work because an outdated list still
// shows the departure of its previous process.
func TestListedDepartureAppliesToOneIncarnation(t *testing.T) {
	table := newTestTable()
	table.RecordReceived(testStart, testRecord("x", 5, 0, Live))
	table.ListReceived(testStart, []Record{listedRecord("x", Departing)})
	table.RecordReceived(testStart, testRecord("x", 6, 0, Live))
	assert.Check(t, isTarget(table, testStart, "x"))
	late := testStart.Add(2 * markTTL)
	table.Tick(late)
	table.ListReceived(late, []Record{listedRecord("x", Departing)})
	assert.Check(t, isTarget(table, late, "x"), "an expired mark that the list repeats is the same mark")
}

// Guards against a lost departure mark: if the list names an unconfirmed VM as
// departing, the mark applies to the first process that is received.
func TestListedDepartureBeforeFirstRecord(t *testing.T) {
	table := newTestTable()
	table.ListReceived(testStart, []Record{listedRecord("x", Departing)})
	table.RecordReceived(testStart, testRecord("x", 5, 0, Live))
	assert.Check(t, !isTarget(table, testStart, "x"))
}

// Guards against marks from peers that are ignored, and against marks that never
// expire because a peer sent a long validity.
func TestMarkOfPeerExpires(t *testing.T) {
	table := newTestTable()
	table.RecordReceived(testStart, testRecord("x", 5, 0, Live))
	table.MarksReceived(testStart, []DepartureMark{{ID: "x", Incarnation: 5, RemainingMillis: 1 << 31}})
	assert.Check(t, !isTarget(table, testStart, "x"))
	table.Tick(testStart.Add(markTTL))
	assert.Check(t, isTarget(table, testStart.Add(markTTL), "x"), "the validity of a mark is limited to markTTL")
}

// Guards against a VM that gets no work after a restart with a clock that stepped
// back. Its new records are older than the departure of its previous process, so
// peers ignore them: the VM must receive the higher incarnation and raise its
// own.
func TestClockSteppedBackAtRestart(t *testing.T) {
	peers := newTestTable()
	peers.RecordReceived(testStart, testRecord("x", 9, 3, Departing))
	restarted := NewTable(DefaultConfig(), testRecord("x", 4, 0, Live), testStart, rand.New(rand.NewPCG(1, 1)))
	peers.RecordReceived(testStart, restarted.Self())
	assert.Check(t, !isTarget(peers, testStart, "x"))

	known, ok := peers.NewerRecord(restarted.Self())
	assert.Check(t, ok)
	restarted.RecordReceived(testStart, known)
	peers.RecordReceived(testStart, restarted.Self())
	assert.Check(t, isTarget(peers, testStart, "x"))
}

// Guards against false records about this node (suspect, departing or gone) that
// keep it out of service. Each must be refuted by a newer record that also wins
// at a peer holding the false one.
func TestFalseRecordsAboutSelfAreRefuted(t *testing.T) {
	for _, tt := range []struct {
		desc  string
		claim Record
	}{
		{desc: "suspect", claim: testRecord("self", 10, 0, Suspect)},
		{desc: "suspect at a higher sequence", claim: testRecord("self", 10, 99, Suspect)},
		{desc: "suspect at the last sequence", claim: testRecord("self", 10, maxSequence-1, Suspect)},
		{desc: "departing", claim: testRecord("self", 10, 3, Departing)},
		{desc: "gone", claim: testRecord("self", 10, 3, Gone)},
		{desc: "a start in the future", claim: testRecord("self", uint64(testStart.Add(time.Hour).UnixNano()), 0, Departing)},
		{desc: "another address", claim: Record{VM: VM{ID: "self", PeerAddress: "z"}, Incarnation: 10, State: Live}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			table, peer := newTestTable(), NewTable(DefaultConfig(), testRecord("peer", 1, 0, Live), testStart, rand.New(rand.NewPCG(1, 1)))
			peer.RecordReceived(testStart, tt.claim)
			table.RecordReceived(testStart, tt.claim)
			assert.Equal(t, table.Self().State, Live)
			peer.RecordReceived(testStart, table.Self())
			assert.Check(t, isTarget(peer, testStart, "self"))
			assert.Check(t, table.GossipPending() || len(table.queue.items) > 0, "the refutation is forwarded")
		})
	}
}

// Guards against invalid records from a faulty peer: one with the maximum
// incarnation could never be refuted and would keep its VM out of service.
func TestInvalidRecordsAreDropped(t *testing.T) {
	for _, tt := range []struct {
		desc   string
		record Record
	}{
		{desc: "no id", record: testRecord("", 1, 0, Live)},
		{desc: "state zero", record: testRecord("x", 1, 0, 0)},
		{desc: "state of a later release", record: testRecord("x", 1, 0, 9)},
		{desc: "no incarnation", record: testRecord("x", 0, 0, Live)},
		{desc: "highest incarnation", record: testRecord("x", 1<<64-1, 0, Live)},
		{desc: "highest sequence", record: testRecord("x", 1, 1<<64-1, Suspect)},
		{desc: "long id", record: testRecord(string(make([]byte, 10_000)), 1, 0, Live)},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			table := newTestTable()
			assert.Check(t, !table.RecordReceived(testStart, tt.record))
			assert.Equal(t, len(table.View(testStart).Records), 1)
		})
	}
}

// Guards against requests for a VM that reach its successor: the VM was replaced
// by one with another id at the same address.
func TestReplacedVMAtSameAddress(t *testing.T) {
	successor := Record{VM: testVM("x"), Incarnation: 8, State: Live}
	successor.VM.ID = "y"
	for _, order := range [][]Record{{testRecord("x", 5, 0, Live), successor}, {successor, testRecord("x", 5, 0, Live)}} {
		table := newTestTable()
		for _, record := range order {
			table.RecordReceived(testStart, record)
		}
		assert.Check(t, !isTarget(table, testStart, "x"))
		assert.Check(t, isTarget(table, testStart, "y"))
	}
}

// Guards against a service without targets. All its targets become suspect at
// once; without targets each request would fail, while the last known ones may
// still work. A departed VM must stay excluded.
func TestLastGoodSetIsKept(t *testing.T) {
	table := newTestTable()
	table.Depart(testStart, Departing)
	table.RecordReceived(testStart, testRecord("x", 5, 0, Live))
	table.RecordReceived(testStart, testRecord("y", 5, 0, Suspect))
	table.RecordReceived(testStart, testRecord("z", 5, 0, Departing))
	assert.Check(t, isTarget(table, testStart, "x") && !isTarget(table, testStart, "y"))
	table.RecordReceived(testStart, testRecord("x", 5, 0, Suspect))
	assert.Check(t, isTarget(table, testStart, "x") && isTarget(table, testStart, "y") && !isTarget(table, testStart, "z"))
}

// Guards against flooding the fleet with gossip when two processes run under one
// VM id by mistake. Each raises its incarnation above the other's, at most once
// per heartbeat.
func TestTwoProcessesWithOneIDAreRateLimited(t *testing.T) {
	one, two := newTestTable(), NewTable(DefaultConfig(), testRecord("self", 20, 0, Live), testStart, rand.New(rand.NewPCG(1, 1)))
	now := testStart
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
