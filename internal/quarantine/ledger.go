package quarantine

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of what a ledger holds. Of each kind the oldest is dropped first.
const (
	// maxCrashes fits the bits of a crashSet.
	maxCrashes   = 64
	maxSuspects  = 128
	maxCompleted = 1024
	maxBlocks    = 256
	// remembered is for how long crashes and completions count.
	remembered = time.Hour
	// expireInterval is the pause between two looks for what is older.
	expireInterval = time.Minute
)

// Bounds of what a ledger learns, and so of what it passes on to each neighbour: crashes by
// the weight of their suspects.
const (
	weightPerSecond = 128
	weightBurst     = 4096
	// crashWeight is that of a crash without suspects.
	crashWeight = 4
)

// Times of a block. A request that was mended at its targets is tried again, and the
// pauses grow so that one which wasn't costs few targets a day.
const (
	firstBlock   = time.Hour
	blockGrowth  = 3
	longestBlock = 7 * 24 * time.Hour
)

// Ledger is what a node knows of crashes. Each node keeps all of it, and decides by itself;
// nodes that know the same decide the same. It is not safe for concurrent use.
//
// A target that crashes takes all requests with it that it ran, so one crash says little.
// A request is blocked once three crashes that nothing else explains have it as a suspect,
// two of them of targets that had worked before. A request that runs to its end is cleared:
// those that merely ran beside a crash do so when they are sent again.
type Ledger struct {
	// number grows with each entry, and tells what a neighbour lacks.
	number    uint64
	crashes   []*crash
	completed map[Fingerprint]*completion
	blocks    map[Fingerprint]*block
	// counts holds the suspects' unexplained crashes.
	counts  map[Fingerprint]int
	inflow  *rate.Limiter
	expired time.Time
	// dropped counts the crashes beyond the bound of what is learned.
	dropped int
}

// Feed is one connection to a neighbour. Neighbours are told apart by it and not by their
// addresses, which several may share behind a relay.
type Feed uint64

// entry says how a part of a ledger came to be.
type entry struct {
	number uint64
	// from is the feed that it came by; 0 for this node itself.
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

// NewLedger returns a ledger that knows nothing.
func NewLedger() *Ledger {
	return &Ledger{
		completed: map[Fingerprint]*completion{}, blocks: map[Fingerprint]*block{}, counts: map[Fingerprint]int{},
		inflow: rate.NewLimiter(weightPerSecond, weightBurst),
	}
}

// Count returns in how many crashes a request was a suspect that nothing else explains.
func (l *Ledger) CrashCount(request Fingerprint) int { return l.counts[request] }

// Quarantined returns for how long yet a request is kept from targets; zero if it isn't.
func (l *Ledger) BlockRemaining(now time.Time, request Fingerprint) time.Duration {
	s := l.blocks[request]
	if s == nil {
		return 0
	}
	return max(0, s.ends().Sub(now))
}

// Blocked returns how many requests are kept from targets.
func (l *Ledger) BlockedCount(now time.Time) int {
	count := 0
	for _, s := range l.blocks {
		if now.Before(s.ends()) {
			count++
		}
	}
	return count
}

// ends is when the request may be tried again.
func (s *block) ends() time.Time { return s.at.Add(s.term()) }

func (s *block) term() time.Duration {
	term := firstBlock
	for times := 1; times < s.times && term < longestBlock; times++ {
		term = min(term*blockGrowth, longestBlock)
	}
	return term
}

// Crashed takes a crash that this node saw.
func (l *Ledger) RecordCrash(now time.Time, c Crash) { l.Merge(now, 0, &Notice{Crashes: []Crash{c}}) }

// Completed takes a run to its end that this node saw, and reports whether it clears the
// request of anything.
func (l *Ledger) RecordCompletion(now time.Time, request Fingerprint) bool {
	if l.counts[request] == 0 && l.blocks[request] == nil {
		return false
	}
	return l.Merge(now, 0, &Notice{Completed: []Completion{{Request: request}}})
}

// Merge takes what comes by a feed, and reports whether anything of it is new.
func (l *Ledger) Merge(now time.Time, from Feed, n *Notice) bool {
	l.expire(now)
	before := l.number
	decide := len(n.Blocks) > 0 || len(n.Crashes) > 0
	for i := range n.Completed {
		decide = l.decides(n.Completed[i].Request) || decide
		l.addCompletion(n.Completed[i].Request, l.next(from, now, n.Completed[i].Age))
	}
	for i := range n.Blocks {
		s := &n.Blocks[i]
		l.addBlock(s.Request, &block{entry: l.next(from, now, s.Age), times: s.Times})
	}
	for i := range n.Crashes {
		c := &n.Crashes[i]
		l.addCrash(now, &crash{entry: l.next(from, now, c.Age), id: c.ID, answered: c.Answered, suspects: c.Suspects})
	}
	if l.number == before {
		return false
	}
	if decide {
		l.decide()
	}
	return true
}

// decides reports whether it makes a difference for other requests that one is cleared.
func (l *Ledger) decides(request Fingerprint) bool {
	return l.counts[request] >= crashesToBlock || l.blocks[request] != nil
}

// next is the origin of an entry that may be added next.
func (l *Ledger) next(from Feed, now time.Time, age time.Duration) entry {
	return entry{number: l.number + 1, from: from, at: now.Add(-max(0, age))}
}

func (l *Ledger) addCrash(now time.Time, c *crash) {
	if now.Sub(c.at) > remembered || slices.ContainsFunc(l.crashes, func(known *crash) bool { return known.id == c.id }) {
		return
	}
	c.suspects = slices.Clone(c.suspects[:min(len(c.suspects), maxSuspects)])
	if !l.inflow.AllowN(now, crashWeight+len(c.suspects)) {
		l.dropped++
		return
	}
	for request, done := range l.completed {
		if !done.at.Before(c.at) {
			c.clear(request)
		}
	}
	if len(l.crashes) == maxCrashes {
		l.crashes = slices.Delete(l.crashes, 0, 1)
	}
	l.crashes = append(l.crashes, c)
	l.number = c.number
}

func (c *crash) clear(request Fingerprint) {
	if i := slices.Index(c.suspects, request); i >= 0 {
		c.suspects = slices.Delete(c.suspects, i, i+1)
	}
}

// addCompletion clears a request of all crashes before it, and of its block.
func (l *Ledger) addCompletion(request Fingerprint, e entry) {
	cleared := false
	for _, c := range l.crashes {
		if !c.at.After(e.at) && slices.Contains(c.suspects, request) {
			c.clear(request)
			cleared = true
		}
	}
	if s := l.blocks[request]; s != nil && !s.at.After(e.at) {
		delete(l.blocks, request)
		cleared = true
	}
	if !cleared {
		return
	}
	delete(l.counts, request)
	if len(l.completed) == maxCompleted {
		delete(l.completed, oldest(l.completed))
	}
	l.completed[request] = &completion{e}
	l.number = e.number
}

func (l *Ledger) addBlock(request Fingerprint, s *block) {
	if done := l.completed[request]; done != nil && !done.at.Before(s.at) {
		return
	}
	if known := l.blocks[request]; known != nil && known.times >= s.times {
		return
	}
	if len(l.blocks) == maxBlocks {
		delete(l.blocks, oldest(l.blocks))
	}
	l.blocks[request] = s
	l.number = s.number
}

func (e *entry) began() time.Time { return e.at }

// oldest returns the request with the earliest entry of a map that isn't empty.
func oldest[E interface{ began() time.Time }](entries map[Fingerprint]E) Fingerprint {
	var first Fingerprint
	var at time.Time
	for request, e := range entries {
		if at.IsZero() || e.began().Before(at) {
			first, at = request, e.began()
		}
	}
	return first
}

// expire drops what is too old to count. A block outlasts its term, so that the next one
// is longer.
func (l *Ledger) expire(now time.Time) {
	if now.Sub(l.expired) < expireInterval {
		return
	}
	l.expired = now
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool { return now.Sub(c.at) > remembered })
	for request, done := range l.completed {
		if now.Sub(done.at) > remembered {
			delete(l.completed, request)
		}
	}
	for request, s := range l.blocks {
		if now.Sub(s.at) > longestBlock {
			delete(l.blocks, request)
		}
	}
}

// Since returns what the neighbour on a feed lacks that was told everything up to a position,
// and its position after that. What came by the feed isn't sent back.
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
	for request, s := range l.blocks {
		if lacks(&s.entry) {
			notice.Blocks = append(notice.Blocks, Block{Request: request, Age: now.Sub(s.at), Times: s.times})
		}
	}
	return notice, l.number
}

// TakeDropped returns how many crashes were left out since it was last asked, beyond the
// bound of what is learned.
func (l *Ledger) TakeDropped() int {
	dropped := l.dropped
	l.dropped = 0
	return dropped
}
