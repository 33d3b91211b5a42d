package report

import (
	"fmt"
	"slices"
)

// Ratio compares one quantile of a kind between the two sides of a paired run. On a
// busy machine the ratio of alternating runs varies less than the results of each.
type Ratio struct {
	Kind     string    `json:"kind"`
	Quantile string    `json:"quantile"`
	Rounds   []float64 `json:"rounds"`
	// Median is the median over the rounds of B divided by A.
	Median float64 `json:"median"`
	// AddedMS is the median over the rounds of B minus A, in milliseconds.
	AddedMS float64 `json:"added_ms"`
}

// String returns the ratio as one line.
func (r Ratio) String() string {
	return fmt.Sprintf("%s %s: B/A median %.3f, rounds %.3f; B-A median %+.3f ms", r.Kind, r.Quantile, r.Median, r.Rounds, r.AddedMS)
}

// Ratios compares runs that alternate A, B, A, B.
func Ratios(runs []Run) []Ratio {
	var ratios []Ratio
	if len(runs) == 0 {
		return nil
	}
	for _, kind := range runs[0].Kinds {
		for _, quantile := range []struct {
			name string
			of   func(Quantiles) float64
		}{
			{"p50", func(q Quantiles) float64 { return q.P50 }},
			{"p99", func(q Quantiles) float64 { return q.P99 }},
		} {
			ratio := Ratio{Kind: kind.Name, Quantile: quantile.name}
			var added []float64
			for i := 0; i+1 < len(runs); i += 2 {
				a, b := quantile.of(runs[i].latencyOf(kind.Name)), quantile.of(runs[i+1].latencyOf(kind.Name))
				if a > 0 && b > 0 {
					ratio.Rounds = append(ratio.Rounds, b/a)
					added = append(added, b-a)
				}
			}
			if len(ratio.Rounds) > 0 {
				ratio.Median = median(ratio.Rounds)
				ratio.AddedMS = median(added)
				ratios = append(ratios, ratio)
			}
		}
	}
	return ratios
}

func (r *Run) latencyOf(kind string) Quantiles {
	for _, k := range r.Kinds {
		if k.Name == kind {
			return k.Latency
		}
	}
	return Quantiles{}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
