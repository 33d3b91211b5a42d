package quarantine

import "math/bits"

const (
	// crashesToSentence is in how many unexplained crashes a request is sentenced.
	crashesToSentence = 3
	// provenToSentence is how many of these must be of targets that had worked before.
	provenToSentence = 2
)

// crashSet holds one bit for each crash of a ledger.
type crashSet uint64

func (s crashSet) count() int { return bits.OnesCount64(uint64(s)) }

func (s crashSet) holds(other crashSet) bool { return s&other == other }

// judge sentences the requests that explain crashes, the one that explains most first. A
// crash that one explains tells nothing of those that ran beside it. Of several requests
// that ran in just the same crashes none is sentenced.
func (l *Ledger) judge() {
	suspected, proven, explained := l.suspicions()
	for {
		worst, found := l.worst(suspected, proven, explained)
		if !found {
			break
		}
		crashes := suspected[worst] &^ explained
		l.sentence(worst, crashes)
		explained |= suspected[worst]
		delete(suspected, worst)
	}
	clear(l.counts)
	for request, crashes := range suspected {
		if count := (crashes &^ explained).count(); count > 0 {
			l.counts[request] = count
		}
	}
}

// suspicions returns the crashes of each suspect without a sentence, those of targets that
// had worked, and those that a sentenced request explains.
func (l *Ledger) suspicions() (suspected map[Fingerprint]crashSet, proven, explained crashSet) {
	suspected = map[Fingerprint]crashSet{}
	for i, c := range l.crashes {
		bit := crashSet(1) << i
		if c.proven {
			proven |= bit
		}
		for _, request := range c.suspects {
			if s := l.sentences[request]; s != nil && c.at.Before(s.ends()) {
				explained |= bit
				continue
			}
			suspected[request] |= bit
		}
	}
	return suspected, proven, explained
}

// worst returns the request that is to be sentenced next.
func (l *Ledger) worst(suspected map[Fingerprint]crashSet, proven, explained crashSet) (worst Fingerprint, found bool) {
	most := 0
	for request, all := range suspected {
		crashes := all &^ explained
		if crashes.count() < most || crashes.count() == most && request > worst {
			continue
		}
		if l.suffices(request, crashes, proven) && !l.ambiguous(request, suspected, explained) {
			worst, most, found = request, crashes.count(), true
		}
	}
	return worst, found
}

// suffices reports whether so many crashes are enough. One is for a request that was
// sentenced before.
func (l *Ledger) suffices(request Fingerprint, crashes, proven crashSet) bool {
	if l.sentences[request] != nil {
		return crashes&proven != 0
	}
	return crashes.count() >= crashesToSentence && (crashes&proven).count() >= provenToSentence
}

// ambiguous reports whether another request ran in all crashes of one. One that was
// sentenced before is the more likely cause.
func (l *Ledger) ambiguous(request Fingerprint, suspected map[Fingerprint]crashSet, explained crashSet) bool {
	crashes := suspected[request] &^ explained
	for other, others := range suspected {
		if l.sentences[request] != nil && l.sentences[other] == nil {
			continue
		}
		if other != request && (others &^ explained).holds(crashes) {
			return true
		}
	}
	return false
}

// sentence keeps a request from targets, from the last of its crashes on.
func (l *Ledger) sentence(request Fingerprint, crashes crashSet) {
	s := &sentence{entry: entry{number: l.number + 1}, times: 1}
	if known := l.sentences[request]; known != nil {
		s.times = known.times + 1
	}
	for i, c := range l.crashes {
		if crashes&(1<<i) != 0 && c.at.After(s.at) {
			s.at = c.at
		}
	}
	l.addSentence(request, s)
}
