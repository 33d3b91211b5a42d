package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// anyRecord draws words about few VMs with few numbers, so that they collide.
func anyRecord() *rapid.Generator[Record] {
	return rapid.Custom(func(t *rapid.T) Record {
		record := word(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "id"), rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			rapid.Uint64Range(0, 3).Draw(t, "sequence"), rapid.SampledFrom([]State{Live, Departing, Gone, Suspect}).Draw(t, "state"))
		record.VM.PeerAddress = rapid.SampledFrom([]string{"p", "q"}).Draw(t, "address")
		return record
	})
}

// The order of words must be total, or two nodes that took the same words in
// another order would disagree for ever on whether a VM takes work.
func TestOrderOfRecordsIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := anyRecord().Draw(t, "a"), anyRecord().Draw(t, "b"), anyRecord().Draw(t, "c")
		b.VM.ID, c.VM.ID = a.VM.ID, a.VM.ID
		assert.Check(t, a.compare(&b) == -b.compare(&a), "antisymmetric")
		assert.Check(t, a.compare(&b) != 0 || a == b, "ties are equal")
		if a.newer(&b) && b.newer(&c) {
			assert.Check(t, a.newer(&c), "transitive")
		}
	})
}

// Words arrive crossed and doubled, in another order at each node. All nodes end
// with the same table, digest and choice, and no VM is in the choice that said
// goodbye in the start that is known.
func TestTablesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(anyRecord(), 1, 20).Draw(t, "words")
		one, two := newTestTable(), newTestTable()
		for _, record := range words {
			one.RecordReceived(began, record)
		}
		crossed := append(rapid.Permutation(words).Draw(t, "crossed"), rapid.SliceOf(rapid.SampledFrom(words)).Draw(t, "doubled")...)
		for _, record := range crossed {
			two.RecordReceived(began, record)
		}
		assert.DeepEqual(t, one.Digest(), two.Digest())
		assert.DeepEqual(t, one.View(began), two.View(began))
	})
}

// Over random sequences of list, words, goodbyes and restarts, and after each
// step: a VM that said goodbye is not in the choice until a later start, and
// a node's own record always beats what others hold of it after it heard them.
func TestDepartedIsNeverRevivedWithinAStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTestTable()
		departed := map[string]uint64{}
		now := began
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 9_000).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				state := rapid.SampledFrom([]State{Live, Departing}).Draw(t, "listed")
				table.ListReceived(now, []Record{listed("x", state), listed("y", Live)})
			case 1:
				table.Tick(now)
			default:
				record := anyRecord().Draw(t, "word")
				if table.RecordReceived(now, record) && record.State.departure() > 0 {
					departed[record.VM.ID] = record.Incarnation
				}
			}
			checkDeparted(t, table, now, departed)
		}
	})
}

func checkDeparted(t *rapid.T, table *Table, now time.Time, departed map[string]uint64) {
	for _, record := range table.View(now).Records {
		if until, ok := departed[record.VM.ID]; ok && record.Incarnation <= until {
			assert.Assert(t, !chosen(table, now, record.VM.ID), "%+v", record)
		}
	}
}

// Two nodes with different words exchange once: digest, what differs, and what
// the asker knows better. Both then hold the same.
func TestOneExchangeMakesTablesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := newTestTable(), newTestTable()
		for _, record := range rapid.SliceOf(anyRecord()).Draw(t, "one") {
			one.RecordReceived(began, record)
		}
		for _, record := range rapid.SliceOf(anyRecord()).Draw(t, "two") {
			two.RecordReceived(began, record)
		}
		domains, records := two.DiffDigest(one.Digest())
		back := one.NewerRecords(domains, records)
		one.SyncReceived(began, records)
		two.SyncReceived(began, back)
		assert.DeepEqual(t, one.Digest(), two.Digest())
	})
}
