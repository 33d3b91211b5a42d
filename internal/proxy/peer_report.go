package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/targetreport"
)

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

// peerReports holds what an entry node knows of the reports of targets, without those that have
// reported nothing. It is guarded by the proxy's mutex.
type peerReports map[targetInstance]*targetreport.Tracker

func instanceOf(member *mesh.Member) targetInstance {
	return targetInstance{member.ID, member.Started}
}

// departureRetention is how long after its report a departure is remembered while the target isn't
// listed: one whose lease expired during a platform outage is listed again and still leaves.
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

// recordPeerReport records the report in an owner node's response to an attempt. A response without
// a load report, or of a node that knows no target, says nothing about earlier reports.
func (p *Proxy) recordPeerReport(a *attempt, report *loadReport) {
	if report.Slots <= 0 && report.target == (targetreport.Report{}) {
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
