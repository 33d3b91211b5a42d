package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
)

// read reads the platform in a loop while this node is a reader or its neighbours' updates
// are stale.
func (f *Follower) read(ctx context.Context) {
	if f.config.FirstStart {
		f.bootstrap(ctx)
	}
	failures := 0
	for ctx.Err() == nil {
		if !f.shouldRead() {
			failures = 0
			f.await(ctx, f.untilRead())
			continue
		}
		changed, err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if f.revision > 0 && (errors.Is(err, ErrCompacted) || errors.Is(err, ErrTooLarge)) {
			f.log.Warn().Uint64(logfield.Revision, f.revision).Err(err).Msg("making a full listing of the platform")
			f.revision = 0
			f.relist = true
			continue
		}
		f.recordReadResult(err)
		if err != nil {
			failures = f.waitRetry(ctx, failures+1)
			continue
		}
		failures = 0
		if changed {
			f.pause(ctx, coalesceDelay)
		}
	}
}

// bootstrap loads the list of nodes and most of the view from a stale listing at the first
// start of the fleet. The rest comes from neighbours; otherwise every node would make a
// full listing of the platform. While the platform holds no configuration or lists no
// targets, every node would consider itself a reader, so the listing is repeated a little
// later. Nodes that start later make a full listing: callers are waiting for them, and
// receiving the view through the readers takes longer.
func (f *Follower) bootstrap(ctx context.Context) {
	for pause := initialBootstrapDelay; ; pause *= 2 {
		listing, err := f.platform.ListStale(ctx)
		f.countRead("cheap list", err)
		if err != nil {
			f.log.Info().Err(err).Msg("stale listing failed")
			return
		}
		if listing.Config != nil && len(listing.Targets) > 0 {
			f.applyBootstrap(listing)
			return
		}
		if pause > maxBootstrapDelay || !f.pause(ctx, pause) {
			return
		}
	}
}

func (f *Follower) applyBootstrap(listing *Listing) {
	f.bootstrappedAt = f.clock.Now()
	update := completeUpdate(listing)
	update.Age = -1
	if err := f.apply(update, listing.RespondedAt); err != nil {
		f.log.Warn().Err(err).Msg("stale listing could not be applied")
	}
}

// shouldRead reports whether this node reads the platform now. The first reader of a region
// does, unless a reader much nearer to the platform keeps its view current: each change
// would otherwise transfer the complete configuration of 80 KB to each region, where a
// delta takes a few hundred bytes. Other nodes read when the view is stale, staggered by
// rank.
func (f *Follower) shouldRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.view.MembersAge(f.clock.Now())
	rank := f.rank()
	if age < 0 {
		wait := startWait + time.Duration(rank)*startStagger
		return rank < readers || f.bootstrappedAt.IsZero() || f.clock.Now().Sub(f.bootstrappedAt) > wait
	}
	if rank == 0 {
		return f.clock.Now().Sub(f.nearerReaderAt) > f.timing.farReaderAfter
	}
	return age > f.staleAfter()+f.timing.failoverDelay(rank)
}

// untilRead returns the time until this node may have to read the platform if it receives
// no update before.
func (f *Follower) untilRead() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	age := f.view.MembersAge(now)
	if age < 0 {
		return 0
	}
	rank := f.rank()
	if rank == 0 {
		return f.timing.farReaderAfter - now.Sub(f.nearerReaderAt)
	}
	return f.staleAfter() + f.timing.failoverDelay(rank) - age
}

// staleAfter returns the age of the view at which the first node that isn't a reader fails
// over to reading the platform. It is shorter if the readers' feeds are broken or a read of
// the platform is known to have failed, as there is nothing left to wait for. It must be
// called with the mutex held.
func (f *Follower) staleAfter() time.Duration {
	if f.orphaned() || f.view.ReadFailed() {
		return f.timing.orphanedAfter
	}
	return f.timing.staleAfter
}

// waitRetry waits after the given number of consecutive failures and returns how many of
// them still count. It returns early if this node no longer has to read: neighbours have
// updates, so the platform is back, and this node must not be in a pause of seconds the
// next time the view becomes stale.
func (f *Follower) waitRetry(ctx context.Context, failures int) int {
	until := f.clock.Now().Add(f.backoff(failures))
	for f.clock.Now().Before(until) {
		if !f.pause(ctx, min(until.Sub(f.clock.Now()), minTick)) {
			break
		}
		if !f.shouldRead() {
			return 0
		}
	}
	return failures
}

func (f *Follower) backoff(failures int) time.Duration {
	f.mu.Lock()
	first, most := f.timing.backoffBounds(f.rank())
	if f.view.Table() == nil {
		first, most = f.timing.backoffBounds(0)
	}
	f.mu.Unlock()
	return min(first<<min(failures-1, 8), most)
}

// readOnce makes a full listing of the platform the first time and watches it afterwards. A
// node that has received a neighbour's view watches from that revision instead, because a
// listing contains all targets and the complete configuration.
func (f *Follower) readOnce(ctx context.Context) (changed bool, err error) {
	if !f.relist {
		f.mu.Lock()
		f.revision = max(f.revision, f.view.Revision())
		f.mu.Unlock()
	}
	if f.revision == 0 {
		err := f.list(ctx)
		f.countRead("list", err)
		return true, err
	}
	wait := f.timing.watchTimeout
	if !f.lostAt.IsZero() || f.Age() < 0 {
		// The first response ever, and the first after an outage, must come immediately:
		// it makes the view current for all followers.
		wait = 0
	}
	changes, err := f.platform.Watch(ctx, f.revision, wait)
	f.countRead("watch", err)
	if err != nil {
		return false, err
	}
	f.revision = max(f.revision, changes.Revision)
	update := &mesh.Update{Targets: changes.Targets, Removed: changes.Removed, Evacuations: changes.Evacuations, RTT: f.platform.RTT(), Revision: f.revision}
	for i := range update.Removed {
		update.Removed[i].Grace = mesh.SuspectGrace
	}
	addConfig(update, changes.Config)
	return !update.Empty(), f.apply(update, changes.RespondedAt)
}

func (f *Follower) countRead(what string, err error) {
	result := " ok"
	if err != nil {
		result = " failed"
	}
	f.meter.Count(port.MetricPlatformReads, what+result, 1)
}

func (f *Follower) list(ctx context.Context) error {
	listing, err := f.platform.List(ctx)
	if err != nil {
		return err
	}
	update := completeUpdate(listing)
	update.RTT = f.platform.RTT()
	f.revision = listing.Revision
	f.relist = false
	return f.apply(update, listing.RespondedAt)
}

// completeUpdate returns an update with the complete contents of the platform. It tells nothing
// of what ended before them.
func completeUpdate(listing *Listing) *mesh.Update {
	update := &mesh.Update{
		Targets: listing.Targets, Evacuations: listing.Evacuations, Revision: listing.Revision,
		Complete: true, RecordedSince: listing.Revision,
	}
	addConfig(update, listing.Config)
	return update
}

// addConfig adds a configuration to the update as a delta without a base.
func addConfig(update *mesh.Update, config *mesh.Config) {
	if config != nil {
		update.Config = mesh.Diff(nil, config)
	}
}

// removalGrace returns how long targets whose entries were removed stay in use. It is above
// zero during a platform outage and for mesh.SuspectGrace after it, in which live targets renew
// their leases. Reads that failed on neighbours count like this node's own: otherwise a node that
// only ever received updates from neighbours would drop all targets and propagate the removals. It
// must be called with the mutex held.
func (f *Follower) removalGrace(now time.Time) time.Duration {
	switch {
	case f.view.Outage(now):
		return mesh.SuspectGrace
	case f.recoveredAt.IsZero():
		return 0
	}
	return max(0, f.recoveredAt.Add(mesh.SuspectGrace).Sub(now))
}

// limitGrace limits the grace of the removals in an update, its own reads included, to the one that
// this node grants. A sender that was cut off takes that for an outage; if this node has been current
// meanwhile, the platform was available. It must be called with the mutex held.
func (f *Follower) limitGrace(now time.Time, update *mesh.Update) {
	grace := f.removalGrace(now)
	for i := range update.Removed {
		update.Removed[i].Grace = min(update.Removed[i].Grace, grace)
	}
}

// recordReadResult records the result of a read and logs the loss and the return of the
// platform.
func (f *Follower) recordReadResult(err error) {
	now := f.clock.Now()
	if err != nil {
		f.mu.Lock()
		f.view.RecordFailedRead(now)
		f.mu.Unlock()
		if f.lostAt.IsZero() {
			f.lostAt = now
			f.log.Warn().Err(err).Uint64(logfield.Revision, f.revision).Msg("platform lost")
		}
		return
	}
	if !f.lostAt.IsZero() {
		f.log.Info().Int64(logfield.Elapsed, now.Sub(f.lostAt).Milliseconds()).Uint64(logfield.Revision, f.revision).Msg("platform regained")
		f.lostAt = time.Time{}
	}
}
