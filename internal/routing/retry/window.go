package retry

import "time"

// windowSpan is the length of the window in whole seconds, and how many slots it
// is counted in.
const windowSpan = 10

// Window is a node's part of a budget that the whole fleet keeps without talking
// about it: over any window, repeats may be at most a ratio of the requests of
// the same window, and a few besides. The ratios of all nodes add up, since each
// counts only its own requests; the few are divided among the nodes. Unlike a
// token bucket it forgets nothing within the window, so the bound holds for each
// span of that length wherever it begins. It is not safe for concurrent use.
type Window struct {
	// origin is the first moment seen. Seconds are counted from it, since the time
	// of day may be stepped, and a step would forget what was used up.
	origin  time.Time
	seconds [windowSpan + 1]second
}

// second counts what came in one second of the window, which are numbered from 1.
type second struct {
	at       int64
	requests int
	repeats  int
}

func (w *Window) slot(now time.Time) *second {
	if w.origin.IsZero() {
		w.origin = now
	}
	at := int64(now.Sub(w.origin)/time.Second) + 1
	s := &w.seconds[at%int64(len(w.seconds))]
	if s.at != at {
		*s = second{at: at}
	}
	return s
}

// Request counts a request's first attempt.
func (w *Window) Request(now time.Time) { w.slot(now).requests++ }

// Repeat counts a further attempt, or reports false when the terms don't allow
// one. Requests of the running second may be in the window and those of the
// oldest may not, so the oldest count only against the budget.
func (w *Window) Repeat(now time.Time, ratio, few float64) bool {
	current := w.slot(now)
	requests, repeats := 0, 0
	for i := range w.seconds {
		s := &w.seconds[i]
		age := current.at - s.at
		if s.at == 0 || age > windowSpan {
			continue
		}
		repeats += s.repeats
		if age < windowSpan {
			requests += s.requests
		}
	}
	if float64(repeats+1) > ratio*float64(requests)+few {
		return false
	}
	current.repeats++
	return true
}
