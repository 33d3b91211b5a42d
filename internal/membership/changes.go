package membership

// Change is a state transition of one VM, for the audit trail. A VM that is
// forgotten changes to Gone.
type Change struct {
	VM   VM
	From State
	To   State
	// IncarnationRaised is set when this node raised its own incarnation,
	// because peers held a higher one: from an earlier start while the clock
	// was ahead, or from another process with the same VM id.
	IncarnationRaised bool
}

// maxPendingChanges bounds the changes kept between two calls of TakeChanges.
const maxPendingChanges = 4096

// addChange stores a state transition. Newer records with the same state are
// left out.
func (t *Table) addChange(old, record Record) {
	if old.State == record.State && old.Incarnation > 0 || len(t.changes) >= maxPendingChanges {
		return
	}
	t.changes = append(t.changes, Change{VM: record.VM, From: old.State, To: record.State})
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
