package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackquay/internal/report"
)

// Histograms range from 1 microsecond to 10 minutes, with three significant digits.
const (
	lowestMicros      = 1
	highestMicros     = int64(MaxDuration / time.Microsecond)
	significantDigits = 3
)

// recorder collects the outcomes and latencies of calls. It is safe for concurrent
// use.
type recorder struct {
	mu       sync.Mutex
	kinds    map[Kind]*kindStats
	lateness *hdrhistogram.Histogram
}

type kindStats struct {
	outcomes  map[Outcome]int
	latencies *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func newRecorder() *recorder {
	return &recorder{kinds: map[Kind]*kindStats{}, lateness: newHistogram()}
}

// add records a completed call. Latency is recorded for answered calls only, because
// it is meaningless for others.
func (r *recorder) add(kind Kind, outcome Outcome, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.kinds[kind]
	if stats == nil {
		stats = &kindStats{outcomes: map[Outcome]int{}, latencies: newHistogram()}
		r.kinds[kind] = stats
	}
	stats.outcomes[outcome]++
	if outcome == Answered {
		record(stats.latencies, took)
	}
}

// addDelay records how long after its scheduled time a call was sent.
func (r *recorder) addDelay(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.lateness, by)
}

func record(histogram *hdrhistogram.Histogram, took time.Duration) {
	micros := min(max(took.Microseconds(), lowestMicros), highestMicros)
	// The value is within the histogram's range, so recording can't fail.
	_ = histogram.RecordValue(micros)
}

// result returns the results recorded so far.
func (r *recorder) result() report.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := report.Run{Lateness: report.QuantilesOf(r.lateness)}
	for _, kind := range Kinds {
		stats := r.kinds[kind]
		if stats == nil {
			continue
		}
		line := report.Kind{Name: string(kind), Outcomes: map[string]int{}, Latency: report.QuantilesOf(stats.latencies),
			Curve: report.CurveOf(stats.latencies)}
		for outcome, n := range stats.outcomes {
			line.Calls += n
			line.Outcomes[string(outcome)] = n
		}
		run.Kinds = append(run.Kinds, line)
	}
	return run
}
