package memnet

import (
	"context"
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
	"tamarackquay/internal/wait"
)

// view is a VM's connection to the platform, with the partition and delay of that
// VM.
type view struct {
	platform *Platform
	vm       membership.VM
}

func (v *view) applyDelay(ctx context.Context) {
	v.platform.mu.Lock()
	delay := v.platform.delay(v.vm)
	v.platform.mu.Unlock()
	wait.Sleep(ctx, delay)
}

// Manifest implements port.Platform.
func (v *view) Manifest(ctx context.Context) (port.Value, error) {
	v.applyDelay(ctx)
	p := v.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginRead(v.vm, &p.reads.Manifests); err != nil {
		return port.Value{}, err
	}
	if p.manifest.Revision == 0 {
		return port.Value{}, port.ErrNotFound
	}
	p.countBytes(v.vm, len(p.manifest.Content))
	return p.manifest, nil
}

// WatchManifest implements port.Platform.
func (v *view) WatchManifest(ctx context.Context, after uint64) (port.Value, error) {
	v.applyDelay(ctx)
	p := v.platform
	timeout := time.NewTimer(WatchWait)
	defer timeout.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginRead(v.vm, &p.reads.Watches); err != nil {
		return port.Value{}, err
	}
	for p.manifest.Revision <= after {
		if !v.wait(ctx, timeout) {
			return port.Value{}, port.ErrUnchanged
		}
		if err := p.reachable(v.vm); err != nil {
			return port.Value{}, err
		}
	}
	p.countBytes(v.vm, len(p.manifest.Content))
	return p.manifest, nil
}

// wait releases mu until the platform changes. It returns false if ctx or the
// timeout ends first.
func (v *view) wait(ctx context.Context, timeout *time.Timer) bool {
	changed := v.platform.changed
	v.platform.mu.Unlock()
	defer v.platform.mu.Lock()
	select {
	case <-changed:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// Part implements port.Platform.
func (v *view) Part(ctx context.Context, hash snapshot.Hash) ([]byte, error) {
	v.applyDelay(ctx)
	p := v.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginRead(v.vm, &p.reads.Parts); err != nil {
		return nil, err
	}
	raw, ok := p.parts[hash]
	if !ok {
		return nil, port.ErrNotFound
	}
	p.countBytes(v.vm, len(raw))
	return raw, nil
}

// VMs implements port.Platform.
func (v *view) VMs(ctx context.Context) ([]membership.Record, error) {
	v.applyDelay(ctx)
	p := v.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginRead(v.vm, &p.reads.Lists); err != nil {
		return nil, err
	}
	return p.vms, nil
}
