package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackquay/internal/report"
)

// Histograms hold 1 microsecond to 10 minutes at three significant digits.
const (
	lowestMicros  = 1
	highestMicros = int64(MaxDuration / time.Microsecond)
	digits        = 3
)

// recorder keeps what came of calls. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	kinds    map[Kind]*tally
	lateness *hdrhistogram.Histogram
}

type tally struct {
	outcomes map[Outcome]int
	answered *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

func newRecorder() *recorder {
	return &recorder{kinds: map[Kind]*tally{}, lateness: newHistogram()}
}

// add notes a call that is over; only answered calls have a wait that means
// something.
func (r *recorder) add(kind Kind, outcome Outcome, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	of := r.kinds[kind]
	if of == nil {
		of = &tally{outcomes: map[Outcome]int{}, answered: newHistogram()}
		r.kinds[kind] = of
	}
	of.outcomes[outcome]++
	if outcome == Answered {
		record(of.answered, took)
	}
}

// late notes how long after its intended time a call was sent.
func (r *recorder) late(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.lateness, by)
}

func record(histogram *hdrhistogram.Histogram, took time.Duration) {
	micros := min(max(took.Microseconds(), lowestMicros), highestMicros)
	// The value is within the histogram's bounds, so recording can't fail.
	_ = histogram.RecordValue(micros)
}

// result renders everything noted so far.
func (r *recorder) result() report.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := report.Run{Lateness: report.QuantilesOf(r.lateness)}
	for _, kind := range Kinds {
		of := r.kinds[kind]
		if of == nil {
			continue
		}
		line := report.Kind{Name: string(kind), Outcomes: map[string]int{}, Latency: report.QuantilesOf(of.answered),
			Curve: report.CurveOf(of.answered)}
		for outcome, n := range of.outcomes {
			line.Calls += n
			line.Outcomes[string(outcome)] = n
		}
		run.Kinds = append(run.Kinds, line)
	}
	return run
}
