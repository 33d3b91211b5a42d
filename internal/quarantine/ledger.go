package quarantine

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of the contents of a ledger. The oldest item of each kind is dropped first.
const (
	// maxCrashes is the number of bits of a crashSet.
	maxCrashes   = 64
	maxSuspects  = 128
	maxCompleted = 1024
	maxBlocks    = 256
	// retention is how long crashes and completions count.
	retention = time.Hour
	// expireInterval is the time between two removals of expired items.
	expireInterval = time.Minute
)

// Bounds of the rate at which a ledger accepts crashes, and so passes them on to each
// neighbour. Crashes are weighted by their number of suspects.
const (
	weightPerSecond = 128
	weightBurst     = 4096
	// crashWeight is the weight of a crash without suspects.
	crashWeight = 4
)

// Parameters of a block's duration. A blocked request is tried again after the block,
// since its cause may have been fixed at the targets. The durations grow so that a
// request that still crashes targets affects only few of them a day.
const (
	initialBlockDuration = time.Hour
	blockGrowth          = 3
	maxBlockDuration     = 7 * 24 * time.Hour
)

// Ledger holds the crashes known to a node. Each node keeps all of them and decides on
// its own; nodes with the same data reach the same decisions. It is not safe for
// concurrent use.
//
// A crash of a target ends all requests that it runs, so a single crash says little
// about its cause. A request is blocked once it is a suspect in three crashes that
// nothing else explains, two of them of targets that had answered requests before. A
// request that completes is cleared: requests that merely ran at the time of a crash
// complete when they are sent again.
type Ledger struct {
	// number is incremented for each entry. It determines which entries a neighbour
	// lacks.
	number    uint64
	crashes   []*crash
	completed map[Fingerprint]*completion
	blocks    map[Fingerprint]*block
	// unexplainedCounts holds the number of unexplained crashes of each suspect.
	unexplainedCounts map[Fingerprint]int
	limiter           *rate.Limiter
	expiredAt         time.Time
	// dropped counts the crashes that exceeded the rate limit.
	dropped int
}

// Feed identifies a connection to a neighbour. Neighbours are distinguished by it and not
// by their addresses, since several may share an address behind a relay.
type Feed uint64

// entry is the origin of an item in a ledger.
type entry struct {
	number uint64
	// from is the feed on which the item arrived; 0 for this node itself.
	from Feed
	at   time.Time
}

type crash struct {
	entry
	id       uint64
	answered bool
	suspects []Fingerprint
}

type completion struct{ entry }

type block struct {
	entry
	times int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		completed: map[Fingerprint]*completion{}, blocks: map[Fingerprint]*block{}, unexplainedCounts: map[Fingerprint]int{},
		limiter: rate.NewLimiter(weightPerSecond, weightBurst),
	}
}

// CrashCount returns the number of crashes in which the request was a suspect and that
// nothing else explains.
func (l *Ledger) CrashCount(request Fingerprint) int { return l.unexplainedCounts[request] }

// BlockRemaining returns how much longer the request is blocked; zero if it isn't.
func (l *Ledger) BlockRemaining(now time.Time, request Fingerprint) time.Duration {
	b := l.blocks[request]
	if b == nil {
		return 0
	}
	return max(0, b.end().Sub(now))
}

// BlockedCount returns the number of blocked requests.
func (l *Ledger) BlockedCount(now time.Time) int {
	count := 0
	for _, b := range l.blocks {
		if now.Before(b.end()) {
			count++
		}
	}
	return count
}

// end returns when the request may be tried again.
func (b *block) end() time.Time { return b.at.Add(b.duration()) }

func (b *block) duration() time.Duration {
	duration := initialBlockDuration
	for times := 1; times < b.times && duration < maxBlockDuration; times++ {
		duration = min(duration*blockGrowth, maxBlockDuration)
	}
	return duration
}

// RecordCrash records a crash observed by this node.
func (l *Ledger) RecordCrash(now time.Time, c Crash) { l.Merge(now, 0, &Notice{Crashes: []Crash{c}}) }

// RecordCompletion records that this node observed a request complete. It reports
// whether this clears the request of any crash or block.
func (l *Ledger) RecordCompletion(now time.Time, request Fingerprint) bool {
	if l.unexplainedCounts[request] == 0 && l.blocks[request] == nil {
		return false
	}
	return l.Merge(now, 0, &Notice{Completed: []Completion{{Request: request}}})
}

// Merge adds the content of a notice received on a feed. It reports whether any of it is
// new.
func (l *Ledger) Merge(now time.Time, from Feed, n *Notice) bool {
	l.expire(now)
	before := l.number
	decide := len(n.Blocks) > 0 || len(n.Crashes) > 0
	for i := range n.Completed {
		decide = l.affectsOthers(n.Completed[i].Request) || decide
		l.addCompletion(n.Completed[i].Request, l.nextEntry(from, now, n.Completed[i].Age))
	}
	for i := range n.Blocks {
		b := &n.Blocks[i]
		l.addBlock(b.Request, &block{entry: l.nextEntry(from, now, b.Age), times: b.Count})
	}
	for i := range n.Crashes {
		c := &n.Crashes[i]
		l.addCrash(now, &crash{entry: l.nextEntry(from, now, c.Age), id: c.ID, answered: c.Answered, suspects: c.Suspects})
	}
	if l.number == before {
		return false
	}
	if decide {
		l.decide()
	}
	return true
}

// affectsOthers reports whether clearing the request may change the decisions about
// other requests.
func (l *Ledger) affectsOthers(request Fingerprint) bool {
	return l.unexplainedCounts[request] >= minCrashes || l.blocks[request] != nil
}

// nextEntry returns the origin of an item that may be added next.
func (l *Ledger) nextEntry(from Feed, now time.Time, age time.Duration) entry {
	return entry{number: l.number + 1, from: from, at: now.Add(-max(0, age))}
}

func (l *Ledger) addCrash(now time.Time, c *crash) {
	if now.Sub(c.at) > retention || slices.ContainsFunc(l.crashes, func(known *crash) bool { return known.id == c.id }) {
		return
	}
	c.suspects = slices.Clone(c.suspects[:min(len(c.suspects), maxSuspects)])
	if !l.limiter.AllowN(now, crashWeight+len(c.suspects)) {
		l.dropped++
		return
	}
	for request, done := range l.completed {
		if !done.at.Before(c.at) {
			c.removeSuspect(request)
		}
	}
	if len(l.crashes) == maxCrashes {
		l.crashes = slices.Delete(l.crashes, 0, 1)
	}
	l.crashes = append(l.crashes, c)
	l.number = c.number
}

func (c *crash) removeSuspect(request Fingerprint) {
	if i := slices.Index(c.suspects, request); i >= 0 {
		c.suspects = slices.Delete(c.suspects, i, i+1)
	}
}

// addCompletion clears a request of all earlier crashes and of its block.
func (l *Ledger) addCompletion(request Fingerprint, e entry) {
	cleared := false
	for _, c := range l.crashes {
		if !c.at.After(e.at) && slices.Contains(c.suspects, request) {
			c.removeSuspect(request)
			cleared = true
		}
	}
	if b := l.blocks[request]; b != nil && !b.at.After(e.at) {
		delete(l.blocks, request)
		cleared = true
	}
	if !cleared {
		return
	}
	delete(l.unexplainedCounts, request)
	if len(l.completed) == maxCompleted {
		delete(l.completed, oldest(l.completed))
	}
	l.completed[request] = &completion{e}
	l.number = e.number
}

func (l *Ledger) addBlock(request Fingerprint, b *block) {
	if done := l.completed[request]; done != nil && !done.at.Before(b.at) {
		return
	}
	if known := l.blocks[request]; known != nil && known.times >= b.times {
		return
	}
	if len(l.blocks) == maxBlocks {
		delete(l.blocks, oldest(l.blocks))
	}
	l.blocks[request] = b
	l.number = b.number
}

func (e *entry) recordedAt() time.Time { return e.at }

// oldest returns the request with the earliest entry of a non-empty map.
func oldest[E interface{ recordedAt() time.Time }](entries map[Fingerprint]E) Fingerprint {
	var first Fingerprint
	var at time.Time
	for request, e := range entries {
		if at.IsZero() || e.recordedAt().Before(at) {
			first, at = request, e.recordedAt()
		}
	}
	return first
}

// expire drops items that are too old to count. A block is kept beyond its end, so that
// the next block of the request is longer.
func (l *Ledger) expire(now time.Time) {
	if now.Sub(l.expiredAt) < expireInterval {
		return
	}
	l.expiredAt = now
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool { return now.Sub(c.at) > retention })
	for request, done := range l.completed {
		if now.Sub(done.at) > retention {
			delete(l.completed, request)
		}
	}
	for request, b := range l.blocks {
		if now.Sub(b.at) > maxBlockDuration {
			delete(l.blocks, request)
		}
	}
}

// Since returns the items that the neighbour on a feed lacks if it has received
// everything up to a position, and its position after receiving them. Items that arrived
// on the feed are not sent back.
func (l *Ledger) Since(now time.Time, position uint64, to Feed) (*Notice, uint64) {
	notice := &Notice{}
	lacks := func(e *entry) bool { return e.number > position && e.from != to }
	for _, c := range l.crashes {
		if lacks(&c.entry) {
			notice.Crashes = append(notice.Crashes, Crash{ID: c.id, Age: now.Sub(c.at), Answered: c.answered, Suspects: slices.Clone(c.suspects)})
		}
	}
	for request, done := range l.completed {
		if lacks(&done.entry) {
			notice.Completed = append(notice.Completed, Completion{Request: request, Age: now.Sub(done.at)})
		}
	}
	for request, b := range l.blocks {
		if lacks(&b.entry) {
			notice.Blocks = append(notice.Blocks, Block{Request: request, Age: now.Sub(b.at), Count: b.times})
		}
	}
	return notice, l.number
}

// TakeDropped returns the number of crashes that exceeded the rate limit since the last
// call.
func (l *Ledger) TakeDropped() int {
	dropped := l.dropped
	l.dropped = 0
	return dropped
}
