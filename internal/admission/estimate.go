package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// holdWeight is the weight of a new sample in the moving average.
	holdWeight = 0.1
	// maxHoldRatio bounds a sample to a multiple of the mean. Without the bound, one
	// request that hung would cause waiting requests to be refused; a real slowdown
	// still shows within a few samples.
	maxHoldRatio = 8
	// minUsableSlots is the number of slots assumed, when a wait is estimated, for a
	// customer without a share that holds no slot.
	minUsableSlots = 0.05
	// defaultHold is used until a hold time has been measured.
	defaultHold = time.Second
	// minRetryAfter and maxRetryAfter bound the retry times of refused callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// minJitter and jitterRange spread the retries: each caller retries after 0.75 to
	// 1.25 times the computed time.
	minJitter   = 0.75
	jitterRange = 0.5
)

// meanHold is the moving average of slot hold times, in seconds; zero until the first
// measurement.
type meanHold float64

func (m *meanHold) add(hold time.Duration) {
	seconds := max(hold.Seconds(), 0)
	if *m == 0 {
		*m = meanHold(seconds)
		return
	}
	seconds = min(seconds, maxHoldRatio*float64(*m))
	*m += meanHold(holdWeight * (seconds - float64(*m)))
}

// holdOf returns the customer's mean hold time in seconds, zero if unknown. A customer
// that holds no slot may have an outdated mean that nothing would correct, so the
// target's mean, which other customers keep current, is used instead.
func (q *Queue) holdOf(c *customer, long bool) float64 {
	customerMean := c.shortHold
	targetMean := q.shortHold
	held := c.held - c.heldLong
	if long {
		customerMean = c.longHold
		targetMean = q.longHold
		held = c.heldLong
	}
	if held > 0 && customerMean > 0 {
		return float64(customerMean)
	}
	return float64(targetMean)
}

// usableSlots returns how many slots the customer can use for long or for short
// requests: those that it holds or, if more, those that it is guaranteed.
func (c *customer) usableSlots(long bool) float64 {
	usable := max(c.guaranteed, float64(c.held))
	if long {
		usable = min(usable, float64(max(c.heldLong, 1)))
	} else {
		usable -= float64(c.heldLong)
	}
	return max(usable, min(c.guaranteed, 1), minUsableSlots)
}

// estimateWait estimates when a request starts if the given number of requests of its
// customer are ahead of it, from the measured rate at which slots become free; zero if
// nothing has been measured. A customer below its guarantee gets the next slots that
// anyone frees. Other customers get slots at the rate at which their own become free. The
// start rate may delay the start further, and the target may be slower now than on average.
func (q *Queue) estimateWait(now time.Time, c *customer, ahead int, long bool) time.Duration {
	needed := float64(ahead + 1)
	perSlot := q.holdOf(c, long) / c.usableSlots(long)
	if lacking := c.guaranteed - float64(c.held); lacking > 0 && needed <= math.Ceil(lacking) {
		needed += float64(q.tiers.heaps[heapGuaranteed].Len())
		perSlot = q.meanRunningHold() / float64(max(q.running, 1))
	}
	return max(secondsToDuration(needed*perSlot*q.pace.slowdown(now)), q.starts.wait(now, ahead))
}

// meanRunningHold returns the mean hold time of the requests that run now, in seconds.
func (q *Queue) meanRunningHold() float64 {
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
	// Slots become free at the sum of the two rates.
	rate := (1-long)/float64(q.shortHold) + long/float64(q.longHold)
	return 1 / rate
}

func secondsToDuration(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()*100) * float64(time.Second))
}

// retryAfter returns when a refused caller should retry. Each refusal reserves the next
// time at which one of the customer's slots is likely to become free, so that callers
// that were refused together don't retry together.
func (q *Queue) retryAfter(now time.Time, c *customer, long bool) time.Duration {
	interval := q.retryInterval(now, c, long)
	earliest := now.Add(interval)
	if c.lastRetryAt.Before(earliest) {
		c.lastRetryAt = earliest
	} else {
		c.lastRetryAt = c.lastRetryAt.Add(interval)
	}
	if latest := now.Add(maxRetryAfter); c.lastRetryAt.After(latest) {
		c.lastRetryAt = latest
	}
	return jitter(c.lastRetryAt.Sub(now), q.random)
}

// retryInterval returns the mean time between two of the customer's slots becoming free, or
// between two starts if the start rate allows fewer.
func (q *Queue) retryInterval(now time.Time, c *customer, long bool) time.Duration {
	hold := q.holdOf(c, long)
	if hold == 0 {
		hold = defaultHold.Seconds()
	}
	interval := secondsToDuration(hold / c.usableSlots(long) * q.pace.slowdown(now))
	if q.starts.limited() {
		interval = max(interval, q.starts.interval())
	}
	return min(interval, maxRetryAfter)
}

func jitter(d time.Duration, random *rand.Rand) time.Duration {
	factor := minJitter + jitterRange*random.Float64()
	return max(time.Duration(float64(d)*factor), minRetryAfter)
}

// RetryAfter returns when the caller of a request that gave up waiting should retry. It
// returns zero if the customer has no grant, since a retry won't help.
func (q *Queue) RetryAfter(now time.Time, r Request) time.Duration {
	c := q.customers[r.Customer]
	if c == nil || !c.granted {
		return 0
	}
	return q.retryAfter(now, c, r.Long)
}
