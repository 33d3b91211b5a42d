package proxy

import (
	"context"
	"io"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/logfield"
	"tamarackquay/internal/port"
	"tamarackquay/internal/quarantine"
)

// ownRuns are the runs at the VM's own target, as far as they matter for its crashes. The
// proxy's mutex guards them.
type ownRuns struct {
	running map[string]ownRun
	// broken holds runs whose connection ended without an answer, until the target was
	// looked at.
	broken  []ownRun
	looking bool
	// crashed is when the target crashed last. Proven says that it has answered since.
	crashed time.Time
	proven  bool
}

type ownRun struct {
	request quarantine.Fingerprint
	began   time.Time
}

const (
	// settleTime is how long after the first broken run the target is looked at. A process
	// that ends closes its connections and its listener within it.
	settleTime = 20 * time.Millisecond
	// lookTimeout bounds the look.
	lookTimeout = 300 * time.Millisecond
	// mostLoggedSuspects bounds the line of a crash.
	mostLoggedSuspects = 16
)

func (p *Proxy) beginOwnRun(now time.Time, t *terms) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs.running[t.attempt] = ownRun{request: t.fingerprint, began: now}
}

// endOwnRun takes the end of a run; the error is nil where the whole answer was read.
func (p *Proxy) endOwnRun(ctx context.Context, t *terms, status int, err error) {
	if err == nil && status < failedStatus {
		p.crashes.Completed(t.fingerprint)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	run := p.runs.running[t.attempt]
	delete(p.runs.running, t.attempt)
	if err == nil {
		p.runs.proven = true
		return
	}
	if ctx.Err() != nil || !brokenOff(err) || !run.began.After(p.runs.crashed) {
		return
	}
	p.runs.broken = append(p.runs.broken, run)
	if !p.runs.looking {
		p.runs.looking = true
		time.AfterFunc(settleTime, p.lookAtOwn)
	}
}

// failedStatus is the first status of answers that say that the target failed.
const failedStatus = 500

// brokenOff reports whether the other side ended the connection.
func brokenOff(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// lookAtOwn finds out whether runs broke because the target's process has ended, and tells
// all nodes then. A connection may break for other reasons.
func (p *Proxy) lookAtOwn() {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	ended := p.ports.Target.Refused(ctx, p.config.TargetAddress)
	p.mu.Lock()
	broken := p.runs.broken
	p.runs.broken, p.runs.looking = nil, false
	if !ended {
		p.mu.Unlock()
		return
	}
	now := p.ports.Clock.Now()
	crash := quarantine.Crash{ID: p.random.Uint64(), Proven: p.runs.proven, Suspects: p.suspects(broken)}
	p.runs.crashed, p.runs.proven = now, false
	p.mu.Unlock()
	if p.ownLeaves() {
		return
	}
	p.ports.Meter.Count(port.MetricTargetCrashes, "", 1)
	p.tellCrash(&crash)
	p.crashes.Crashed(crash)
}

// suspects returns the requests that ran when the target ended, the latest first. It must be
// called with the mutex held.
func (p *Proxy) suspects(broken []ownRun) []quarantine.Fingerprint {
	runs := slices.Clone(broken)
	for _, run := range p.runs.running {
		if run.began.Before(broken[0].began.Add(settleTime)) {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b ownRun) int { return b.began.Compare(a.began) })
	var suspects []quarantine.Fingerprint
	for _, run := range runs {
		if !slices.Contains(suspects, run.request) {
			suspects = append(suspects, run.request)
		}
	}
	return suspects
}

// ownLeaves reports whether the VM's own target was to end: the requests that it ran are
// not to blame.
func (p *Proxy) ownLeaves() bool {
	picture := p.picture.Load()
	return picture == nil || picture.Own == nil || !picture.Own.DrainingSince.IsZero() || !picture.Own.UsableUntil.IsZero()
}

func (p *Proxy) tellCrash(c *quarantine.Crash) {
	var texts []string
	for _, request := range c.Suspects[:min(len(c.Suspects), mostLoggedSuspects)] {
		texts = append(texts, request.String())
	}
	p.ports.Log.Warn().Str(logfield.Target, p.picture.Load().Own.ID).Bool(logfield.Proven, c.Proven).
		Int(logfield.Running, len(c.Suspects)).Str(logfield.Fingerprint, strings.Join(texts, " ")).Msg("target crashed")
}

// runBody tells how the reading of a run's answer ended.
type runBody struct {
	io.ReadCloser
	// ended is called once, with nil where the whole body was read.
	ended func(err error)
}

// Read implements io.Reader.
func (b *runBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.end(nil)
	} else if err != nil {
		b.end(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *runBody) Close() error {
	b.end(errGivenUp)
	return b.ReadCloser.Close()
}

func (b *runBody) end(err error) {
	if b.ended != nil {
		b.ended(err)
		b.ended = nil
	}
}

var errGivenUp = errors.New("the answer was not read to its end")
