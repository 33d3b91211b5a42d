package proxy

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
	"tamarackquay/internal/routing/retry"
	"tamarackquay/internal/targetreport"
)

// lineKind is a kind of log line with its own rate limit.
type lineKind int

// Kinds of log lines, the most useful for explaining a complaint first.
const (
	lineFailure lineKind = iota
	lineAttempt
	lineServed
	lineTarget
	lineShortage
	lineKinds
)

var lineKindNames = [lineKinds]string{"failure", "attempt", "served", "target", "shortage"}

// linesPerSecond limits the log lines of each kind. The limit for failures is about the
// number of requests that a node fails in a second of overload, so that nearly all are
// logged. For served requests and for a target that reports something else in each response, a
// sample is enough.
var linesPerSecond = [lineKinds]rate.Limit{100, 50, 5, 5, 5}

// requestLog writes one log line for each decision on a request. Each kind has a rate
// limit, so that a burst of requests doesn't cause a burst of log lines.
type requestLog struct {
	log     *log.Logger
	meter   port.Meter
	limits  [lineKinds]*rate.Limiter
	dropped [lineKinds]atomic.Int64
	viewAge func() time.Duration
}

func newRequestLog(ports Ports) *requestLog {
	l := &requestLog{log: ports.Log, meter: ports.Meter, viewAge: ports.ViewAge}
	if l.viewAge == nil {
		l.viewAge = func() time.Duration { return 0 }
	}
	for kind := range l.limits {
		l.limits[kind] = rate.NewLimiter(linesPerSecond[kind], int(linesPerSecond[kind]))
	}
	return l
}

// newLine begins a line of a kind; it returns nil if the rate limit is exceeded.
func (l *requestLog) newLine(now time.Time, kind lineKind) *log.Entry {
	if !l.limits[kind].AllowN(now, 1) {
		l.dropped[kind].Add(1)
		return nil
	}
	if kind == lineFailure {
		return l.log.Warn()
	}
	return l.log.Info()
}

// logDropped logs how many lines were dropped since the last call.
func (l *requestLog) logDropped() {
	for kind := range l.dropped {
		if count := l.dropped[kind].Swap(0); count > 0 {
			l.meter.Count(port.MetricLinesDropped, lineKindNames[kind], int(count))
			l.log.Info().Str(logfield.Kind, lineKindNames[kind]).Int64(logfield.Lines, count).Msg("lines left out")
		}
	}
}

func millis(d time.Duration) int64 { return d.Milliseconds() }

// withRequest adds the state of the request on which decisions are based.
func (l *requestLog) withRequest(entry *log.Entry, f *forwarder, now time.Time) *log.Entry {
	return entry.Str(logfield.Request, f.id).Str(logfield.Fingerprint, f.fingerprint.String()).Str(logfield.Route, f.route.Name).Str(logfield.Service, f.service).
		Int(logfield.Attempts, f.attempts).Int(logfield.Arrivals, f.arrivals).
		Int64(logfield.Elapsed, millis(now.Sub(f.began))).Int64(logfield.TimeLeft, millis(f.deadline.Sub(now))).
		Uint64(logfield.Version, f.snapshot.Table.Config.Version).Int64(logfield.ViewAge, millis(l.viewAge()))
}

// served logs a request that got a response. A response that callers take for a refusal counts
// among the failures, whose lines are hardly ever left out.
func (l *requestLog) served(now time.Time, f *forwarder, resp *bufferedResponse) {
	kind, status := lineServed, resp.response.Status
	if callhttp.PromisesNotRun(status) {
		kind = lineFailure
	}
	entry := l.newLine(now, kind)
	if entry == nil {
		return
	}
	if kind == lineFailure {
		entry = entry.Bool(logfield.NotExecuted, resp.response.Header.Get(f.proxy.config.Headers.NotExecuted) != "")
	}
	l.withRequest(entry, f, now).Str(logfield.Outcome, logfield.Served).Int(logfield.Status, status).
		Str(logfield.Target, f.lastTarget).Msg("request")
}

// interrupted logs a response that broke off while it was written to the caller.
func (l *requestLog) interrupted(now time.Time, f *forwarder, err error) {
	entry := l.newLine(now, lineFailure)
	if entry == nil {
		return
	}
	l.withRequest(entry, f, now).Str(logfield.Outcome, logfield.Interrupted).Str(logfield.Target, f.lastTarget).
		Str(logfield.Error, err.Error()).Msg("request")
}

// failed logs a request that got no response. The forwarder is nil if the request was
// refused before its route was found.
func (l *requestLog) failed(now time.Time, id string, f *forwarder, disconnected bool, err error) {
	entry := l.newLine(now, lineFailure)
	if entry == nil {
		return
	}
	if f != nil {
		entry = l.withRequest(entry, f, now).Str(logfield.Target, f.lastTarget)
	} else {
		entry = entry.Str(logfield.Request, id)
	}
	var refusal *port.Refusal
	if errors.As(err, &refusal) {
		entry = entry.Str(logfield.Outcome, logfield.Refused).Str(logfield.Reason, string(refusal.Reason)).
			Int64(logfield.RetryAfter, millis(refusal.RetryAfter)).Str(logfield.Error, refusal.Detail)
	} else {
		entry = entry.Str(logfield.Outcome, logfield.Unknown).Str(logfield.Error, err.Error())
	}
	entry.Bool(logfield.CallerDisconnected, disconnected).Msg("request")
}

// lastLoad is the last reported load of a target and its age when an attempt is sent.
type lastLoad struct {
	load placement.Load
	age  time.Duration
}

// attemptFailed logs an attempt without a successful response, with the load and the
// revision of the target's entry by which the target was chosen.
func (l *requestLog) attemptFailed(now time.Time, f *forwarder, member *mesh.Member, attemptID string, last lastLoad, err error) {
	entry := l.newLine(now, lineAttempt)
	if entry == nil {
		return
	}
	var refusal *port.Refusal
	if errors.As(err, &refusal) {
		entry = entry.Str(logfield.Reason, string(refusal.Reason))
	}
	withSlowdown(l.withRequest(entry, f, now), &last.load).Str(logfield.Outcome, logfield.Failed).Str(logfield.Target, member.ID).Str(logfield.Attempt, attemptID).
		Uint64(logfield.TargetRevision, member.Revision).
		Str(logfield.ReportedLoad, fmt.Sprintf("%d/%d/%d", last.load.Running, last.load.Waiting, last.load.Slots)).
		Int64(logfield.ReportedLoadAge, millis(last.age)).Str(logfield.Error, err.Error()).Msg("attempt")
}

// localFailed logs a request of another node that the owner node refused or that failed
// at the local target.
func (l *requestLog) localFailed(now time.Time, id string, meta *attemptMeta, received time.Time, report loadReport, err error) {
	entry := l.newLine(now, lineAttempt)
	if entry == nil {
		return
	}
	var refusal *port.Refusal
	outcome := logfield.Unknown
	if errors.As(err, &refusal) {
		outcome = logfield.Refused
		entry = entry.Str(logfield.Reason, string(refusal.Reason)).Int64(logfield.RetryAfter, millis(refusal.RetryAfter))
	}
	withSlowdown(entry, &report.Load).Str(logfield.Request, id).Str(logfield.Fingerprint, meta.fingerprint.String()).Str(logfield.Route, meta.route).Str(logfield.Attempt, meta.attemptID).Str(logfield.Outcome, outcome).
		Int64(logfield.Elapsed, millis(now.Sub(received))).Int64(logfield.TimeLeft, millis(meta.budget-now.Sub(received))).
		Str(logfield.ReportedLoad, fmt.Sprintf("%d/%d/%d", report.Running, report.Waiting, report.Slots)).
		Int64(logfield.ViewAge, millis(l.viewAge())).Str(logfield.Error, err.Error()).Msg("own target")
}

// targetReported logs a change of what the local target reports about itself.
func (l *requestLog) targetReported(now time.Time, before, after targetreport.Report) {
	if before.Limited != after.Limited || before.Limit != after.Limit {
		if entry := l.newLine(now, lineTarget); entry != nil {
			entry.Bool(logfield.Limited, after.Limited).Float64(logfield.Limit, after.Limit).
				Float64(logfield.Before, before.Limit).Msg("target limits its requests")
		}
	}
	if before.Leaving != after.Leaving {
		l.log.Info().Msg("target leaves")
	}
}

// invalidLimit logs a limit of the local target that is no number of requests.
func (l *requestLog) invalidLimit(now time.Time, text string) {
	if entry := l.newLine(now, lineTarget); entry != nil {
		entry.Str(logfield.Value, text).Msg("target reports an invalid limit")
	}
}

// shortageChanged logs that a shortage of a service has begun, or has ended after the given
// time.
func (l *requestLog) shortageChanged(now time.Time, service string, short bool, lasted time.Duration) {
	entry := l.newLine(now, lineShortage)
	if entry == nil {
		return
	}
	if short {
		entry.Str(logfield.Service, service).Msg("shortage begins")
		return
	}
	entry.Str(logfield.Service, service).Int64(logfield.ShortageAge, millis(lasted)).Msg("shortage ends")
}

// retryBudgetUsedUp logs what the node has counted for a service whose retries it refuses.
func (l *requestLog) retryBudgetUsedUp(service string, usage retry.Usage, denied, vms int, uptime time.Duration) {
	l.log.Info().Str(logfield.Service, service).Int(logfield.Denied, denied).Int(logfield.Requests, usage.Requests).
		Float64(logfield.Retries, usage.Retries).Float64(logfield.Allowed, usage.Allowed).
		Int(logfield.VMs, vms).Int64(logfield.Uptime, millis(uptime)).Msg("retry budget used up")
}

// slowClientEnded logs that a response, or the wait for the body of a request, was ended to free the memory that
// it held. err is set if the pending write or read could not be ended.
func (l *requestLog) slowClientEnded(now time.Time, message, id string, held int64, stalled time.Duration, total int64, err error) {
	if entry := l.newLine(now, lineFailure); entry != nil {
		if err != nil {
			entry = entry.Str(logfield.Error, err.Error())
		}
		entry.Str(logfield.Request, id).Int64(logfield.HeldBytes, held).Int64(logfield.TotalBytes, total).
			Int64(logfield.Stalled, millis(stalled)).Msg(message)
	}
}

// invalidLoad logs a load header of the local target that is invalid in part or as a whole.
func (l *requestLog) invalidLoad(now time.Time, text string, err error) {
	if entry := l.newLine(now, lineTarget); entry != nil {
		entry.Str(logfield.Value, text).Str(logfield.Error, err.Error()).Msg("target reports an invalid load")
	}
}

// withSlowdown adds the slowdown of a target that reports it.
func withSlowdown(entry *log.Entry, load *placement.Load) *log.Entry {
	if load.Slowdown <= 0 {
		return entry
	}
	return entry.Float64(logfield.Slowdown, load.Slowdown).Int64(logfield.SlowdownAge, millis(load.SlowdownAge))
}

// callerDisconnected reports whether the caller of a request has closed its connection.
func callerDisconnected(r *http.Request) bool { return r.Context().Err() != nil }
