package proxy

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/port"
	"tamarackquay/internal/targetreport"
	"tamarackquay/internal/targetspeed"
)

// targetInstance identifies one start of a target.
type targetInstance struct {
	id      string
	started int64
}

// localReports holds what the local target has reported in its responses. It is guarded by the
// proxy's mutex.
type localReports struct {
	instance targetInstance
	tracker  targetreport.Tracker
	// speed holds the work factors. restartedAt is when the node learned that the target has
	// restarted.
	speed       targetspeed.Tracker
	restartedAt time.Time
}

// resetReports forgets the reports of an earlier start of the local target. It must be called with
// the mutex held.
func (p *Proxy) resetReports(instance targetInstance) {
	if p.localReports.instance == instance {
		return
	}
	p.localReports = localReports{instance: instance}
	p.forgetTargetSpeed(p.ports.Clock.Now())
}

// recordTargetReport records what a response of the local target reports, and returns the load in
// it. sent is when its request was sent.
func (p *Proxy) recordTargetReport(sent time.Time, response *exchange.Response) targetreport.Load {
	if response.Status == http.StatusMisdirectedRequest {
		return targetreport.Load{}
	}
	now := p.ports.Clock.Now()
	p.unknownHeaders.log(p, response.Header)
	report := p.readTargetReport(now, response.Header)
	before, after := p.trackTargetReport(sent, now, report)
	if before != after {
		p.requestLog.targetReported(now, before, after)
	}
	load := p.readTargetLoad(now, response)
	p.recordTargetLoad(sent, now, load)
	return load
}

// trackTargetReport records a report and returns what was in force before and after it.
func (p *Proxy) trackTargetReport(sent, received time.Time, report targetreport.Report) (before, after targetreport.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before = p.localReports.tracker.Current()
	p.localReports.tracker.Record(sent, received, report)
	after = p.localReports.tracker.Current()
	if before != after {
		p.updateStartRate()
	}
	return before, after
}

// readTargetReport returns what a response reports. A limit that is no number counts as none.
func (p *Proxy) readTargetReport(now time.Time, header http.Header) targetreport.Report {
	var report targetreport.Report
	if text := header.Get(p.config.Headers.RequestLimit); text != "" {
		if report.Limit, report.Limited = parseLimit(text); !report.Limited {
			p.requestLog.invalidLimit(now, text)
		}
	}
	report.Leaving = header.Get(p.config.Headers.Leaving) == leavingValue
	return report
}

// leavingValue is the value of the header with which a target reports that it leaves.
const leavingValue = "1"

// parseLimit parses a number of requests per second.
func parseLimit(text string) (limit float64, ok bool) {
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || !(limit >= 0) || math.IsInf(limit, 1) {
		return 0, false
	}
	return limit, true
}

// adoptLimit takes over the limit of the local target that an entry node sent with a request,
// if the target itself has not responded yet.
func (p *Proxy) adoptLimit(r *http.Request) {
	report := parseTargetReport(r.Header.Get(headerTargetReport))
	if !report.Limited {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Header.Get(p.config.Headers.ExpectedTarget) == p.localReports.instance.id {
		p.localReports.tracker.AdoptLimit(p.ports.Clock.Now(), report.Limit)
		p.updateStartRate()
	}
}

// localLeft reports whether the local target has reported that it leaves, for longer than
// requests are on their way to it.
func (p *Proxy) localLeft(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := p.localReports.tracker.LeavingSince()
	return !since.IsZero() && now.Sub(since) > p.config.DrainGrace
}

// MeasureTarget sets the gauges of what the local target asks for and what it gets.
func (p *Proxy) MeasureTarget() {
	p.mu.Lock()
	limit := p.localReports.tracker.Current().Limit
	rate := p.startRate.PerSecond
	speed := p.localReports.speed.Speed(p.ports.Clock.Now())
	p.mu.Unlock()
	p.ports.Meter.Set(port.MetricTargetLimit, "", limit)
	p.ports.Meter.Set(port.MetricStartRate, "", rate)
	p.ports.Meter.Set(port.MetricTargetSlowdown, "", speed.Slowdown)
	p.ports.Meter.Set(port.MetricSlowdownPersistence, "", speed.Persistence.Seconds())
}
