package proxy

import (
	"net/http"
	"time"

	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/placement"
)

// Weights of the moving averages over requests at the local target.
const (
	holdWeight    = 0.1
	failureWeight = 0.1
)

// localStats holds the observed behavior of the local target: the mean time that requests
// hold a slot, and the fraction of requests that fail. It is guarded by the proxy's
// mutex.
type localStats struct {
	meanHold    time.Duration
	failureRate float64
}

// recordHold updates localStats after a run.
func (p *Proxy) recordHold(held time.Duration, response *exchange.Response, err error) {
	failed := 0.0
	if err != nil || response.Status >= http.StatusInternalServerError {
		failed = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.localStats.failureRate += failureWeight * (failed - p.localStats.failureRate)
	if err != nil {
		return
	}
	if p.localStats.meanHold == 0 {
		p.localStats.meanHold = held
	}
	p.localStats.meanHold += time.Duration(holdWeight * float64(held-p.localStats.meanHold))
}

// loadReport returns the current load of the local target.
func (p *Proxy) loadReport(received time.Time, held time.Duration) loadReport {
	running, waiting := p.gate.Counts()
	report := loadReport{holdTime: held, nodeTime: p.ports.Clock.Now().Sub(received)}
	report.Load = placement.Load{Running: running, Waiting: waiting}
	if snapshot := p.snapshot.Load(); snapshot != nil && snapshot.Local != nil {
		report.Slots = snapshot.Local.Slots
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	report.target = p.localReports.tracker.Current()
	report.Slots = usableSlots(p.startRate, report.Slots, p.localStats.meanHold)
	report.Hold = p.localStats.meanHold
	report.FailureRate = p.localStats.failureRate
	report.LinkRate = p.link.Rate()
	report.LinkWait = p.link.Wait(p.ports.Clock.Now())
	return report
}
