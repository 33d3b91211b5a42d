package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// PlatformState is the platform's state as shown by the node's own reads.
type PlatformState string

// The platform states. A node that is no reader may never have read the platform.
const (
	PlatformNotRead     PlatformState = "not-read"
	PlatformReachable   PlatformState = "reachable"
	PlatformUnreachable PlatformState = "unreachable"
)

// PlatformStatus holds the platform's state and the results of the last reads.
type PlatformStatus struct {
	State PlatformState `json:"state"`
	// Since is when the state began; zero while nothing was read.
	Since time.Time `json:"since"`
	// LastResponse is when the platform last responded; zero if it never did.
	LastResponse time.Time `json:"last_answer"`
	Problem      string    `json:"problem,omitempty"`
}

// unreachableAfter is how many reads in a row must fail before the platform
// counts as unreachable. One lost connection is no outage.
const unreachableAfter = 3

// observedPlatform is a port.Platform that records whether each read succeeds.
type observedPlatform struct {
	inner port.Platform
	clock port.Clock

	mu       sync.Mutex
	status   PlatformStatus
	failures int
}

func observePlatform(ports Ports) *observedPlatform {
	return &observedPlatform{inner: ports.Platform, clock: ports.Clock, status: PlatformStatus{State: PlatformNotRead}}
}

// Manifest implements port.Platform.
func (p *observedPlatform) Manifest(ctx context.Context) (port.Value, error) {
	value, err := p.inner.Manifest(ctx)
	p.record(ctx, err)
	return value, err
}

// WatchManifest implements port.Platform.
func (p *observedPlatform) WatchManifest(ctx context.Context, after uint64) (port.Value, error) {
	value, err := p.inner.WatchManifest(ctx, after)
	p.record(ctx, err)
	return value, err
}

// Part implements port.Platform.
func (p *observedPlatform) Part(ctx context.Context, hash snapshot.Hash) ([]byte, error) {
	raw, err := p.inner.Part(ctx, hash)
	p.record(ctx, err)
	return raw, err
}

// VMs implements port.Platform.
func (p *observedPlatform) VMs(ctx context.Context) ([]membership.Record, error) {
	list, err := p.inner.VMs(ctx)
	p.record(ctx, err)
	return list, err
}

// state returns the platform's current status.
func (p *observedPlatform) state() PlatformStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

// record records the result of one read. A read that the node itself cancelled
// is ignored: it is no evidence of the platform's state.
func (p *observedPlatform) record(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if isResponse(err) {
		p.failures = 0
		p.status.LastResponse = now
		p.setState(PlatformReachable, now, "")
	} else if p.failures++; p.failures >= unreachableAfter {
		p.setState(PlatformUnreachable, now, err.Error())
	}
}

// isResponse reports whether the platform responded, which includes the
// responses "unchanged" and "not found".
func isResponse(err error) bool {
	return err == nil || errors.Is(err, port.ErrUnchanged) || errors.Is(err, port.ErrNotFound)
}

func (p *observedPlatform) setState(state PlatformState, now time.Time, problem string) {
	if p.status.State != state {
		p.status.State = state
		p.status.Since = now
	}
	p.status.Problem = problem
}
