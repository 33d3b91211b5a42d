package retry

import "time"

// windowSlots is how many slots a window is counted in.
const windowSlots = 10

// DefaultSpan is the length of a window where the settings name none.
const DefaultWindow = 10 * time.Second

// window counts what came in one span of time. Unlike a token bucket it forgets
// nothing within the span, so a bound on it holds for each span of that length
// wherever it begins.
type window struct {
	span time.Duration
	// origin is the first moment seen. Slots are counted from it, since the time
	// of day may be stepped, and a step would forget what was used up.
	origin time.Time
	slots  [windowSlots + 1]slot
}

// slot counts what came in one part of the window; slots are numbered from 1.
type slot struct {
	at       int64
	requests int
	// repeats are further attempts, and the parts of calls that repeated runs made.
	repeats float64
}

func newWindow(span time.Duration) *window { return &window{span: span} }

func (w *window) slot(now time.Time) *slot {
	if w.origin.IsZero() {
		w.origin = now
	}
	at := int64(now.Sub(w.origin)*windowSlots/w.span) + 1
	s := &w.slots[at%int64(len(w.slots))]
	if s.at != at {
		*s = slot{at: at}
	}
	return s
}

// sum adds up the window. Requests of the running slot may be in the window and
// those of the oldest may not, so the oldest count only against the budget.
func (w *window) sum(now time.Time) slot {
	current := w.slot(now)
	var total slot
	for i := range w.slots {
		s := &w.slots[i]
		age := current.at - s.at
		if s.at == 0 || age > windowSlots {
			continue
		}
		total.repeats += s.repeats
		if age < windowSlots {
			total.requests += s.requests
		}
	}
	return total
}
