package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%s\n", r.Command)
	for i := range r.Runs {
		r.Runs[i].text(w)
	}
	for _, ratio := range r.Ratios {
		fmt.Fprintln(w, ratio)
	}
}

func (r *Run) text(w io.Writer) {
	fmt.Fprintf(w, "%s: %g calls/s for %g s, seed %d; sent late by p50 %.3f ms, p99 %.3f ms\n",
		r.Name, r.Rate, r.Seconds, r.Seed, r.Lateness.P50, r.Lateness.P99)
	for _, kind := range r.Kinds {
		latency := kind.Latency
		fmt.Fprintf(w, "  %-8s %7d calls  p50 %8.3f  p90 %8.3f  p99 %8.3f  p99.9 %8.3f  max %8.3f ms  %s\n",
			kind.Name, kind.Calls, latency.P50, latency.P90, latency.P99, latency.P999, latency.Max, outcomesText(kind.Outcomes))
	}
}

func outcomesText(outcomes map[string]int) string {
	var parts []string
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		parts = append(parts, fmt.Sprintf("%s=%d", outcome, outcomes[outcome]))
	}
	return strings.Join(parts, " ")
}
