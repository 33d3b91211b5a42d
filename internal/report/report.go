// Package report holds the results of load runs and renders them as text, JSON and an
// SVG plot.
package report

import (
	"encoding/json"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the results of one invocation of tamarackload.
type Report struct {
	// Command is the command line of the invocation.
	Command string    `json:"command"`
	Time    time.Time `json:"time"`
	Runs    []Run     `json:"runs"`
	// Ratios compare the runs of a pair, round by round.
	Ratios []Ratio `json:"ratios,omitempty"`
}

// Run is the result of one run.
type Run struct {
	Name string `json:"name"`
	// Rate is the scheduled rate in calls per second.
	Rate float64 `json:"rate"`
	// Seconds is the measured duration, without the warm-up.
	Seconds float64 `json:"seconds"`
	Seed    uint64  `json:"seed"`
	Kinds   []Kind  `json:"kinds"`
	// Lateness is how long after their scheduled time calls were sent. It is the
	// inaccuracy of the load generator, not of the system under load.
	Lateness Quantiles `json:"lateness"`
}

// Kind is the result of one kind of request.
type Kind struct {
	Name  string `json:"name"`
	Calls int    `json:"calls"`
	// Outcomes counts the calls by outcome.
	Outcomes map[string]int `json:"outcomes"`
	// Latency is that of answered calls, from the scheduled time to the last byte.
	Latency Quantiles `json:"waits"`
	Curve   []Point   `json:"curve"`
}

// Quantiles holds the number of values and their quantiles in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Point is one point of a quantile curve.
type Point struct {
	// Quantile is from 0 to 1, and MS the value at it in milliseconds.
	Quantile float64 `json:"quantile"`
	MS       float64 `json:"ms"`
}

// The quantiles, in percent.
const (
	p50  = 50
	p90  = 90
	p99  = 99
	p999 = 99.9
)

// microsPerMS is the number of microseconds in a millisecond.
const microsPerMS = 1000

// QuantilesOf returns the quantiles of a histogram of microseconds.
func QuantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / microsPerMS }
	return Quantiles{Count: histogram.TotalCount(), P50: at(p50), P90: at(p90), P99: at(p99), P999: at(p999),
		Max: float64(histogram.Max()) / microsPerMS}
}

// CurveOf returns the quantile curve of a histogram of microseconds for a plot.
func CurveOf(histogram *hdrhistogram.Histogram) []Point {
	var curve []Point
	for _, bracket := range histogram.CumulativeDistribution() {
		curve = append(curve, Point{Quantile: bracket.Quantile, MS: float64(bracket.ValueAt) / microsPerMS})
	}
	return curve
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
