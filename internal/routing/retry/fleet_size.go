package retry

import "time"

// FleetSize is the number of nodes that share a retry budget, as one node estimates it.
// A node sees only the VMs whose targets are listed. If a target crashes, its entry
// lapses, but the node on its VM goes on serving callers and sending retries. So the
// largest number of the last minutes counts: with too large a number, nodes use less
// than the budget, with too small a one, more.
type FleetSize struct {
	// current is the largest number since began, previous that of the period before.
	current, previous int
	began             time.Time
}

// fleetSizePeriod is the least time for which a number of VMs counts after it was seen.
const fleetSizePeriod = 5 * time.Minute

// Observe records the number of VMs with listed targets.
func (s *FleetSize) Observe(now time.Time, listed int) {
	if now.Sub(s.began) >= fleetSizePeriod {
		s.previous, s.current, s.began = s.current, 0, now
	}
	s.current = max(s.current, listed)
}

// Nodes returns the number of nodes, at least 1.
func (s *FleetSize) Nodes() int { return max(s.current, s.previous, 1) }
