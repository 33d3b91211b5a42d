package memnet

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// Platform is a platform in memory. It is safe for concurrent use.
type Platform struct {
	mu       sync.Mutex
	manifest port.Value
	parts    snapshot.Parts
	vms      []membership.Record
	changed  chan struct{}
	down     bool
	reads    int
	bytes    int
}

var _ port.Platform = (*Platform)(nil)

// NewPlatform returns a platform on which nothing is published.
func NewPlatform() *Platform {
	return &Platform{parts: snapshot.Parts{}, changed: make(chan struct{})}
}

// Publish puts a publication out, whatever its version: operators can make
// mistakes, and a restored platform serves old versions again.
func (p *Platform) Publish(publication *snapshot.Publication) error {
	raw, err := publication.Manifest.Encode()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for hash, part := range publication.Parts {
		p.parts[hash] = part
	}
	p.manifest = port.Value{Revision: p.manifest.Revision + 1, Content: raw}
	p.wake()
	return nil
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown makes every read fail, or heals the platform.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetVMs changes the VM list.
func (p *Platform) SetVMs(vms []membership.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

// Reads returns how many reads and bytes were asked so far.
func (p *Platform) Reads() (reads, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.bytes
}

func (p *Platform) begin() error {
	p.reads++
	if p.down {
		return errors.Wrap(port.ErrUnreachable, "platform is down")
	}
	return nil
}

// Manifest implements port.Platform.
func (p *Platform) Manifest(context.Context) (port.Value, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(); err != nil {
		return port.Value{}, err
	}
	if p.manifest.Revision == 0 {
		return port.Value{}, port.ErrNotFound
	}
	p.bytes += len(p.manifest.Content)
	return p.manifest, nil
}

// WatchManifest implements port.Platform.
func (p *Platform) WatchManifest(ctx context.Context, after uint64) (port.Value, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(); err != nil {
		return port.Value{}, err
	}
	for p.manifest.Revision <= after {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
			p.mu.Lock()
		case <-ctx.Done():
			p.mu.Lock()
			return port.Value{}, port.ErrUnchanged
		}
		if p.down {
			return port.Value{}, errors.Wrap(port.ErrUnreachable, "platform went down")
		}
	}
	p.bytes += len(p.manifest.Content)
	return p.manifest, nil
}

// Part implements port.Platform.
func (p *Platform) Part(_ context.Context, hash snapshot.Hash) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(); err != nil {
		return nil, err
	}
	raw, ok := p.parts[hash]
	if !ok {
		return nil, port.ErrNotFound
	}
	p.bytes += len(raw)
	return raw, nil
}

// VMs implements port.Platform.
func (p *Platform) VMs(context.Context) ([]membership.Record, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(); err != nil {
		return nil, err
	}
	return p.vms, nil
}
