package quarantine

import "math/bits"

const (
	// crashesToBlock is in how many unexplained crashes a request is blocked.
	crashesToBlock = 3
	// answeredToBlock is how many of these must be of targets that had worked before.
	answeredToBlock = 2
)

// crashSet holds one bit for each crash of a ledger.
type crashSet uint64

func (s crashSet) count() int { return bits.OnesCount64(uint64(s)) }

func (s crashSet) holds(other crashSet) bool { return s&other == other }

// decide blocks the requests that explain crashes, the one that explains most first. A
// crash that one explains tells nothing of those that ran beside it. Of several requests
// that ran in just the same crashes none is blocked.
func (l *Ledger) decide() {
	suspected, answered, explained := l.suspicions()
	for {
		likely, found := l.mostLikely(suspected, answered, explained)
		if !found {
			break
		}
		crashes := suspected[likely] &^ explained
		l.block(likely, crashes)
		explained |= suspected[likely]
		delete(suspected, likely)
	}
	clear(l.counts)
	for request, crashes := range suspected {
		if count := (crashes &^ explained).count(); count > 0 {
			l.counts[request] = count
		}
	}
}

// suspicions returns the crashes of each suspect that isn't blocked, those of targets that
// had answered, and those that a blocked request explains.
func (l *Ledger) suspicions() (suspected map[Fingerprint]crashSet, answered, explained crashSet) {
	suspected = map[Fingerprint]crashSet{}
	for i, c := range l.crashes {
		bit := crashSet(1) << i
		if c.answered {
			answered |= bit
		}
		for _, request := range c.suspects {
			if s := l.blocks[request]; s != nil && c.at.Before(s.ends()) {
				explained |= bit
				continue
			}
			suspected[request] |= bit
		}
	}
	return suspected, answered, explained
}

// mostLikely returns the request that is to be blocked next.
func (l *Ledger) mostLikely(suspected map[Fingerprint]crashSet, answered, explained crashSet) (likely Fingerprint, found bool) {
	most := 0
	for request, all := range suspected {
		crashes := all &^ explained
		if crashes.count() < most || crashes.count() == most && request > likely {
			continue
		}
		if l.suffices(request, crashes, answered) && !l.ambiguous(request, suspected, explained) {
			likely, most, found = request, crashes.count(), true
		}
	}
	return likely, found
}

// suffices reports whether so many crashes are enough. One is for a request that was
// blocked before.
func (l *Ledger) suffices(request Fingerprint, crashes, answered crashSet) bool {
	if l.blocks[request] != nil {
		return crashes&answered != 0
	}
	return crashes.count() >= crashesToBlock && (crashes&answered).count() >= answeredToBlock
}

// ambiguous reports whether another request ran in all crashes of one. One that was
// blocked before is the more likely cause.
func (l *Ledger) ambiguous(request Fingerprint, suspected map[Fingerprint]crashSet, explained crashSet) bool {
	crashes := suspected[request] &^ explained
	for other, others := range suspected {
		if l.blocks[request] != nil && l.blocks[other] == nil {
			continue
		}
		if other != request && (others &^ explained).holds(crashes) {
			return true
		}
	}
	return false
}

// block keeps a request from targets, from the last of its crashes on.
func (l *Ledger) block(request Fingerprint, crashes crashSet) {
	s := &block{entry: entry{number: l.number + 1}, times: 1}
	if known := l.blocks[request]; known != nil {
		s.times = known.times + 1
	}
	for i, c := range l.crashes {
		if crashes&(1<<i) != 0 && c.at.After(s.at) {
			s.at = c.at
		}
	}
	l.addBlock(request, s)
}
