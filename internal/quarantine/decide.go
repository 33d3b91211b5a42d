package quarantine

import "math/bits"

const (
	// minCrashes is the number of unexplained crashes after which a request is blocked.
	minCrashes = 3
	// minAnsweredCrashes is how many of these must be crashes of targets that had
	// answered requests since their start.
	minAnsweredCrashes = 2
)

// crashSet has one bit for each crash in a ledger.
type crashSet uint64

func (s crashSet) count() int { return bits.OnesCount64(uint64(s)) }

func (s crashSet) contains(other crashSet) bool { return s&other == other }

// decide blocks the requests that explain crashes, beginning with the one that explains
// most. A crash explained by one request is no evidence against those that ran at the
// same time. If several requests ran in exactly the same crashes, none is blocked.
func (l *Ledger) decide() {
	suspected, answered, explained := l.suspects()
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
	clear(l.unexplainedCounts)
	for request, crashes := range suspected {
		if count := (crashes &^ explained).count(); count > 0 {
			l.unexplainedCounts[request] = count
		}
	}
}

// suspects returns the crashes of each suspect that isn't blocked, the crashes of
// targets that had answered requests, and the crashes that a blocked request explains.
func (l *Ledger) suspects() (suspected map[Fingerprint]crashSet, answered, explained crashSet) {
	suspected = map[Fingerprint]crashSet{}
	for i, c := range l.crashes {
		bit := crashSet(1) << i
		if c.answered {
			answered |= bit
		}
		for _, request := range c.suspects {
			if b := l.blocks[request]; b != nil && c.at.Before(b.end()) {
				explained |= bit
				continue
			}
			suspected[request] |= bit
		}
	}
	return suspected, answered, explained
}

// mostLikely returns the request to block next, if any.
func (l *Ledger) mostLikely(suspected map[Fingerprint]crashSet, answered, explained crashSet) (likely Fingerprint, found bool) {
	most := 0
	for request, all := range suspected {
		crashes := all &^ explained
		if crashes.count() < most || crashes.count() == most && request > likely {
			continue
		}
		if l.enoughCrashes(request, crashes, answered) && !l.ambiguous(request, suspected, explained) {
			likely, most, found = request, crashes.count(), true
		}
	}
	return likely, found
}

// enoughCrashes reports whether the crashes suffice to block the request. For a request
// that was blocked before, one crash of a target that had answered requests is enough.
func (l *Ledger) enoughCrashes(request Fingerprint, crashes, answered crashSet) bool {
	if l.blocks[request] != nil {
		return crashes&answered != 0
	}
	return crashes.count() >= minCrashes && (crashes&answered).count() >= minAnsweredCrashes
}

// ambiguous reports whether another request ran in all crashes of the given one. A
// request that was blocked before is the more likely cause.
func (l *Ledger) ambiguous(request Fingerprint, suspected map[Fingerprint]crashSet, explained crashSet) bool {
	crashes := suspected[request] &^ explained
	for other, others := range suspected {
		if l.blocks[request] != nil && l.blocks[other] == nil {
			continue
		}
		if other != request && (others &^ explained).contains(crashes) {
			return true
		}
	}
	return false
}

// block blocks a request. The block begins at the last of its crashes.
func (l *Ledger) block(request Fingerprint, crashes crashSet) {
	b := &block{entry: entry{number: l.number + 1}, times: 1}
	if known := l.blocks[request]; known != nil {
		b.times = known.times + 1
	}
	for i, c := range l.crashes {
		if crashes&(1<<i) != 0 && c.at.After(b.at) {
			b.at = c.at
		}
	}
	l.addBlock(request, b)
}
