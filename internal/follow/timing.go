package follow

import "time"

// defaultPropagationBound is the propagation bound for which the durations below are given;
// they scale with the configured bound.
const defaultPropagationBound = 2500 * time.Millisecond

// minScale and maxScale limit the scaling. Below minScale, watches would cost several calls
// a second; above maxScale, nothing significant is saved, and departed targets would be
// detected too late.
const (
	minScale = 0.4
	maxScale = 2
)

// timing holds the durations that are derived from the propagation bound.
type timing struct {
	// watchTimeout is the longest duration of one watch. A reader that is silently cut off
	// appears current for at most this time, and each reader makes one call in it.
	watchTimeout time.Duration
	// heartbeatInterval is how often a feed sends the age of its view if there is no
	// change.
	heartbeatInterval time.Duration
	// staleAfter is the age from which a node treats its neighbours' updates as stale: one
	// watch and two heartbeats, without a margin. A change published just before the loss
	// of the readers is then active after four fifths of the bound.
	staleAfter time.Duration
	// orphanedAfter replaces staleAfter if all feeds of a node have broken, as they do at
	// once when processes end, or if a read is known to have failed: two heartbeats.
	orphanedAfter time.Duration
	// farReaderAfter is the age from which a reader far from the platform also reads it,
	// although a nearer one did so before.
	farReaderAfter time.Duration
	// failoverStagger keeps the nodes of a region from failing over all at once.
	failoverStagger time.Duration
	// moreParentsAfter is the age of the view from which a node follows more neighbours. By
	// then the first nodes that can read the platform have failed over.
	moreParentsAfter time.Duration
	// maxReaderBackoff and maxBackoff limit the pause after failed reads. Readers detect
	// the platform's return quickly; the pause of other nodes must not exceed the rest of
	// the bound.
	maxReaderBackoff, maxBackoff time.Duration
	// drainGrace is how long a draining target still receives requests that were already on
	// their way: the rest of the bound if its own node learned of the draining as late as
	// is allowed.
	drainGrace time.Duration
}

// failoverNodes is how many nodes of a region fail over in short succession and retry
// equally often if the readers have no updates. One that succeeds is enough, because the
// others then follow it. Nodes of higher rank wait longer, so that only a few more of them
// call the platform during an outage, however large the region is.
const failoverNodes = fallbackParents

// rankFactor returns the factor by which a node of a rank waits longer than the nodes that
// fail over first.
func rankFactor(rank int) time.Duration {
	if rank < failoverNodes {
		return 1
	}
	return time.Duration(1 + 2*rank/failoverNodes)
}

// failoverDelay returns how far beyond the staleness limit the age of the view must be
// before a node of a rank reads the platform itself.
func (t *timing) failoverDelay(rank int) time.Duration {
	return time.Duration(rank) * t.failoverStagger * rankFactor(rank)
}

// backoffBounds returns the pause of a node of a rank after the first failed read, and the
// longest pause.
func (t *timing) backoffBounds(rank int) (first, most time.Duration) {
	if rank < readers {
		return initialBackoff, t.maxReaderBackoff
	}
	return initialBackoff * rankFactor(rank), t.maxBackoff * rankFactor(rank)
}

// DrainGrace returns how long the node beside a draining target may still send it requests
// that were already on their way, under a propagation bound.
func DrainGrace(bound time.Duration) time.Duration {
	return timingFor(bound).drainGrace
}

// timingFor returns the durations for a propagation bound.
func timingFor(bound time.Duration) timing {
	if bound == 0 {
		bound = defaultPropagationBound
	}
	scale := min(max(float64(bound)/float64(defaultPropagationBound), minScale), maxScale)
	scaled := func(base time.Duration) time.Duration { return time.Duration(scale * float64(base)) }
	return timing{
		watchTimeout:      scaled(time.Second),
		heartbeatInterval: scaled(300 * time.Millisecond),
		staleAfter:        scaled(1600 * time.Millisecond),
		orphanedAfter:     scaled(600 * time.Millisecond),
		farReaderAfter:    scaled(1350 * time.Millisecond),
		failoverStagger:   scaled(60 * time.Millisecond),
		moreParentsAfter:  scaled(1800 * time.Millisecond),
		maxReaderBackoff:  scaled(500 * time.Millisecond),
		maxBackoff:        scaled(time.Second),
		drainGrace:        scaled(500 * time.Millisecond),
	}
}
