// Package metrics holds the node's metrics and writes them in the Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"tamarackquay/internal/port"
)

// labelName is the name of the only label, by which the series of a metric differ.
const labelName = "by"

// Meter records metrics. It implements port.Meter.
type Meter struct{ set *vm.Set }

var _ port.Meter = (*Meter)(nil)

// New returns a meter without series.
func New() *Meter { return &Meter{set: vm.NewSet()} }

// Count implements port.Meter.
func (m *Meter) Count(metric port.Metric, label string, n int) {
	m.set.GetOrCreateCounter(series(metric, label)).Add(n)
}

// Set implements port.Meter.
func (m *Meter) Set(metric port.Metric, label string, value float64) {
	m.set.GetOrCreateGauge(series(metric, label), nil).Set(value)
}

// Observe implements port.Meter.
func (m *Meter) Observe(metric port.Metric, label string, duration time.Duration) {
	m.set.GetOrCreateHistogram(series(metric, label)).Update(duration.Seconds())
}

func series(metric port.Metric, label string) string {
	if label == "" {
		return string(metric)
	}
	return fmt.Sprintf("%s{%s=%q}", metric, labelName, label)
}

// Write writes all series, and those of the Go runtime and the process.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	vm.WriteProcessMetrics(w)
}
