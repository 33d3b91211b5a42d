package proxy

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
)

// lineKind is a kind of log line with a budget of its own.
type lineKind int

// The kinds, those that explain a complaint first.
const (
	lineFailure lineKind = iota
	lineAttempt
	lineServed
	lineKinds
)

var lineKindNames = [lineKinds]string{"failure", "attempt", "served"}

// linesPerSecond bounds the lines of each kind. What fails is told line by line, up
// to about what a node fails in a second of overload; of what went well a sample is
// enough.
var linesPerSecond = [lineKinds]rate.Limit{100, 50, 5}

// decisions writes one line for each decision on a request, within a budget for
// each kind, so that a flood of requests doesn't become a flood of lines.
type decisions struct {
	log     *log.Logger
	meter   port.Meter
	limits  [lineKinds]*rate.Limiter
	left    [lineKinds]atomic.Int64
	viewAge func() time.Duration
}

func newDecisions(ports Ports) *decisions {
	d := &decisions{log: ports.Log, meter: ports.Meter, viewAge: ports.ViewAge}
	if d.viewAge == nil {
		d.viewAge = func() time.Duration { return 0 }
	}
	for kind := range d.limits {
		d.limits[kind] = rate.NewLimiter(linesPerSecond[kind], int(linesPerSecond[kind]))
	}
	return d
}

// line begins a line of a kind; nil when the budget is used up.
func (d *decisions) line(now time.Time, kind lineKind) *log.Entry {
	if !d.limits[kind].AllowN(now, 1) {
		d.left[kind].Add(1)
		return nil
	}
	if kind == lineFailure {
		return d.log.Warn()
	}
	return d.log.Info()
}

// tellLeftOut tells how many lines were left out since it was last called.
func (d *decisions) tellLeftOut() {
	for kind := range d.left {
		if count := d.left[kind].Swap(0); count > 0 {
			d.meter.Count(port.MetricLinesDropped, lineKindNames[kind], int(count))
			d.log.Info().Str(logfield.Kind, lineKindNames[kind]).Int64(logfield.Lines, count).Msg("lines left out")
		}
	}
}

func millis(d time.Duration) int64 { return d.Milliseconds() }

// about adds what a flight was decided by.
func (d *decisions) about(entry *log.Entry, f *flight, now time.Time) *log.Entry {
	return entry.Str(logfield.Request, f.id).Str(logfield.Fingerprint, f.fingerprint.String()).Str(logfield.Route, f.route.Name).Str(logfield.Service, f.service).
		Int(logfield.Offers, f.offers).Int(logfield.Arrivals, f.arrivals).
		Int64(logfield.Elapsed, millis(now.Sub(f.began))).Int64(logfield.TimeLeft, millis(f.deadline.Sub(now))).
		Uint64(logfield.Version, f.picture.Table.Config.Version).Int64(logfield.ViewAge, millis(d.viewAge()))
}

func (d *decisions) served(now time.Time, f *flight, a *answer) {
	entry := d.line(now, lineServed)
	if entry == nil {
		return
	}
	d.about(entry, f, now).Str(logfield.Outcome, logfield.Served).Int(logfield.Status, a.response.Status).
		Str(logfield.Target, f.last).Msg("request")
}

func (d *decisions) brokenOff(now time.Time, f *flight, err error) {
	entry := d.line(now, lineFailure)
	if entry == nil {
		return
	}
	d.about(entry, f, now).Str(logfield.Outcome, logfield.Interrupted).Str(logfield.Target, f.last).
		Str(logfield.Error, err.Error()).Msg("request")
}

// ended tells of a request without an answer. The flight is nil when the
// request was refused before it had a route.
func (d *decisions) ended(now time.Time, id string, f *flight, gone bool, err error) {
	entry := d.line(now, lineFailure)
	if entry == nil {
		return
	}
	if f != nil {
		entry = d.about(entry, f, now).Str(logfield.Target, f.last)
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
	entry.Bool(logfield.CallerDisconnected, gone).Msg("request")
}

// belief is what an offer was decided by.
type belief struct {
	load placement.Load
	age  time.Duration
}

// failedAttempt tells of an offer that got no answer, with the load and the
// entry of the target by which it was chosen.
func (d *decisions) failedAttempt(now time.Time, f *flight, member *mesh.Member, attempt string, b belief, err error) {
	entry := d.line(now, lineAttempt)
	if entry == nil {
		return
	}
	var refusal *port.Refusal
	if errors.As(err, &refusal) {
		entry = entry.Str(logfield.Reason, string(refusal.Reason))
	}
	d.about(entry, f, now).Str(logfield.Outcome, logfield.Failed).Str(logfield.Target, member.ID).Str(logfield.Attempt, attempt).
		Uint64(logfield.TargetRevision, member.Revision).
		Str(logfield.ReportedLoad, fmt.Sprintf("%d/%d/%d", b.load.Running, b.load.Waiting, b.load.Slots)).
		Int64(logfield.ReportedLoadAge, millis(b.age)).Str(logfield.Error, err.Error()).Msg("attempt")
}

// ownFailed tells what the owner node decided on a request of another node, or
// what became of it at the target.
func (d *decisions) ownFailed(now time.Time, id string, t *terms, received time.Time, word loadWord, err error) {
	entry := d.line(now, lineAttempt)
	if entry == nil {
		return
	}
	var refusal *port.Refusal
	outcome := logfield.Unknown
	if errors.As(err, &refusal) {
		outcome = logfield.Refused
		entry = entry.Str(logfield.Reason, string(refusal.Reason)).Int64(logfield.RetryAfter, millis(refusal.RetryAfter))
	}
	entry.Str(logfield.Request, id).Str(logfield.Fingerprint, t.fingerprint.String()).Str(logfield.Route, t.route).Str(logfield.Attempt, t.attempt).Str(logfield.Outcome, outcome).
		Int64(logfield.Elapsed, millis(now.Sub(received))).Int64(logfield.TimeLeft, millis(t.budget-now.Sub(received))).
		Str(logfield.ReportedLoad, fmt.Sprintf("%d/%d/%d", word.Running, word.Waiting, word.Slots)).
		Int64(logfield.ViewAge, millis(d.viewAge())).Str(logfield.Error, err.Error()).Msg("own target")
}

// callerGone reports whether the caller of a request has closed its connection.
func callerGone(r *http.Request) bool { return r.Context().Err() != nil }
