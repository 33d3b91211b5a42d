package membership

// Change is a step of one VM from one state to another, for the audit trail. A
// VM that is forgotten goes to Gone.
type Change struct {
	VM   VM
	From State
	To   State
	// Raised is set when this node raised its own incarnation, because peers
	// held a higher one: from an earlier start when the clock stood ahead, or
	// from another process that uses the same VM id.
	IncarnationRaised bool
}

// maxChanges bounds the changes kept for the trail between two takes.
const maxChanges = 4096

// note keeps a change of state; later words that change nothing are left out.
func (t *Table) note(old, record Record) {
	if old.State == record.State && old.Incarnation > 0 || len(t.changes) >= maxChanges {
		return
	}
	t.changes = append(t.changes, Change{VM: record.VM, From: old.State, To: record.State})
}

// TakeChanges returns the changes since it was last called.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
