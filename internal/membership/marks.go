package membership

import "time"

// Listed takes the platform's list. The list lags, so it introduces VMs, which
// get no work before they were heard, and marks departures; it never says that a
// VM is alive.
func (t *Table) ListReceived(now time.Time, list []Record) {
	t.listRead = now
	for _, record := range list {
		if record.VM.ID == "" {
			continue
		}
		m := t.introduce(now, record.VM)
		m.listed, m.unlisted = now, time.Time{}
		if record.State == Departing {
			t.markByList(now, m)
		} else if !m.isMarked {
			m.marked = 0
		}
	}
	for _, m := range t.ordered {
		if m.listed != now && m.unlisted.IsZero() {
			m.unlisted = now
		}
	}
}

// introduce returns the member for a listed VM. Until the VM spoke for itself,
// the list says where it is.
func (t *Table) introduce(now time.Time, vm VM) *member {
	m, ok := t.members[vm.ID]
	if !ok {
		return t.add(now, Record{VM: vm, State: Live})
	}
	if !m.heard() && m.record.VM != vm {
		t.replace(now, m, Record{VM: vm, State: Live})
	}
	return m
}

// markByList marks the incarnation that is known. A VM that restarted under a
// list that still shows the departure of its predecessor is not marked anew,
// also when the old mark has run out between two readings.
func (t *Table) markByList(now time.Time, m *member) {
	switch left := m.markedUntil.Sub(now); {
	case m.marked == 0 || -left > markMemory:
		t.mark(now, m, m.record.Incarnation, markHold)
	case left < markHold/2:
		t.mark(now, m, m.marked, markHold)
	}
}

// Marked takes marks that peers read from the list.
func (t *Table) MarksReceived(now time.Time, marks []DepartureMark) {
	for _, mark := range marks {
		m, ok := t.members[mark.ID]
		left := min(time.Duration(mark.RemainingMillis)*time.Millisecond, markHold)
		if !ok || mark.Incarnation == 0 {
			continue
		}
		if m.isMarked && mark.Incarnation <= m.marked && !m.markedUntil.Add(markHold/4).Before(now.Add(left)) {
			continue
		}
		t.mark(now, m, max(mark.Incarnation, m.marked), left)
	}
}

func (t *Table) mark(now time.Time, m *member, incarnation uint64, hold time.Duration) {
	m.isMarked = true
	m.marked = incarnation
	m.markedUntil = now.Add(hold)
	t.marks[m.record.VM.ID] = m
	if incarnation > 0 {
		t.queue.pushMark(m.record.VM.ID)
	}
	t.touch()
}

// sweepMarks ends marks that were not repeated.
func (t *Table) sweepMarks(now time.Time) {
	for id, m := range t.marks {
		if !now.Before(m.markedUntil) {
			m.isMarked = false
			delete(t.marks, id)
			t.touch()
		}
	}
}
