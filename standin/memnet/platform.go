package memnet

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// WatchWait is how long the platform lets a watch wait for news.
const WatchWait = 20 * time.Second

// Platform is a platform in memory. It is safe for concurrent use.
type Platform struct {
	mu       sync.Mutex
	manifest port.Value
	parts    snapshot.Parts
	vms      []membership.Record
	changed  chan struct{}
	down     bool
	cut      func(vm membership.VM) bool
	delay    func(vm membership.VM) time.Duration
	reads    Reads
	second   time.Time
}

// Reads counts what was asked of the platform. Each call is one read, a
// waiting watch too.
type Reads struct {
	Total, Manifests, Watches, Parts, Lists int
	// Peak is the most reads that began within one second of the clock.
	Peak int
	// Bytes is the content sent; CrossRegion the part of it that went to VMs
	// outside the region HomeRegion.
	Bytes, CrossRegion int

	inSecond int
}

// HomeRegion is where the stand-in counts the platform to be.
const HomeRegion = "region-0"

var _ port.Platform = (*Platform)(nil)

// NewPlatform returns a platform on which nothing is published.
func NewPlatform() *Platform {
	return &Platform{
		parts: snapshot.Parts{}, changed: make(chan struct{}),
		cut:   func(membership.VM) bool { return false },
		delay: func(membership.VM) time.Duration { return 0 },
	}
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

// Restore puts the platform back to an older copy: the publication is served
// under the revision that the copy had.
func (p *Platform) Restore(publication *snapshot.Publication, revision uint64) error {
	p.mu.Lock()
	p.manifest.Revision = revision - 1
	p.mu.Unlock()
	return p.Publish(publication)
}

// LosePart takes a part away, as an operator does who publishes the manifest
// before its parts.
func (p *Platform) DeletePart(hash snapshot.Hash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.parts, hash)
}

// PutPart stores a part under a hash, right or wrong.
func (p *Platform) PutPart(hash snapshot.Hash, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parts[hash] = raw
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

// Cut sets which VMs can't reach the platform.
func (p *Platform) SetPartition(cut func(vm membership.VM) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.wake()
}

// Delay sets how long a read takes there and back.
func (p *Platform) SetDelay(delay func(vm membership.VM) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
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
	return p.reads.Total, p.reads.Bytes
}

// TakeReads returns the counts so far and starts them anew.
func (p *Platform) TakeReads() Reads {
	p.mu.Lock()
	defer p.mu.Unlock()
	reads := p.reads
	p.reads = Reads{}
	return reads
}

// For returns the platform as one VM sees it.
func (p *Platform) For(vm membership.VM) port.Platform { return &view{platform: p, vm: vm} }

// Manifest implements port.Platform.
func (p *Platform) Manifest(ctx context.Context) (port.Value, error) {
	return p.For(membership.VM{}).Manifest(ctx)
}

// WatchManifest implements port.Platform.
func (p *Platform) WatchManifest(ctx context.Context, after uint64) (port.Value, error) {
	return p.For(membership.VM{}).WatchManifest(ctx, after)
}

// Part implements port.Platform.
func (p *Platform) Part(ctx context.Context, hash snapshot.Hash) ([]byte, error) {
	return p.For(membership.VM{}).Part(ctx, hash)
}

// VMs implements port.Platform.
func (p *Platform) VMs(ctx context.Context) ([]membership.Record, error) {
	return p.For(membership.VM{}).VMs(ctx)
}

// begin counts a read; the caller holds mu.
func (p *Platform) begin(vm membership.VM, kind *int) error {
	*kind++
	p.reads.Total++
	if second := time.Now().Truncate(time.Second); !second.Equal(p.second) {
		p.second, p.reads.inSecond = second, 0
	}
	p.reads.inSecond++
	p.reads.Peak = max(p.reads.Peak, p.reads.inSecond)
	return p.reachable(vm)
}

func (p *Platform) reachable(vm membership.VM) error {
	if p.down || p.cut(vm) {
		return errors.Wrap(port.ErrUnreachable, "platform can't be reached")
	}
	return nil
}

// send counts content on its way; the caller holds mu.
func (p *Platform) send(vm membership.VM, size int) {
	p.reads.Bytes += size
	if vm.Region != "" && vm.Region != HomeRegion {
		p.reads.CrossRegion += size
	}
}
