package proxy

import (
	"net/http"
	"time"

	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/targetspeed"
)

// Weights of the moving averages over requests at the local target.
const (
	holdWeight    = 0.1
	failureWeight = 0.1
)

// localStats holds the observed behavior of the local target: the mean time that requests
// hold a slot at its mean speed, and the fraction of requests that fail. It is guarded by the proxy's
// mutex.
type localStats struct {
	meanHold    time.Duration
	failureRate float64
}

// recordHold updates localStats after a run, and returns how long the run would have taken at the
// target's mean speed. slowdown is that at its start. The slowdown of the moment is sent apart from
// the mean hold time, so it must not be part of that.
func (p *Proxy) recordHold(began time.Time, slowdown float64, response *exchange.Response, err error) time.Duration {
	now := p.ports.Clock.Now()
	failed := 0.0
	if err != nil || response.Status >= http.StatusInternalServerError {
		failed = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	held := targetspeed.AtMeanSpeed(now.Sub(began), slowdown, p.localReports.speed.Speed(now).At(0))
	p.localStats.failureRate += failureWeight * (failed - p.localStats.failureRate)
	if err != nil {
		return held
	}
	if p.localStats.meanHold == 0 {
		p.localStats.meanHold = held
	}
	p.localStats.meanHold += time.Duration(holdWeight * float64(held-p.localStats.meanHold))
	return held
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
	now := p.ports.Clock.Now()
	report.LinkWait = p.link.Wait(now)
	speed := p.localReports.speed.Speed(now)
	report.Slowdown, report.SlowdownAge, report.SlowdownPersistence = speed.Slowdown, speed.Age, speed.Persistence
	return report
}
