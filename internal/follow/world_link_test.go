package follow

import (
	"context"
	"sync"
	"time"

	"tamarackquay/internal/mesh"
	"tamarackquay/internal/wait"
)

// link is one node's way to the platform and to other nodes.
type link struct {
	world *world
	node  string
}

// gate waits for the answer that never comes on a cut link, and returns at once
// what a refusal says.
func (l *link) gate(ctx context.Context) error {
	l.world.mu.Lock()
	cut, refused := l.world.cut[l.node], l.world.refused[l.node]
	if refused && !cut {
		l.world.tries++
	}
	l.world.mu.Unlock()
	if cut {
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		<-ctx.Done()
	}
	if cut || refused {
		return errAway
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
	if err := l.gate(ctx); err != nil {
		return nil, err
	}
	w := l.world
	w.mu.Lock()
	w.reads++
	w.lists++
	listing := &Listing{Config: w.config, Revision: w.revision, Answered: time.Now()}
	for _, target := range w.targets {
		listing.Targets = append(listing.Targets, target)
	}
	w.mu.Unlock()
	return listing, l.receive(ctx)
}

// cheapAge is how old what a cheap listing tells is.
const cheapAge = 2 * time.Second

// ListCheaply implements Platform.
func (l *link) ListCheaply(ctx context.Context) (*Listing, error) {
	if err := l.gate(ctx); err != nil {
		return nil, err
	}
	w := l.world
	w.mu.Lock()
	w.cheap++
	listing := &Listing{Answered: time.Now()}
	targets := map[string]mesh.Target{}
	for i, update := range w.history {
		if time.Since(w.recorded[i]) < cheapAge {
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
	return listing, l.receive(ctx)
}

// receive waits until an answer of the platform is here whole.
func (l *link) receive(ctx context.Context) error {
	l.world.mu.Lock()
	answering := l.world.answering
	l.world.mu.Unlock()
	if !wait.Sleep(ctx, answering) {
		return ctx.Err()
	}
	return l.gate(ctx)
}

func (l *link) Watch(ctx context.Context, after uint64, wait time.Duration) (*Changes, error) {
	if err := l.gate(ctx); err != nil {
		return nil, err
	}
	w := l.world
	w.mu.Lock()
	w.reads++
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if after < w.dropped {
			w.mu.Unlock()
			return nil, ErrHistoryGone
		}
		changes := w.since(after)
		changed := w.changed
		w.mu.Unlock()
		if changes.Revision > after {
			return changes, l.receive(ctx)
		}
		select {
		case <-changed:
		case <-timer.C:
			return &Changes{Revision: after, Answered: time.Now()}, l.gate(ctx)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		w.mu.Lock()
	}
}

func (w *world) since(after uint64) *Changes {
	changes := &Changes{Revision: after, Answered: time.Now()}
	for _, update := range w.history {
		// The age of a recorded update holds its revision.
		if revision := uint64(update.Age); revision > after {
			changes.Revision = revision
			changes.Targets = append(changes.Targets, update.Targets...)
			changes.Removed = append(changes.Removed, update.Removed...)
			if update.Config != nil {
				changes.Config, _ = update.Config.Apply(nil)
			}
		}
	}
	return changes
}

func (l *link) Follow(ctx context.Context, address string, held mesh.Held, take func(*mesh.Update) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := l.world
	w.mu.Lock()
	other, life := w.nodes[address], w.lives[address]
	own, theirs := w.crashes[l.node], w.crashes[address]
	w.mu.Unlock()
	if other == nil || life.Err() != nil || w.isCut(l.node, address) {
		return errAway
	}
	defer context.AfterFunc(life, cancel)()
	var noticing sync.WaitGroup
	defer noticing.Wait()
	defer cancel()
	near, far := end{l.node, own, own.NewFeed()}, end{address, theirs, theirs.NewFeed()}
	noticing.Go(func() { w.passNotices(ctx, near, far) })
	noticing.Go(func() { w.passNotices(ctx, far, near) })
	silence := time.AfterFunc(1200*time.Millisecond, cancel)
	queue := make(chan queuedUpdate, 64)
	var delivering sync.WaitGroup
	defer delivering.Wait()
	defer close(queue)
	delivering.Go(func() {
		for q := range queue {
			if !wait.Sleep(ctx, time.Until(q.due)) {
				continue
			}
			silence.Reset(1200 * time.Millisecond)
			if take(q.update) != nil {
				cancel()
			}
		}
	})
	return other.Serve(ctx, l.node, held, func(update *mesh.Update) error {
		if w.isCut(l.node, address) {
			return nil
		}
		// A feed's window holds one message: the next one is made when it has left.
		left := w.carry(address, update)
		wait.Sleep(ctx, time.Until(left))
		queue <- queuedUpdate{update: update, due: time.Now().Add(w.queueAt(address))}
		return nil
	})
}

// queuedUpdate is a message that waits at a full link.
type queuedUpdate struct {
	update *mesh.Update
	due    time.Time
}

// carry puts an update on the link of a node and returns when it has left.
func (w *world) carry(node string, update *mesh.Update) time.Time {
	return w.carryBytes(node, sizeOf(update))
}

func (w *world) carryBytes(node string, size int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[node] += size
	if w.linkRate == 0 {
		return time.Now()
	}
	free := w.linkFree[node]
	if now := time.Now(); free.Before(now) {
		free = now
	}
	w.linkFree[node] = free.Add(time.Duration(float64(size) / w.linkRate * float64(time.Second)))
	return w.linkFree[node]
}

// Bytes of the parts of an update: about what CBOR takes, with routes compressed.
const (
	beatBytes   = 60
	entryBytes  = 90
	routeBytes  = 12
	removeBytes = 20
)

func sizeOf(update *mesh.Update) int {
	size := beatBytes + entryBytes*len(update.Targets) + removeBytes*len(update.Removed)
	if update.Config != nil {
		size += routeBytes * len(update.Config.Changed)
	}
	return size
}

// takeSent returns the bytes of the node that has sent most since it was last asked, and
// of all nodes.
func (w *world) takeSent() (most, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, bytes := range w.sent {
		most = max(most, bytes)
		all += bytes
	}
	clear(w.sent)
	return most, all
}

func (w *world) queueAt(node string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queued == nil {
		return 0
	}
	return w.queued(node)
}

func (w *world) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[a] || w.cut[b]
}
