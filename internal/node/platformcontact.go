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

// PlatformState is how the node's own reads of the platform fare.
type PlatformState string

// The states. A node that is no reader may have nothing to tell.
const (
	PlatformNotRead     PlatformState = "not-read"
	PlatformReachable   PlatformState = "reachable"
	PlatformUnreachable PlatformState = "unreachable"
)

// PlatformContact is what the node saw of the platform.
type PlatformStatus struct {
	State PlatformState `json:"state"`
	// Since is when the state began; zero while nothing was read.
	Since time.Time `json:"since"`
	// LastAnswer is when the platform last answered; zero if it never did.
	LastResponse time.Time `json:"last_answer"`
	Problem      string    `json:"problem,omitempty"`
}

// unreachableAfter is how many reads in a row must fail before the platform
// counts as unreachable. One lost connection is no outage.
const unreachableAfter = 3

// observedPlatform is a port.Platform that notes how each read fares.
type observedPlatform struct {
	inner port.Platform
	clock port.Clock

	mu       sync.Mutex
	contact  PlatformStatus
	failures int
}

func observePlatform(ports Ports) *observedPlatform {
	return &observedPlatform{inner: ports.Platform, clock: ports.Clock, contact: PlatformStatus{State: PlatformNotRead}}
}

// Manifest implements port.Platform.
func (p *observedPlatform) Manifest(ctx context.Context) (port.Value, error) {
	value, err := p.inner.Manifest(ctx)
	p.note(ctx, err)
	return value, err
}

// WatchManifest implements port.Platform.
func (p *observedPlatform) WatchManifest(ctx context.Context, after uint64) (port.Value, error) {
	value, err := p.inner.WatchManifest(ctx, after)
	p.note(ctx, err)
	return value, err
}

// Part implements port.Platform.
func (p *observedPlatform) Part(ctx context.Context, hash snapshot.Hash) ([]byte, error) {
	raw, err := p.inner.Part(ctx, hash)
	p.note(ctx, err)
	return raw, err
}

// VMs implements port.Platform.
func (p *observedPlatform) VMs(ctx context.Context) ([]membership.Record, error) {
	list, err := p.inner.VMs(ctx)
	p.note(ctx, err)
	return list, err
}

// state returns what was seen so far.
func (p *observedPlatform) state() PlatformStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.contact
}

// note takes the result of one read. A read that the node itself cancelled
// tells nothing of the platform.
func (p *observedPlatform) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if answered(err) {
		p.failures = 0
		p.contact.LastResponse = now
		p.enter(PlatformReachable, now, "")
	} else if p.failures++; p.failures >= unreachableAfter {
		p.enter(PlatformUnreachable, now, err.Error())
	}
}

// answered reports whether the platform gave an answer, be it that there is
// nothing new or nothing at all.
func answered(err error) bool {
	return err == nil || errors.Is(err, port.ErrUnchanged) || errors.Is(err, port.ErrNotFound)
}

func (p *observedPlatform) enter(state PlatformState, now time.Time, problem string) {
	if p.contact.State != state {
		p.contact.State = state
		p.contact.Since = now
	}
	p.contact.Problem = problem
}
