package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
	"tamarackquay/internal/targetreport"
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
}

// reset forgets the reports of an earlier start of the target.
func (l *localReports) reset(instance targetInstance) {
	if l.instance != instance {
		*l = localReports{instance: instance}
	}
}

// recordTargetReport records what a response of the local target reports. sent is when its
// request was sent.
func (p *Proxy) recordTargetReport(sent time.Time, response *exchange.Response) {
	if response.Status == http.StatusMisdirectedRequest {
		return
	}
	p.unknownHeaders.log(p, response.Header)
	report := p.readTargetReport(response.Header)
	p.mu.Lock()
	before := p.localReports.tracker.Current()
	p.localReports.tracker.Record(sent, p.ports.Clock.Now(), report)
	after := p.localReports.tracker.Current()
	p.updateStartRate()
	p.mu.Unlock()
	if before != after {
		p.logTargetReport(before, after)
	}
}

// readTargetReport returns what a response reports. A limit that is no number counts as none.
func (p *Proxy) readTargetReport(header http.Header) targetreport.Report {
	var report targetreport.Report
	if text := header.Get(p.config.Headers.RequestLimit); text != "" {
		if report.Limit, report.Limited = parseLimit(text); !report.Limited {
			p.ports.Log.Warn().Str(logfield.Header, p.config.Headers.RequestLimit).Str(logfield.Value, text).Msg("target reports an invalid limit")
		}
	}
	report.Leaving = header.Get(p.config.Headers.Leaving) == leavingValue
	return report
}

// leavingValue is the value of the header with which a target reports that it leaves.
const leavingValue = "1"

func (p *Proxy) logTargetReport(before, after targetreport.Report) {
	if before.Limited != after.Limited || before.Limit != after.Limit {
		p.ports.Log.Info().Bool(logfield.Limited, after.Limited).Float64(logfield.Limit, after.Limit).
			Float64(logfield.Before, before.Limit).Msg("target limits its requests")
	}
	if before.Leaving != after.Leaving {
		p.ports.Log.Info().Msg("target leaves")
	}
}

// headerTargetReport carries between nodes what a target has reported in its responses: in
// responses of the owner node, and in requests of entry nodes, so that an owner node that has
// restarted learns it before its target has responded. It is left out for a target that has
// reported nothing.
const headerTargetReport = callhttp.HeaderPrefix + "Target-Report"

// Fields of headerTargetReport.
const (
	fieldLimit   = "limit="
	fieldLeaving = "leaving"
)

func writeTargetReport(header http.Header, report targetreport.Report) {
	var fields []string
	if report.Limited {
		fields = append(fields, fieldLimit+strconv.FormatFloat(report.Limit, 'f', -1, 64))
	}
	if report.Leaving {
		fields = append(fields, fieldLeaving)
	}
	if len(fields) > 0 {
		header[headerTargetReport] = []string{strings.Join(fields, fieldSeparator)}
	}
}

// parseTargetReport parses the header written by writeTargetReport. Unknown and invalid fields are
// ignored: they are of a newer version.
func parseTargetReport(text string) targetreport.Report {
	var report targetreport.Report
	for field := range strings.SplitSeq(text, fieldSeparator) {
		if number, ok := strings.CutPrefix(field, fieldLimit); ok {
			report.Limit, report.Limited = parseLimit(number)
		}
		report.Leaving = report.Leaving || field == fieldLeaving
	}
	return report
}

// parseLimit parses a number of requests per second.
func parseLimit(text string) (limit float64, ok bool) {
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || !(limit >= 0) || math.IsInf(limit, 1) {
		return 0, false
	}
	return limit, true
}

// peerReports holds what an entry node knows of the reports of targets, without those that have
// reported nothing. It is guarded by the proxy's mutex.
type peerReports map[targetInstance]*targetreport.Tracker

func instanceOf(member *mesh.Member) targetInstance {
	return targetInstance{member.ID, member.Started}
}

// departureRetention is how long a departure is remembered after the target was first unlisted: a
// target whose lease expired during a platform outage is listed again and still leaves.
const departureRetention = 10 * time.Minute

// forget drops the reports of targets that are not listed.
func (r peerReports) forget(now time.Time, listed map[targetInstance]bool) {
	for instance, tracker := range r {
		if !listed[instance] && now.Sub(tracker.LeavingSince()) > departureRetention {
			delete(r, instance)
		}
	}
}

// leavingSince returns when this node learned that the target leaves, or zero.
func (r peerReports) leavingSince(member *mesh.Member) time.Time {
	if len(r) == 0 {
		return time.Time{}
	}
	if tracker := r[instanceOf(member)]; tracker != nil {
		return tracker.LeavingSince()
	}
	return time.Time{}
}

// recordPeerReport records the report in an owner node's response to an attempt.
func (p *Proxy) recordPeerReport(a *attempt, report *loadReport) {
	if report.Slots <= 0 {
		// The response holds no load report.
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	instance := instanceOf(a.member)
	tracker := p.peerReports[instance]
	if tracker == nil {
		if report.target == (targetreport.Report{}) {
			return
		}
		tracker = &targetreport.Tracker{}
		p.peerReports[instance] = tracker
	}
	tracker.Record(a.began, p.ports.Clock.Now(), report.target)
	if tracker.Current() == (targetreport.Report{}) {
		delete(p.peerReports, instance)
	}
}

// peerReport returns what this node knows of a target's reports.
func (p *Proxy) peerReport(member *mesh.Member) targetreport.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	if tracker := p.peerReports[instanceOf(member)]; tracker != nil {
		return tracker.Current()
	}
	return targetreport.Report{}
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
	p.mu.Unlock()
	p.ports.Meter.Set(port.MetricTargetLimit, "", limit)
	p.ports.Meter.Set(port.MetricStartRate, "", rate)
}

// unknownHeaders remembers the headers that were logged as not understood.
type unknownHeaders struct {
	mu   sync.Mutex
	seen map[string]bool
}

// maxUnknownHeaders limits how many different headers are logged.
const maxUnknownHeaders = 32

// log logs each header name that the node doesn't understand, once. Targets may ask for something
// by a header that is newer than the node.
func (u *unknownHeaders) log(p *Proxy, header http.Header) {
	for name := range header {
		if standardHeaders[name] || p.config.Headers.includes(name) || !u.add(name) {
			continue
		}
		p.ports.Log.Info().Str(logfield.Header, name).Str(logfield.Value, header.Get(name)).Msg("target sends an unknown header")
	}
}

// add returns false if the name was added before or the limit is reached.
func (u *unknownHeaders) add(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seen[name] || len(u.seen) >= maxUnknownHeaders {
		return false
	}
	if u.seen == nil {
		u.seen = map[string]bool{}
	}
	u.seen[name] = true
	return true
}

// standardHeaders are the response headers that concern callers or the connection alone.
var standardHeaders = map[string]bool{
	"Accept-Ranges": true, "Age": true, "Allow": true, "Cache-Control": true, "Connection": true,
	"Content-Disposition": true, "Content-Encoding": true, "Content-Language": true, "Content-Length": true,
	"Content-Location": true, "Content-Range": true, "Content-Type": true, "Date": true, "Etag": true,
	"Expires": true, "Keep-Alive": true, "Last-Modified": true, "Link": true, "Location": true, "Pragma": true,
	"Retry-After": true, "Server": true, "Set-Cookie": true, "Trailer": true, "Transfer-Encoding": true,
	"Vary": true, "Via": true, "Www-Authenticate": true, "X-Content-Type-Options": true,
}
