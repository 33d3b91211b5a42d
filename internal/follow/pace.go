package follow

import "time"

// usualInForce is the bound for changes to which the times below belong; they scale with
// the bound in force.
const usualInForce = 2500 * time.Millisecond

// leastScale and mostScale bound how far the times follow another bound: below, a
// watch would cost several calls a second; above, nothing is saved any more that
// counts, and a departed target would be known too late.
const (
	leastScale = 0.4
	mostScale  = 2
)

// pace holds the times that follow from how soon a change must be in force.
type pace struct {
	// watchWait is how long one watch waits. It is the longest time in which a
	// reader that is silently cut off still seems current, and one call in that
	// time for each reader.
	watchWait time.Duration
	// beat is how often a feed tells its age without a change.
	beat time.Duration
	// staleAfter is the age from which a node doesn't trust its neighbours' word: a
	// watch, two beats and nothing else. What was published just before is then in
	// force four fifths into the bound.
	staleAfter time.Duration
	// orphanedAfter is the same for a node whose feeds have all broken, as they do at
	// once when processes end, and for one that knows of a failed read: two beats.
	orphanedAfter time.Duration
	// fartherAfter is the age from which a reader far from the platform reads as
	// well, though a nearer one did until then.
	fartherAfter time.Duration
	// stepInGap keeps the nodes of a region from stepping in all at once.
	stepInGap time.Duration
	// moreParentsAfter is the age of a view from which a node follows more
	// neighbours: by then the first nodes that can read have stepped in.
	moreParentsAfter time.Duration
	// retryMostReader and retryMost bound the pause after failed reads. Readers
	// notice the platform's return soon; the others must not be in a pause that is
	// longer than what is left of the bound.
	retryMostReader, retryMost time.Duration
	// drainWork is for how long a draining target gets work that was on its way: what
	// is left of the bound when its own node learned of it as late as any may.
	drainWork time.Duration
}

// firstToStepIn is how many nodes of a region step in one soon after another, and try as
// often, where the readers have no updates. One of them finds out for all, who follow them
// then; of those behind only a few more try in an outage, however large the region is.
const firstToStepIn = staleParents

// crowd is by how much a node of a rank holds back beside those that step in first.
func crowd(rank int) time.Duration {
	if rank < firstToStepIn {
		return 1
	}
	return time.Duration(1 + 2*rank/firstToStepIn)
}

// stepInAfter is how much older than stale the view of a node of a rank gets before it
// reads the platform itself.
func (p *pace) stepInAfter(rank int) time.Duration {
	return time.Duration(rank) * p.stepInGap * crowd(rank)
}

// retryPauses returns the pause of a node of a rank after a first failed read and the
// longest one.
func (p *pace) retryPauses(rank int) (first, most time.Duration) {
	if rank < readers {
		return retryFirst, p.retryMostReader
	}
	return retryFirst * crowd(rank), p.retryMost * crowd(rank)
}

// DrainWork is for how long after a target drains its own node may still give it work
// that was on its way, where changes must be in force within a time.
func DrainGrace(inForceWithin time.Duration) time.Duration { return paceFor(inForceWithin).drainWork }

// paceFor returns the times for a bound.
func paceFor(within time.Duration) pace {
	if within == 0 {
		within = usualInForce
	}
	scale := min(max(float64(within)/float64(usualInForce), leastScale), mostScale)
	scaled := func(usual time.Duration) time.Duration { return time.Duration(scale * float64(usual)) }
	return pace{
		watchWait:        scaled(time.Second),
		beat:             scaled(300 * time.Millisecond),
		staleAfter:       scaled(1600 * time.Millisecond),
		orphanedAfter:    scaled(600 * time.Millisecond),
		fartherAfter:     scaled(1350 * time.Millisecond),
		stepInGap:        scaled(60 * time.Millisecond),
		moreParentsAfter: scaled(1800 * time.Millisecond),
		retryMostReader:  scaled(500 * time.Millisecond),
		retryMost:        scaled(time.Second),
		drainWork:        scaled(500 * time.Millisecond),
	}
}
