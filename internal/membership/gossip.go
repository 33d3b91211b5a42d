package membership

import (
	"slices"
	"time"
)

// Bounds of gossip. Each piece of news leaves a node roundsPerRecord times
// gossipFanout; what is lost on the way is mended by anti-entropy.
const (
	gossipFanout    = 3
	roundsPerRecord = 4
	// RecordsPerMessage bounds one message, and so what gossip costs a node in
	// a herd restart: three such messages each gossip round.
	RecordsPerMessage = 24
)

// queued is one piece of news on its way out: a record, or a mark when mark is
// set.
type queued struct {
	id     string
	mark   bool
	rounds int
}

// gossipQueue holds news by VM id; the record itself is read when it is sent,
// so a later one takes an earlier one's place.
type gossipQueue struct{ items []queued }

func (q *gossipQueue) push(record Record) {
	urgent := record.State != Live
	rounds := roundsPerRecord
	if !urgent {
		// In a herd restart each arrival is sent fewer times: all of them
		// together would cost every node the fleet's records twelve times
		// over, and the exchanges bring what is missed.
		rounds = max(1, roundsPerRecord-len(q.items)/RecordsPerMessage)
	}
	q.insert(queued{id: record.VM.ID, rounds: rounds}, urgent)
}

func (q *gossipQueue) pushMark(id string) {
	q.insert(queued{id: id, mark: true, rounds: roundsPerRecord}, true)
}

// insert puts departures and suspicions in front: in a herd restart they must
// not wait behind hundreds of arrivals.
func (q *gossipQueue) insert(item queued, urgent bool) {
	q.items = slices.DeleteFunc(q.items, func(old queued) bool { return old.id == item.id && old.mark == item.mark })
	if urgent {
		q.items = slices.Insert(q.items, 0, item)
		return
	}
	q.items = append(q.items, item)
}

// take returns the news of one round and keeps what has rounds left.
func (q *gossipQueue) take() []queued {
	count := min(len(q.items), RecordsPerMessage)
	taken := slices.Clone(q.items[:count])
	rest := slices.Clone(q.items[count:])
	for _, item := range taken {
		if item.rounds--; item.rounds > 0 {
			rest = append(rest, item)
		}
	}
	q.items = rest
	return taken
}

// News is what one gossip round sends, and to whom.
type GossipRound struct {
	To      []VM
	Records []Record
	Marks   []DepartureMark
}

// Pending reports whether there is news to send.
func (t *Table) GossipPending() bool {
	if len(t.queue.items) == 0 {
		return false
	}
	near := t.neighbours()
	return len(near.around)+len(near.domains) > 0
}

// Gossip returns the next round: most of its receivers stand in the node's own
// domain, since bytes between regions are paid for.
func (t *Table) Gossip(now time.Time) GossipRound {
	news := GossipRound{To: t.gossipPeers(gossipFanout)}
	if len(news.To) == 0 {
		return news
	}
	t.fill(now, &news)
	return news
}

// Farewell returns a round of the node's own record to all its neighbours, for
// a planned stop: one more hop then reaches everyone.
func (t *Table) DepartureGossip(now time.Time) GossipRound {
	near := t.neighbours()
	to := slices.Clone(near.around)
	for _, d := range near.domains {
		if vm, ok := t.contactOf(d); ok {
			to = append(to, vm)
		}
	}
	return GossipRound{To: to, Records: []Record{t.self.record}}
}

func (t *Table) fill(now time.Time, news *GossipRound) {
	for _, item := range t.queue.take() {
		m, ok := t.members[item.id]
		if !ok || !m.heard() {
			continue
		}
		if !item.mark {
			news.Records = append(news.Records, m.record)
			continue
		}
		if left := m.markedUntil.Sub(now); m.isMarked && left > 0 {
			news.Marks = append(news.Marks, DepartureMark{ID: item.id, Incarnation: m.marked, RemainingMillis: uint32(left.Milliseconds())})
		}
	}
}

// gossipPeers picks random neighbours, at most one of them of another domain
// while the own domain has enough.
func (t *Table) gossipPeers(count int) []VM {
	near := t.neighbours()
	var picked []VM
	if len(near.domains) > 0 {
		d := near.domains[t.random.IntN(len(near.domains))]
		if vm, ok := t.contactOf(d); ok {
			picked = append(picked, vm)
		}
	}
	for _, i := range t.random.Perm(len(near.around)) {
		if len(picked) >= count {
			break
		}
		picked = append(picked, near.around[i])
	}
	return picked
}
