package memnet

import (
	"context"
	"time"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
	"tamarackquay/internal/wait"
)

// view is the platform as one VM sees it: with that VM's cuts and delays.
type view struct {
	platform *Platform
	vm       membership.VM
}

func (v *view) travel(ctx context.Context) {
	v.platform.mu.Lock()
	delay := v.platform.delay(v.vm)
	v.platform.mu.Unlock()
	wait.Sleep(ctx, delay)
}

// Manifest implements port.Platform.
func (v *view) Manifest(ctx context.Context) (port.Value, error) {
	v.travel(ctx)
	p := v.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(v.vm, &p.reads.Manifests); err != nil {
		return port.Value{}, err
	}
	if p.manifest.Revision == 0 {
		return port.Value{}, port.ErrNotFound
	}
	p.send(v.vm, len(p.manifest.Content))
	return p.manifest, nil
}

// WatchManifest implements port.Platform.
func (v *view) WatchManifest(ctx context.Context, after uint64) (port.Value, error) {
	v.travel(ctx)
	p := v.platform
	end := time.NewTimer(WatchWait)
	defer end.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(v.vm, &p.reads.Watches); err != nil {
		return port.Value{}, err
	}
	for p.manifest.Revision <= after {
		if !v.wait(ctx, end) {
			return port.Value{}, port.ErrUnchanged
		}
		if err := p.reachable(v.vm); err != nil {
			return port.Value{}, err
		}
	}
	p.send(v.vm, len(p.manifest.Content))
	return p.manifest, nil
}

// wait gives up mu until something changed; it reports whether something did.
func (v *view) wait(ctx context.Context, end *time.Timer) bool {
	changed := v.platform.changed
	v.platform.mu.Unlock()
	defer v.platform.mu.Lock()
	select {
	case <-changed:
		return true
	case <-end.C:
	case <-ctx.Done():
	}
	return false
}

// Part implements port.Platform.
func (v *view) Part(ctx context.Context, hash snapshot.Hash) ([]byte, error) {
	v.travel(ctx)
	p := v.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(v.vm, &p.reads.Parts); err != nil {
		return nil, err
	}
	raw, ok := p.parts[hash]
	if !ok {
		return nil, port.ErrNotFound
	}
	p.send(v.vm, len(raw))
	return raw, nil
}

// VMs implements port.Platform.
func (v *view) VMs(ctx context.Context) ([]membership.Record, error) {
	v.travel(ctx)
	p := v.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(v.vm, &p.reads.Lists); err != nil {
		return nil, err
	}
	return p.vms, nil
}
