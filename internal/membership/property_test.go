package membership

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// genRecord draws records from few VMs and small numbers, so that they conflict.
func genRecord() *rapid.Generator[Record] {
	return rapid.Custom(func(t *rapid.T) Record {
		record := testRecord(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "id"), rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			rapid.Uint64Range(0, 3).Draw(t, "sequence"), rapid.SampledFrom([]State{Live, Departing, Gone, Suspect}).Draw(t, "state"))
		record.VM.PeerAddress = rapid.SampledFrom([]string{"p", "q"}).Draw(t, "address")
		return record
	})
}

// Guards against nodes that disagree forever on whether a VM takes work: without
// a total order of records, two nodes that received the same records in different
// orders would hold different states.
func TestOrderOfRecordsIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := genRecord().Draw(t, "a"), genRecord().Draw(t, "b"), genRecord().Draw(t, "c")
		b.VM.ID, c.VM.ID = a.VM.ID, a.VM.ID
		assert.Check(t, a.compare(&b) == -b.compare(&a), "antisymmetric")
		assert.Check(t, a.compare(&b) != 0 || a == b, "ties are equal")
		if a.newer(&b) && b.newer(&c) {
			assert.Check(t, a.newer(&c), "transitive")
		}
	})
}

// Guards against tables that differ when records arrive reordered and duplicated.
// All nodes must end with the same records, digest and targets.
func TestTablesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(genRecord(), 1, 20).Draw(t, "records")
		one, two := newTestTable(), newTestTable()
		for _, record := range records {
			one.RecordReceived(testStart, record)
		}
		reordered := append(rapid.Permutation(records).Draw(t, "reordered"), rapid.SliceOf(rapid.SampledFrom(records)).Draw(t, "duplicates")...)
		for _, record := range reordered {
			two.RecordReceived(testStart, record)
		}
		assert.DeepEqual(t, one.Digest(), two.Digest())
		assert.DeepEqual(t, one.View(testStart), two.View(testStart))
	})
}

// Guards against a departed VM that takes work again. After each step of a random
// sequence of list reads, records, departures and restarts, a VM that departed
// must not be a target until its process has restarted.
func TestDepartedVMTakesNoWorkUntilRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTestTable()
		departed := map[string]uint64{}
		now := testStart
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 9_000).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				state := rapid.SampledFrom([]State{Live, Departing}).Draw(t, "listed")
				table.ListReceived(now, []Record{listedRecord("x", state), listedRecord("y", Live)})
			case 1:
				table.Tick(now)
			default:
				record := genRecord().Draw(t, "record")
				if table.RecordReceived(now, record) && record.State.departureRank() > 0 {
					departed[record.VM.ID] = record.Incarnation
				}
			}
			checkDeparted(t, table, now, departed)
		}
	})
}

// checkDeparted checks that no target has departed: neither by the record that the table holds,
// nor by an earlier record of the same or a later start, whether or not the table still holds one.
func checkDeparted(t *rapid.T, table *Table, now time.Time, departed map[string]uint64) {
	view := table.View(now)
	for _, target := range view.Targets["tally"] {
		i := slices.IndexFunc(view.Records, func(r Record) bool { return r.VM.ID == target.ID })
		assert.Assert(t, i >= 0, "%s is a target without a record", target.ID)
		record := view.Records[i]
		assert.Assert(t, record.State.departureRank() == 0, "%+v", record)
		until, ok := departed[target.ID]
		assert.Assert(t, !ok || record.Incarnation > until, "%+v departed at %d", record, until)
	}
}

// Guards against a node whose own record is replaced by what others say of it, for example by a
// record of its earlier start: it would count as suspect or departed for good.
func TestOwnRecordWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTestTable()
		now := testStart
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3_000).Draw(t, "millis")) * time.Millisecond)
			record := genRecord().Draw(t, "record")
			record.VM.ID = "self"
			record.Incarnation += table.Self().Incarnation - 1
			table.RecordReceived(now, record)
			if rapid.Bool().Draw(t, "tick") {
				table.Tick(now)
			}
			assert.Equal(t, table.Self().State, Live)
			assert.Equal(t, table.Self().VM, testVM("self"))
		}
		// The heartbeat interval limits how often a node contradicts false records.
		table.Tick(now.Add(time.Minute))
		for _, record := range table.View(now.Add(time.Minute)).Records {
			assert.Assert(t, record.VM.ID != "self" || record.State == Live, "%+v", record)
		}
	})
}

// Guards against tables that still differ after one anti-entropy exchange of
// digest, differing records and newer records of the requester.
func TestOneExchangeMakesTablesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := newTestTable(), newTestTable()
		for _, record := range rapid.SliceOf(genRecord()).Draw(t, "one") {
			one.RecordReceived(testStart, record)
		}
		for _, record := range rapid.SliceOf(genRecord()).Draw(t, "two") {
			two.RecordReceived(testStart, record)
		}
		domains, records := two.DiffDigest(one.Digest())
		back := one.NewerRecords(domains, records)
		one.SyncReceived(testStart, records)
		two.SyncReceived(testStart, back)
		assert.DeepEqual(t, one.Digest(), two.Digest())
	})
}
