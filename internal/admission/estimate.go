package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// holdWeight is the part that the newest hold has in the mean.
	holdWeight = 0.1
	// holdOutlier bounds a sample to this many times the mean: a request that
	// hung would otherwise shut out those that wait, while a true slowdown
	// still shows within a few samples.
	holdOutlier = 8
	// leastSlots is what a customer with no share and no slot is thought to
	// get when its wait is estimated.
	leastSlots = 0.05
	// unknownHold stands in until a hold has been measured.
	unknownHold = time.Second
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// jitterLow and jitterWidth spread the callers' return: each comes back at
	// 0.75 to 1.25 times the computed time.
	jitterLow   = 0.75
	jitterWidth = 0.5
)

// meanHold is the moving average of how long slots were held, in seconds; zero
// until the first measurement.
type meanHold float64

func (m *meanHold) add(hold time.Duration) {
	seconds := max(hold.Seconds(), 0)
	if *m == 0 {
		*m = meanHold(seconds)
		return
	}
	seconds = min(seconds, holdOutlier*float64(*m))
	*m += meanHold(holdWeight * (seconds - float64(*m)))
}

// holdOf returns the customer's mean hold in seconds, zero when unknown. A
// customer that holds nothing may have an old mean that nothing corrects, so
// the target's mean, which others keep fresh, is taken for it.
func (q *Queue) holdOf(c *customer, long bool) float64 {
	own := c.shortHold
	target := q.shortHold
	held := c.held - c.heldLong
	if long {
		own = c.longHold
		target = q.longHold
		held = c.heldLong
	}
	if held > 0 && own > 0 {
		return float64(own)
	}
	return float64(target)
}

// slotsOf is how many slots the customer can count on for requests of a length:
// what it holds or, if that is more, what it is guaranteed.
func (c *customer) slotsOf(long bool) float64 {
	usable := max(c.guaranteed, float64(c.held))
	if long {
		usable = min(usable, float64(max(c.heldLong, 1)))
	} else {
		usable -= float64(c.heldLong)
	}
	return max(usable, min(c.guaranteed, 1), leastSlots)
}

// wait estimates when a request with so many others of its customer ahead would
// start, from the measured rate at which slots free up; zero when nothing was
// measured. A customer below its guarantee gets the next slots that anyone
// frees, others get slots at the rate at which their own are freed.
func (q *Queue) wait(c *customer, ahead int, long bool) time.Duration {
	needed := float64(ahead + 1)
	perSlot := q.holdOf(c, long) / c.slotsOf(long)
	if lacking := c.guaranteed - float64(c.held); lacking > 0 && needed <= math.Ceil(lacking) {
		needed += float64(q.tiers.heaps[heapBelow].Len())
		perSlot = q.anyHold() / float64(max(q.running, 1))
	}
	return seconds(needed * perSlot)
}

// anyHold is the mean hold of the requests that run now, in seconds.
func (q *Queue) anyHold() float64 {
	if q.running == 0 {
		return float64(q.shortHold)
	}
	long := float64(q.runningLong) / float64(q.running)
	if q.longHold == 0 || q.runningLong == q.running && q.shortHold == 0 {
		return float64(max(q.shortHold, q.longHold))
	}
	if q.shortHold == 0 {
		return float64(q.longHold)
	}
	// Slots are freed at the sum of the two rates.
	rate := (1-long)/float64(q.shortHold) + long/float64(q.longHold)
	return 1 / rate
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()*100) * float64(time.Second))
}

// retryAfter tells a refused caller when to come back. Each refusal books the
// next moment at which the customer's slots are likely to free up, so that
// callers who were refused together don't return together.
func (q *Queue) retryAfter(now time.Time, c *customer, long bool) time.Duration {
	interval := q.returnInterval(c, long)
	earliest := now.Add(interval)
	if c.nextReturn.Before(earliest) {
		c.nextReturn = earliest
	} else {
		c.nextReturn = c.nextReturn.Add(interval)
	}
	if latest := now.Add(maxRetryAfter); c.nextReturn.After(latest) {
		c.nextReturn = latest
	}
	return jitter(c.nextReturn.Sub(now), q.random)
}

// returnInterval is the mean time between two of the customer's slots.
func (q *Queue) returnInterval(c *customer, long bool) time.Duration {
	hold := q.holdOf(c, long)
	if hold == 0 {
		hold = unknownHold.Seconds()
	}
	return min(seconds(hold/c.slotsOf(long)), maxRetryAfter)
}

func jitter(d time.Duration, random *rand.Rand) time.Duration {
	factor := jitterLow + jitterWidth*random.Float64()
	return max(time.Duration(float64(d)*factor), minRetryAfter)
}

// RetryAfter tells the caller of a request that gave up waiting when to come
// back; zero when its customer has no grant, since coming back won't help.
func (q *Queue) RetryAfter(now time.Time, r Request) time.Duration {
	c := q.customers[r.Customer]
	if c == nil || !c.granted {
		return 0
	}
	return q.retryAfter(now, c, r.Long)
}
