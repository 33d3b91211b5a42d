package follow

import (
	"context"
	"sync"
	"time"

	"tamarackquay/internal/mesh"
	"tamarackquay/internal/wait"
)

// link is one node's connection to the platform and to other nodes.
type link struct {
	world *world
	node  string
}

// checkAccess fails after a timeout if the node's link is cut, and at once if the platform
// rejects the node.
func (l *link) checkAccess(ctx context.Context) error {
	l.world.mu.Lock()
	cut, rejected := l.world.cut[l.node], l.world.rejected[l.node]
	if rejected && !cut {
		l.world.rejectedCalls++
	}
	l.world.mu.Unlock()
	if cut {
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		<-ctx.Done()
	}
	if cut || rejected {
		return errUnreachable
	}
	return nil
}

// RTT implements Platform: region a is near the platform.
func (l *link) RTT() time.Duration {
	if l.node[0] == 'a' {
		return time.Millisecond
	}
	return 40 * time.Millisecond
}

func (l *link) List(ctx context.Context) (*Listing, error) {
	if err := l.checkAccess(ctx); err != nil {
		return nil, err
	}
	w := l.world
	w.mu.Lock()
	w.reads++
	w.lists++
	listing := &Listing{Config: w.config, Revision: w.revision, RespondedAt: time.Now()}
	for _, target := range w.targets {
		listing.Targets = append(listing.Targets, target)
	}
	for _, evacuation := range w.evacuations {
		listing.Evacuations = append(listing.Evacuations, evacuation)
	}
	w.mu.Unlock()
	return listing, l.awaitResponse(ctx)
}

// staleListAge is the age of the contents of a stale listing.
const staleListAge = 2 * time.Second

// ListStale implements Platform.
func (l *link) ListStale(ctx context.Context) (*Listing, error) {
	if err := l.checkAccess(ctx); err != nil {
		return nil, err
	}
	w := l.world
	w.mu.Lock()
	w.staleLists++
	listing := &Listing{RespondedAt: time.Now()}
	targets := map[string]mesh.Target{}
	for i, update := range w.history {
		if time.Since(w.recorded[i]) < staleListAge {
			break
		}
		if update.Config != nil {
			listing.Config, _ = update.Config.Apply(nil)
			listing.Revision = uint64(update.Age)
		}
		for _, target := range update.Targets {
			targets[target.ID] = target
			listing.Revision = target.Revision
		}
		for _, removal := range update.Removed {
			delete(targets, removal.ID)
		}
	}
	for _, target := range targets {
		listing.Targets = append(listing.Targets, target)
	}
	w.mu.Unlock()
	return listing, l.awaitResponse(ctx)
}

// awaitResponse waits until a response of the platform has arrived completely.
func (l *link) awaitResponse(ctx context.Context) error {
	l.world.mu.Lock()
	delay := l.world.responseDelay
	l.world.mu.Unlock()
	if !wait.Sleep(ctx, delay) {
		return ctx.Err()
	}
	return l.checkAccess(ctx)
}

func (l *link) Watch(ctx context.Context, after uint64, wait time.Duration) (*Changes, error) {
	if err := l.checkAccess(ctx); err != nil {
		return nil, err
	}
	w := l.world
	w.mu.Lock()
	w.reads++
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if after < w.compacted {
			w.mu.Unlock()
			return nil, ErrCompacted
		}
		if after < w.oversizedBefore {
			w.mu.Unlock()
			return nil, ErrTooLarge
		}
		changes := w.since(after)
		changed := w.changed
		w.mu.Unlock()
		if changes.Revision > after {
			return changes, l.awaitResponse(ctx)
		}
		select {
		case <-changed:
		case <-timer.C:
			return &Changes{Revision: after, RespondedAt: time.Now()}, l.checkAccess(ctx)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		w.mu.Lock()
	}
}

func (w *world) since(after uint64) *Changes {
	changes := &Changes{Revision: after, RespondedAt: time.Now()}
	for _, update := range w.history {
		// The Age field of a recorded update holds its revision.
		if revision := uint64(update.Age); revision > after {
			changes.Revision = revision
			changes.Targets = append(changes.Targets, update.Targets...)
			changes.Removed = append(changes.Removed, update.Removed...)
			changes.Evacuations = append(changes.Evacuations, update.Evacuations...)
			if update.Config != nil {
				changes.Config, _ = update.Config.Apply(nil)
			}
		}
	}
	return changes
}

func (l *link) Follow(ctx context.Context, address string, checkpoint mesh.Checkpoint, take func(*mesh.Update) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := l.world
	w.mu.Lock()
	other, process := w.nodes[address], w.processes[address]
	local, remote := w.crashes[l.node], w.crashes[address]
	w.mu.Unlock()
	if other == nil || process.Err() != nil || w.isCut(l.node, address) {
		return errUnreachable
	}
	defer context.AfterFunc(process, cancel)()
	var noticing sync.WaitGroup
	defer noticing.Wait()
	defer cancel()
	near, far := feedEnd{l.node, local, local.NewFeed()}, feedEnd{address, remote, remote.NewFeed()}
	noticing.Go(func() { w.sendNotices(ctx, near, far) })
	noticing.Go(func() { w.sendNotices(ctx, far, near) })
	idleTimer := time.AfterFunc(1200*time.Millisecond, cancel)
	queue := make(chan queuedUpdate, 64)
	var delivering sync.WaitGroup
	defer delivering.Wait()
	defer close(queue)
	delivering.Go(func() {
		for q := range queue {
			if !wait.Sleep(ctx, time.Until(q.due)) {
				continue
			}
			idleTimer.Reset(1200 * time.Millisecond)
			if take(q.update) != nil {
				cancel()
			}
		}
	})
	lost := false
	return other.Serve(ctx, l.node, checkpoint, func(update *mesh.Update) error {
		// Nothing arrives on a connection after what was lost.
		lost = lost || w.isCut(l.node, address)
		if lost {
			return nil
		}
		// A feed's window holds one message: the next one is created when it has left the
		// link.
		left := w.transmit(address, update)
		wait.Sleep(ctx, time.Until(left))
		queue <- queuedUpdate{update: update, due: time.Now().Add(w.queueDelayAt(address))}
		return nil
	})
}

// queuedUpdate is a message that is queued at a full link.
type queuedUpdate struct {
	update *mesh.Update
	due    time.Time
}

// transmit sends an update over a node's link and returns when it has left.
func (w *world) transmit(node string, update *mesh.Update) time.Time {
	return w.transmitBytes(node, sizeOf(update))
}

func (w *world) transmitBytes(node string, size int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sentBytes[node] += size
	if w.linkRate == 0 {
		return time.Now()
	}
	free := w.linkFreeAt[node]
	if now := time.Now(); free.Before(now) {
		free = now
	}
	w.linkFreeAt[node] = free.Add(time.Duration(float64(size) / w.linkRate * float64(time.Second)))
	return w.linkFreeAt[node]
}

// Approximate sizes of the parts of an update in CBOR, with compressed routes.
const (
	heartbeatBytes = 60
	entryBytes     = 90
	routeBytes     = 12
	removeBytes    = 20
	idBytes        = 12
)

func sizeOf(update *mesh.Update) int {
	size := heartbeatBytes + entryBytes*len(update.Targets) + removeBytes*len(update.Removed) + idBytes*len(update.Unchanged)
	if update.Config != nil {
		size += routeBytes * len(update.Config.Changed)
	}
	return size
}

// takeSent returns the bytes sent since the last call by the node that sent most, and by
// all nodes.
func (w *world) takeSent() (most, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, bytes := range w.sentBytes {
		most = max(most, bytes)
		all += bytes
	}
	clear(w.sentBytes)
	return most, all
}

func (w *world) queueDelayAt(node string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queueDelay == nil {
		return 0
	}
	return w.queueDelay(node)
}

func (w *world) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[a] || w.cut[b]
}
