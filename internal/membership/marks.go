package membership

import "time"

// ListReceived processes the platform's VM list. The list lags behind, so it is
// used only to add VMs, which get no work until they are confirmed, and to mark
// departures. It is never evidence that a VM is alive.
func (t *Table) ListReceived(now time.Time, list []Record) {
	t.lastListRead = now
	for _, record := range list {
		if record.VM.ID == "" {
			continue
		}
		m := t.addListed(now, record.VM)
		m.listed, m.unlisted = now, time.Time{}
		if record.State == Departing {
			t.markListed(now, m)
		} else if !m.isMarked {
			m.markedIncarnation = 0
		}
	}
	for _, m := range t.ordered {
		if m.listed != now && m.unlisted.IsZero() {
			m.unlisted = now
		}
	}
}

// addListed returns the member for a listed VM and adds it if it is unknown.
// Until the VM is confirmed, its addresses are taken from the list.
func (t *Table) addListed(now time.Time, vm VM) *member {
	m, ok := t.members[vm.ID]
	if !ok {
		return t.add(now, Record{VM: vm, State: Live})
	}
	if !m.confirmed() && m.record.VM != vm {
		t.replace(now, m, Record{VM: vm, State: Live})
	}
	return m
}

// markListed marks the known incarnation as departing. A VM that has restarted
// while the list still shows the departure of its previous process is not marked
// again, even if the old mark expired between two reads of the list.
func (t *Table) markListed(now time.Time, m *member) {
	switch remaining := m.markedUntil.Sub(now); {
	case m.markedIncarnation == 0 || -remaining > markRetention:
		t.mark(now, m, m.record.Incarnation, markTTL)
	case remaining < markTTL/2:
		t.mark(now, m, m.markedIncarnation, markTTL)
	}
}

// MarksReceived processes marks that peers derived from the list.
func (t *Table) MarksReceived(now time.Time, marks []DepartureMark) {
	for _, mark := range marks {
		m, ok := t.members[mark.ID]
		remaining := min(time.Duration(mark.RemainingMillis)*time.Millisecond, markTTL)
		if !ok || mark.Incarnation == 0 {
			continue
		}
		if m.isMarked && mark.Incarnation <= m.markedIncarnation && !m.markedUntil.Add(markTTL/4).Before(now.Add(remaining)) {
			continue
		}
		t.mark(now, m, max(mark.Incarnation, m.markedIncarnation), remaining)
	}
}

func (t *Table) mark(now time.Time, m *member, incarnation uint64, ttl time.Duration) {
	m.isMarked = true
	m.markedIncarnation = incarnation
	m.markedUntil = now.Add(ttl)
	t.marks[m.record.VM.ID] = m
	if incarnation > 0 {
		t.queue.pushMark(m.record.VM.ID)
	}
	t.invalidate()
}

// sweepMarks removes marks that have expired because they were not repeated.
func (t *Table) sweepMarks(now time.Time) {
	for id, m := range t.marks {
		if !now.Before(m.markedUntil) {
			m.isMarked = false
			delete(t.marks, id)
			t.invalidate()
		}
	}
}
