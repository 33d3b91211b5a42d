package admission

import "time"

// StartRate limits how fast requests are started, independently of the slots. A target that
// warms up tolerates fewer requests per second than its slots allow. The zero value means no
// limit.
type StartRate struct {
	// PerSecond is the rate at which requests may start; Burst is how many may start at
	// once after a pause. In any span of s seconds, at most Burst + s * PerSecond start.
	PerSecond float64
	Burst     int
}

// startLimiter applies a StartRate by the generic cell rate algorithm.
type startLimiter struct {
	rate StartRate
	// due is when the next start would be on schedule at the even rate.
	due time.Time
	// lastStart is the time of the last start, limited or not.
	lastStart time.Time
}

func (l *startLimiter) limited() bool { return l.rate.PerSecond > 0 }

// interval returns the time between two starts at the even rate.
func (l *startLimiter) interval() time.Duration {
	return time.Duration(float64(time.Second) / l.rate.PerSecond)
}

// wait returns the time until a request may start if the given number of others start before
// it.
func (l *startLimiter) wait(now time.Time, ahead int) time.Duration {
	if !l.limited() {
		return 0
	}
	due := l.due
	if due.Before(now) {
		due = now
	}
	early := time.Duration(l.rate.Burst-1) * l.interval()
	return max(0, due.Add(time.Duration(ahead)*l.interval()-early).Sub(now))
}

// setRate replaces the rate. Earlier starts still count: a rate that changes with each response of
// a target would otherwise limit nothing. Starts before a limit began were not counted and are
// taken for a full burst.
func (l *startLimiter) setRate(now time.Time, rate StartRate) {
	previous := *l
	l.rate = rate
	switch {
	case !l.limited():
	case previous.limited():
		ahead := max(0, previous.due.Sub(now))
		starts := ahead.Seconds() * previous.rate.PerSecond
		l.due = now.Add(time.Duration(starts * float64(l.interval())))
	case !previous.lastStart.IsZero():
		l.due = previous.lastStart.Add(time.Duration(rate.Burst) * l.interval())
	}
}

// record counts a start.
func (l *startLimiter) record(now time.Time) {
	l.lastStart = now
	if !l.limited() {
		return
	}
	if l.due.Before(now) {
		l.due = now
	}
	l.due = l.due.Add(l.interval())
}

// SetStartRate replaces the start rate. A higher rate may start waiting requests.
func (q *Queue) SetStartRate(now time.Time, rate StartRate) Changes {
	q.begin(now)
	if q.starts.rate != rate {
		q.starts.setRate(now, rate)
	}
	q.startWaiting(now)
	return q.changes
}

// UntilStart returns the time until a waiting request may start because of the start rate
// alone. It is zero if none waits for that.
func (q *Queue) UntilStart(now time.Time) time.Duration {
	if q.waiting == 0 || q.running >= q.slots {
		return 0
	}
	return q.starts.wait(now, 0)
}
