package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/admission"
	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/slowstart"
)

// warmup is the state of the local target's slow start. It is guarded by the proxy's mutex.
type warmup struct {
	tracker slowstart.Tracker
	// rate is the start rate that the target tolerates; zero while it doesn't warm up.
	rate admission.StartRate
	// asking is set while a goroutine asks the target for its state.
	asking bool
}

const (
	// warmupCheckTimeout limits one question to the target. A full target makes it wait
	// for a slot.
	warmupCheckTimeout = 500 * time.Millisecond
	// minWarmupCheckPause and maxWarmupCheckPause limit the pause between two questions
	// while the target doesn't answer.
	minWarmupCheckPause = 100 * time.Millisecond
	maxWarmupCheckPause = time.Second
)

// targetReplaced reports whether the local target may have restarted between two snapshots.
// During an evacuation, a target may restart without a change of its entry.
func targetReplaced(before, after *Snapshot) bool {
	if after.Local == nil {
		return false
	}
	if before == nil || before.Local == nil || before.LocalEvacuated != after.LocalEvacuated {
		return true
	}
	return before.Local.ID != after.Local.ID || before.Local.Started != after.Local.Started
}

// warmupLimit returns the limit for the local target while it warms up, and the path of its
// health check.
func (p *Proxy) warmupLimit() (limit slowstart.Limit, healthPath string) {
	snapshot := p.snapshot.Load()
	if snapshot == nil || snapshot.Table == nil || snapshot.Local == nil {
		return slowstart.Limit{}, ""
	}
	service := snapshot.Table.Service(snapshot.Local.Service)
	if service == nil || service.WarmupTime <= 0 {
		return slowstart.Limit{}, ""
	}
	return slowstart.Limit{Rate: service.WarmupRate, Overage: p.config.WarmupOverage, Slack: p.config.WarmupSlack}, service.HealthPath
}

// DoubtTarget records a sign that the target at an address may have restarted.
func (p *Proxy) DoubtTarget(address string) {
	if address == p.config.TargetAddress {
		p.doubtWarmup()
	}
}

// doubtWarmup limits the requests to the local target until it has reported its state.
func (p *Proxy) doubtWarmup() {
	p.mu.Lock()
	p.warmup.tracker.Doubt()
	p.mu.Unlock()
	p.refreshWarmup()
}

// refreshWarmup updates the start rate at the local target, and asks the target for its state
// if that is in doubt.
func (p *Proxy) refreshWarmup() {
	limit, _ := p.warmupLimit()
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := admission.StartRate{}
	if limit.Rate > 0 && p.warmup.tracker.Limited(p.ports.Clock.Now()) {
		rate.PerSecond, rate.Burst = limit.Pace()
	}
	p.warmup.rate = rate
	p.updateStartRate()
	if limit.Rate > 0 && p.warmup.tracker.Doubted() && !p.warmup.asking && p.mayAskTarget() {
		p.warmup.asking = true
		go p.askWarmup()
	}
}

// mayAskTarget reports whether the local target may get a health check. Nothing is sent to a
// target in an evacuated failure domain or to one that leaves.
func (p *Proxy) mayAskTarget() bool {
	snapshot := p.snapshot.Load()
	return snapshot.Local != nil && !snapshot.LocalEvacuated && snapshot.Local.State == mesh.Ready
}

// askWarmup asks the local target for its state until it answers or must not be asked any
// more.
func (p *Proxy) askWarmup() {
	defer func() {
		p.mu.Lock()
		p.warmup.asking = false
		p.mu.Unlock()
	}()
	for pause := minWarmupCheckPause; p.mayAskTarget(); pause = min(2*pause, maxWarmupCheckPause) {
		p.mu.Lock()
		question := p.warmup.tracker.Ask()
		p.mu.Unlock()
		remaining, err := p.readWarmup()
		if err != nil {
			p.ports.Log.Debug().Err(err).Msg("target did not report its warm-up")
			time.Sleep(pause)
			continue
		}
		if p.recordWarmup(question, remaining) {
			return
		}
	}
}

// recordWarmup records the target's answer to a question. It returns false if the target has to
// be asked again.
func (p *Proxy) recordWarmup(question slowstart.Question, remaining time.Duration) bool {
	now := p.ports.Clock.Now()
	p.mu.Lock()
	p.warmup.tracker.Report(question, now, remaining)
	answered := !p.warmup.tracker.Doubted()
	p.mu.Unlock()
	if remaining > 0 {
		p.ports.Log.Info().Int64(logfield.Warmup, millis(remaining)).Msg("target warms up")
	}
	p.refreshWarmup()
	return answered
}

// maxStartDelay is the longest time from the start of a request until it is sent to a target that
// warms up. It is below the time between two starts at usual rates, so that the starts of a
// process that was paused don't reach the target all at once.
const maxStartDelay = 50 * time.Millisecond

// startedTooLate reports whether a request that started at the given time must not be sent to the
// local target any more, because the target may be warming up.
func (p *Proxy) startedTooLate(now, started time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.warmup.rate.PerSecond > 0 && now.Sub(started) > maxStartDelay
}

var errNoWarmup = errors.New("the answer names another target or none")

// readWarmup returns the remaining warm-up time of the local target.
func (p *Proxy) readWarmup() (time.Duration, error) {
	_, path := p.warmupLimit()
	ctx, cancel := context.WithTimeout(context.Background(), warmupCheckTimeout)
	defer cancel()
	sent := p.ports.Clock.Now()
	response, err := p.ports.Target.Do(ctx, p.config.TargetAddress, &exchange.Request{
		Method: http.MethodGet, URI: path, Host: p.config.TargetAddress, Header: http.Header{},
	})
	if err != nil {
		return 0, err
	}
	p.discard(response.Body)
	snapshot := p.snapshot.Load()
	if snapshot.Local == nil || response.Header.Get(p.config.Headers.TargetID) != snapshot.Local.ID {
		return 0, errNoWarmup
	}
	p.recordTargetReport(sent, response)
	text := response.Header.Get(p.config.Headers.Warmup)
	if text == "" {
		return 0, nil
	}
	remaining, err := strconv.ParseFloat(text, 64)
	if err != nil || remaining < 0 || remaining > float64(maxCallerTimeout.Milliseconds()) {
		return 0, errors.Errorf("invalid warm-up time %q", text)
	}
	return time.Duration(remaining * float64(time.Millisecond)), nil
}
