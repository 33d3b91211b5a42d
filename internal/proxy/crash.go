package proxy

import (
	"context"
	"io"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/logfield"
	"tamarackquay/internal/membudget"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
	"tamarackquay/internal/quarantine"
)

// localRuns tracks the requests running at the local target, to detect crashes of the
// target. It is guarded by the proxy's mutex.
type localRuns struct {
	// running holds the current runs by attempt id.
	running map[string]localRun
	// broken holds runs whose connection ended without a response, until the checks of
	// the target end. Of the runs that continue, those that began before reachableUntil
	// may have reached the target: it is when the first connection ended, or the last
	// check that found the target listening.
	broken         []localRun
	reachableUntil time.Time
	checking       bool
	// checks is how often the target was found listening since the first of them ended.
	checks int
	// schedule calls a function after a delay; tests replace it.
	schedule func(time.Duration, func())
	// lastCrash is the time of the target's last crash. answeredSince is set once the
	// target has answered after it.
	lastCrash     time.Time
	answeredSince bool
	// memory accounts for the request bodies that the target holds.
	memory membudget.Target
}

// localRun is one run of a request at the local target.
type localRun struct {
	request quarantine.Fingerprint
	began   time.Time
	// brokenAt is when its connection ended; zero while it runs.
	brokenAt time.Time
	// bytes is the part of the request's body that was sent, or will be if its length is
	// known.
	bytes int64
}

const (
	// crashCheckDelay is the time from the first broken run to the first check of the
	// target, and doubles for each further one. An exiting process usually closes its
	// connections and its listener within this time. On a VM with a part of a core, it may
	// be stopped in between for the rest of a scheduling period of 100 ms, or several.
	crashCheckDelay = 20 * time.Millisecond
	// maxCrashChecks is how often a target is checked that still listens: for 300 ms in
	// total.
	maxCrashChecks = 4
	// crashCheckTimeout limits the duration of the check.
	crashCheckTimeout = 300 * time.Millisecond
	// maxLoggedSuspects limits the length of a crash's log line.
	maxLoggedSuspects = 16
)

func newLocalRuns() localRuns {
	return localRuns{
		running:  map[string]localRun{},
		schedule: func(delay time.Duration, check func()) { time.AfterFunc(delay, check) },
	}
}

// trackRun records the start of a run and returns the slowdown of the target at that time. It
// returns a refusal if the target may not hold the request's body in addition to those that
// it holds.
func (p *Proxy) trackRun(now time.Time, meta *attemptMeta, r *exchange.Request) (slowdown float64, refusal *port.Refusal) {
	length := max(r.ContentLength, 0)
	p.mu.Lock()
	defer p.mu.Unlock()
	if refusal := p.checkTargetMemory(r); refusal != nil {
		return 0, refusal
	}
	p.localRuns.memory.Add(length)
	p.localRuns.running[meta.attemptID] = localRun{request: meta.fingerprint, began: now, bytes: length}
	if r.ContentLength < 0 && r.Body != nil {
		r.Body = &countedBody{Reader: r.Body, proxy: p, attemptID: meta.attemptID}
	}
	return p.localReports.speed.Speed(now).At(0), nil
}

// recordRunEnd records the end of a run; err is nil if the complete response was read.
func (p *Proxy) recordRunEnd(ctx context.Context, meta *attemptMeta, status int, err error) {
	if err == nil && status < minFailureStatus {
		p.crashes.RecordCompletion(meta.fingerprint)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	run := p.localRuns.running[meta.attemptID]
	delete(p.localRuns.running, meta.attemptID)
	p.localRuns.memory.Add(-run.bytes)
	if err == nil {
		p.localRuns.answeredSince = true
		p.recordTargetResponse()
		return
	}
	if ctx.Err() != nil || !closedByPeer(err) || !run.began.After(p.localRuns.lastCrash) {
		return
	}
	run.brokenAt = p.ports.Clock.Now()
	p.localRuns.broken = append(p.localRuns.broken, run)
	if !p.localRuns.checking {
		p.localRuns.checking, p.localRuns.checks = true, 0
		p.localRuns.reachableUntil = run.brokenAt
		p.localRuns.schedule(crashCheckDelay, p.checkForCrash)
	}
}

// minFailureStatus is the lowest status code by which a target reports a failure.
const minFailureStatus = 500

// closedByPeer reports whether the other side closed the connection.
func closedByPeer(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// checkForCrash checks whether runs broke because the target's process has ended, and
// reports the crash to all nodes if so. Connections may also break for other reasons.
func (p *Proxy) checkForCrash() {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	began := p.ports.Clock.Now()
	exited := p.ports.Target.ConnectionRefused(ctx, p.config.TargetAddress)
	if !exited && p.checkAgain(began) {
		return
	}
	crash, held, crashed := p.finishCrashCheck(exited)
	local := p.stayingTarget()
	if !crashed || local == nil {
		return
	}
	p.ports.Meter.Count(port.MetricTargetCrashes, "", 1)
	p.recordTargetCrash(held)
	p.logCrash(local, &crash)
	p.crashes.RecordCrash(crash)
}

// checkAgain starts a further check after one that began at the given time and found the target
// listening. It returns false if that was the last and no connection has ended since it began.
func (p *Proxy) checkAgain(began time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := &p.localRuns
	runs.checks++
	if runs.checks >= maxCrashChecks {
		runs.broken = slices.DeleteFunc(runs.broken, func(run localRun) bool { return run.brokenAt.Before(began) })
		if len(runs.broken) == 0 {
			return false
		}
		runs.checks = 0
	}
	runs.reachableUntil = began
	p.localRuns.schedule(crashCheckDelay<<runs.checks, p.checkForCrash)
	return true
}

// finishCrashCheck records the result of a check. If the process has ended, it returns the
// crash and how many bytes of request bodies the target held.
func (p *Proxy) finishCrashCheck(exited bool) (quarantine.Crash, int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	suspects, held := p.suspects()
	p.localRuns.broken, p.localRuns.checking = nil, false
	if !exited {
		return quarantine.Crash{}, 0, false
	}
	crash := quarantine.Crash{ID: p.random.Uint64(), Answered: p.localRuns.answeredSince, Suspects: suspects}
	p.localRuns.lastCrash, p.localRuns.answeredSince = p.ports.Clock.Now(), false
	p.forgetTargetSpeed(p.localRuns.lastCrash)
	return crash, held, true
}

// suspects returns the requests that may have been running when the target ended, the latest
// first, and how many bytes of request bodies the target held then. It must be called
// with the mutex held.
func (p *Proxy) suspects() ([]quarantine.Fingerprint, int64) {
	runs := slices.Clone(p.localRuns.broken)
	for _, run := range p.localRuns.running {
		if run.began.Before(p.localRuns.reachableUntil) {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b localRun) int { return b.began.Compare(a.began) })
	var suspects []quarantine.Fingerprint
	held := int64(0)
	for _, run := range runs {
		held += run.bytes
		if !slices.Contains(suspects, run.request) {
			suspects = append(suspects, run.request)
		}
	}
	return suspects, held
}

// stayingTarget returns the local target, or nil if it was leaving: then its end is
// expected and not caused by the requests that it ran.
func (p *Proxy) stayingTarget() *mesh.Member {
	snapshot := p.snapshot.Load()
	if snapshot == nil || snapshot.Local == nil {
		return nil
	}
	local := snapshot.Local
	if !local.DrainingSince.IsZero() || !local.UsableUntil.IsZero() || p.ports.Clock.Now().Before(local.UsableFrom) {
		return nil
	}
	return local
}

func (p *Proxy) logCrash(local *mesh.Member, c *quarantine.Crash) {
	var fingerprints []string
	for _, request := range c.Suspects[:min(len(c.Suspects), maxLoggedSuspects)] {
		fingerprints = append(fingerprints, request.String())
	}
	p.ports.Log.Warn().Str(logfield.Target, local.ID).Bool(logfield.HadAnswered, c.Answered).
		Int(logfield.Running, len(c.Suspects)).Str(logfield.Fingerprint, strings.Join(fingerprints, " ")).Msg("target crashed")
}

// observedBody is a response body that reports how reading it ended.
type observedBody struct {
	io.ReadCloser
	// onEnd is called once, with nil if the whole body was read.
	onEnd func(err error)
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.notifyEnd(nil)
	} else if err != nil {
		b.notifyEnd(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *observedBody) Close() error {
	b.notifyEnd(errBodyAbandoned)
	return b.ReadCloser.Close()
}

func (b *observedBody) notifyEnd(err error) {
	if b.onEnd != nil {
		b.onEnd(err)
		b.onEnd = nil
	}
}

var errBodyAbandoned = errors.New("response body closed before its end")
