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

// WatchWait is how long a watch waits for a change.
const WatchWait = 20 * time.Second

// Platform is an in-memory platform. It is safe for concurrent use.
type Platform struct {
	mu            sync.Mutex
	manifest      port.Value
	parts         snapshot.Parts
	vms           []membership.Record
	changed       chan struct{}
	down          bool
	partitioned   func(vm membership.VM) bool
	delay         func(vm membership.VM) time.Duration
	reads         Reads
	currentSecond time.Time
}

// Reads counts the reads from the platform. Each call is one read, also a watch that
// waits.
type Reads struct {
	Total, Manifests, Watches, Parts, Lists int
	// Peak is the maximum number of reads started within one second of the clock.
	Peak int
	// Bytes is the size of the content sent, CrossRegion of the part sent to VMs
	// outside HomeRegion.
	Bytes, CrossRegion int

	inSecond int
}

// HomeRegion is the region of the platform.
const HomeRegion = "region-0"

var _ port.Platform = (*Platform)(nil)

// NewPlatform returns a platform on which nothing is published.
func NewPlatform() *Platform {
	return &Platform{
		parts: snapshot.Parts{}, changed: make(chan struct{}),
		partitioned: func(membership.VM) bool { return false },
		delay:       func(membership.VM) time.Duration { return 0 },
	}
}

// Publish replaces the published version without checking that the new one is
// newer: operators make mistakes, and a restored platform serves old versions
// again.
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
	p.notifyWatches()
	return nil
}

// Restore restores the platform from an older copy: it serves the publication under
// the revision of the copy.
func (p *Platform) Restore(publication *snapshot.Publication, revision uint64) error {
	p.mu.Lock()
	p.manifest.Revision = revision - 1
	p.mu.Unlock()
	return p.Publish(publication)
}

// DeletePart removes a part, as if an operator had published the manifest before its
// parts.
func (p *Platform) DeletePart(hash snapshot.Hash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.parts, hash)
}

// PutPart stores a part under a hash, which need not match the content.
func (p *Platform) PutPart(hash snapshot.Hash, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parts[hash] = raw
}

func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown sets whether every read fails.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatches()
}

// SetPartition sets which VMs can't reach the platform.
func (p *Platform) SetPartition(partitioned func(vm membership.VM) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = partitioned
	p.notifyWatches()
}

// SetDelay sets the round-trip delay of reads.
func (p *Platform) SetDelay(delay func(vm membership.VM) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []membership.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

// TakeReads returns the counts since the last call and resets them.
func (p *Platform) TakeReads() Reads {
	p.mu.Lock()
	defer p.mu.Unlock()
	reads := p.reads
	p.reads = Reads{}
	return reads
}

// For returns the platform port of one VM.
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

// beginRead counts a read and checks that the platform is reachable. The caller must
// hold mu.
func (p *Platform) beginRead(vm membership.VM, kind *int) error {
	*kind++
	p.reads.Total++
	if second := time.Now().Truncate(time.Second); !second.Equal(p.currentSecond) {
		p.currentSecond, p.reads.inSecond = second, 0
	}
	p.reads.inSecond++
	p.reads.Peak = max(p.reads.Peak, p.reads.inSecond)
	return p.reachable(vm)
}

func (p *Platform) reachable(vm membership.VM) error {
	if p.down || p.partitioned(vm) {
		return errors.Wrap(port.ErrUnreachable, "platform unreachable")
	}
	return nil
}

// countBytes counts content that is sent. The caller must hold mu.
func (p *Platform) countBytes(vm membership.VM, size int) {
	p.reads.Bytes += size
	if vm.Region != "" && vm.Region != HomeRegion {
		p.reads.CrossRegion += size
	}
}
