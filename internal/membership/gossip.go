package membership

import (
	"slices"
	"time"
)

// Limits of gossip. A node sends each update in up to roundsPerRecord rounds, to
// gossipFanout peers in each. Lost updates are repaired by anti-entropy.
const (
	gossipFanout    = 3
	roundsPerRecord = 4
	// RecordsPerMessage bounds the size of a message, and so the cost of gossip
	// for a node while the whole fleet restarts: three such messages per gossip
	// round.
	RecordsPerMessage = 24
)

// queued is an update to be sent: a record, or a mark if mark is set.
type queued struct {
	id     string
	mark   bool
	rounds int
}

// gossipQueue holds pending updates by VM id. The record itself is read when the
// update is sent, so a later record replaces an earlier one.
type gossipQueue struct{ items []queued }

func (q *gossipQueue) push(record Record) {
	urgent := record.State != Live
	rounds := roundsPerRecord
	if !urgent {
		// While the whole fleet restarts, each live record is sent fewer times:
		// otherwise every node would send the records of the whole fleet twelve
		// times. Anti-entropy exchanges deliver the missed ones.
		rounds = max(1, roundsPerRecord-len(q.items)/RecordsPerMessage)
	}
	q.insert(queued{id: record.VM.ID, rounds: rounds}, urgent)
}

func (q *gossipQueue) pushMark(id string) {
	q.insert(queued{id: id, mark: true, rounds: roundsPerRecord}, true)
}

// insert puts departures and suspicions at the front of the queue: while the
// whole fleet restarts they must not wait behind hundreds of live records.
func (q *gossipQueue) insert(item queued, urgent bool) {
	q.items = slices.DeleteFunc(q.items, func(old queued) bool { return old.id == item.id && old.mark == item.mark })
	if urgent {
		q.items = slices.Insert(q.items, 0, item)
		return
	}
	q.items = append(q.items, item)
}

// take returns the updates for one round and requeues those with rounds left.
func (q *gossipQueue) take() []queued {
	count := min(len(q.items), RecordsPerMessage)
	taken := slices.Clone(q.items[:count])
	remaining := slices.Clone(q.items[count:])
	for _, item := range taken {
		if item.rounds--; item.rounds > 0 {
			remaining = append(remaining, item)
		}
	}
	q.items = remaining
	return taken
}

// GossipRound is the content and the receivers of one gossip round.
type GossipRound struct {
	To      []VM
	Records []Record
	Marks   []DepartureMark
}

// GossipPending reports whether there are updates and peers to send them to.
func (t *Table) GossipPending() bool {
	if len(t.queue.items) == 0 {
		return false
	}
	near := t.neighbours()
	return len(near.peers)+len(near.domains) > 0
}

// Gossip returns the next round. Most of its receivers are in the node's own
// domain, since traffic between regions has a cost.
func (t *Table) Gossip(now time.Time) GossipRound {
	round := GossipRound{To: t.randomPeers(gossipFanout)}
	if len(round.To) == 0 {
		return round
	}
	t.fillRound(now, &round)
	return round
}

// DepartureGossip returns a round that sends the node's own record to all its
// neighbours, for a planned stop. One further hop then reaches all nodes.
func (t *Table) DepartureGossip(now time.Time) GossipRound {
	near := t.neighbours()
	to := slices.Clone(near.peers)
	for _, d := range near.domains {
		if vm, ok := t.domainPeer(d); ok {
			to = append(to, vm)
		}
	}
	return GossipRound{To: to, Records: []Record{t.self.record}}
}

func (t *Table) fillRound(now time.Time, round *GossipRound) {
	for _, item := range t.queue.take() {
		m, ok := t.members[item.id]
		if !ok || !m.confirmed() {
			continue
		}
		if !item.mark {
			round.Records = append(round.Records, m.record)
			continue
		}
		if remaining := m.markedUntil.Sub(now); m.isMarked && remaining > 0 {
			round.Marks = append(round.Marks, DepartureMark{ID: item.id, Incarnation: m.markedIncarnation, RemainingMillis: uint32(remaining.Milliseconds())})
		}
	}
}

// randomPeers returns random neighbours. At most one of them is in another
// domain.
func (t *Table) randomPeers(count int) []VM {
	near := t.neighbours()
	var picked []VM
	if len(near.domains) > 0 {
		d := near.domains[t.random.IntN(len(near.domains))]
		if vm, ok := t.domainPeer(d); ok {
			picked = append(picked, vm)
		}
	}
	for _, i := range t.random.Perm(len(near.peers)) {
		if len(picked) >= count {
			break
		}
		picked = append(picked, near.peers[i])
	}
	return picked
}
