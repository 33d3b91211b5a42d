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
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
	"tamarackquay/internal/quarantine"
)

// ownRuns are the runs at the VM's own target, as far as they matter for its crashes. The
// proxy's mutex guards them.
type ownRuns struct {
	running map[string]ownRun
	// broken holds runs whose connection ended without an answer, the first of them at
	// brokeAt, until the target was looked at.
	broken  []ownRun
	brokeAt time.Time
	looking bool
	// crashed is when the target crashed last. Answered says that it has since.
	crashed  time.Time
	answered bool
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
		p.crashes.RecordCompletion(t.fingerprint)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	run := p.runs.running[t.attempt]
	delete(p.runs.running, t.attempt)
	if err == nil {
		p.runs.answered = true
		return
	}
	if ctx.Err() != nil || !brokenOff(err) || !run.began.After(p.runs.crashed) {
		return
	}
	p.runs.broken = append(p.runs.broken, run)
	if !p.runs.looking {
		p.runs.looking = true
		p.runs.brokeAt = p.ports.Clock.Now()
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
	crash, crashed := p.endLook(ended)
	own := p.staying()
	if !crashed || own == nil {
		return
	}
	p.ports.Meter.Count(port.MetricTargetCrashes, "", 1)
	p.tellCrash(own, &crash)
	p.crashes.RecordCrash(crash)
}

// endLook takes what a look at the target showed, and returns its crash if it has ended.
func (p *Proxy) endLook(ended bool) (quarantine.Crash, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	suspects := p.suspects()
	p.runs.broken, p.runs.looking = nil, false
	if !ended {
		return quarantine.Crash{}, false
	}
	crash := quarantine.Crash{ID: p.random.Uint64(), Answered: p.runs.answered, Suspects: suspects}
	p.runs.crashed, p.runs.answered = p.ports.Clock.Now(), false
	return crash, true
}

// suspects returns the requests that ran when the first connection broke, the latest first.
// It must be called with the mutex held.
func (p *Proxy) suspects() []quarantine.Fingerprint {
	runs := slices.Clone(p.runs.broken)
	for _, run := range p.runs.running {
		if run.began.Before(p.runs.brokeAt) {
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

// staying returns the VM's own target, or nil if it was to end: the requests that it ran are
// not to blame then.
func (p *Proxy) staying() *mesh.Member {
	picture := p.picture.Load()
	if picture == nil || picture.Own == nil || !picture.Own.DrainingSince.IsZero() || !picture.Own.UsableUntil.IsZero() {
		return nil
	}
	return picture.Own
}

func (p *Proxy) tellCrash(own *mesh.Member, c *quarantine.Crash) {
	var texts []string
	for _, request := range c.Suspects[:min(len(c.Suspects), mostLoggedSuspects)] {
		texts = append(texts, request.String())
	}
	p.ports.Log.Warn().Str(logfield.Target, own.ID).Bool(logfield.HadAnswered, c.Answered).
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
