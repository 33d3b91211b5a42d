package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
	"tamarackquay/internal/port"
)

// read is the loop that reads the platform while this node is a reader or its
// neighbours' word is old.
func (f *Follower) read(ctx context.Context) {
	if f.config.FirstStart {
		f.begin(ctx)
	}
	failures := 0
	for ctx.Err() == nil {
		if !f.mayRead() {
			failures = 0
			f.await(ctx, f.untilRead())
			continue
		}
		changed, err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrHistoryGone) {
			f.log.Warn().Uint64(logfield.Revision, f.revision).Msg("platform dropped its history; listing anew")
			f.revision = 0
			f.historyGone = true
			continue
		}
		f.noteContact(err)
		if err != nil {
			failures = f.retryPause(ctx, failures+1)
			continue
		}
		failures = 0
		if changed {
			f.pause(ctx, coalesce)
		}
	}
}

// begin learns from a cheap listing who else there is, and most of the view, in a first
// start of the fleet. What is missing comes from neighbours: the platform would else be
// listed as often as there are nodes. While it has no configuration or lists no target,
// each node for itself would take itself for a reader, so it is asked again a little later.
// Nodes that start later list in full: callers wait for them, and the way by the readers
// takes longer.
func (f *Follower) begin(ctx context.Context) {
	for pause := beginFirst; ; pause *= 2 {
		listing, err := f.platform.ListCheaply(ctx)
		f.countRead("cheap list", err)
		if err != nil {
			f.log.Info().Err(err).Msg("no cheap listing")
			return
		}
		if listing.Config != nil && len(listing.Targets) > 0 {
			f.beginWith(listing)
			return
		}
		if pause > beginMost || !f.pause(ctx, pause) {
			return
		}
	}
}

func (f *Follower) beginWith(listing *Listing) {
	f.begun = f.clock.Now()
	update := &mesh.Update{Targets: listing.Targets, Age: -1, Revision: listing.Revision}
	f.addConfig(update, listing.Config)
	if err := f.apply(update, listing.Answered); err != nil {
		f.log.Warn().Err(err).Msg("cheap listing not taken")
	}
}

// mayRead decides whether this node reads the platform now. The first reader of
// a region does, unless one that is much nearer to the platform keeps its view
// fresh: a whole configuration of 80 KB would else cross to each region with
// each change, where a delta has a few hundred bytes. Others read when the view
// is old, one rank after another.
func (f *Follower) mayRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lag := f.view.Lag(f.clock.Now())
	rank := f.rank()
	if lag < 0 {
		patience := startPatience + time.Duration(rank)*startGap
		return rank < readers || f.begun.IsZero() || f.clock.Now().Sub(f.begun) > patience
	}
	if rank == 0 {
		return f.clock.Now().Sub(f.nearerAt) > f.pace.fartherAfter
	}
	return lag > f.staleAfter()+f.pace.stepInAfter(rank)
}

// untilRead is in what time this node may have to read the platform, if it hears nothing
// until then.
func (f *Follower) untilRead() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	lag := f.view.Lag(now)
	if lag < 0 {
		return 0
	}
	rank := f.rank()
	if rank == 0 {
		return f.pace.fartherAfter - now.Sub(f.nearerAt)
	}
	return f.staleAfter() + f.pace.stepInAfter(rank) - lag
}

// staleAfter is the lag from which the first node that isn't a reader steps in. Where the
// readers' feeds have broken, or a reader told that the platform turned it away, there is
// nothing to wait for. It must be called with the mutex held.
func (f *Follower) staleAfter() time.Duration {
	if f.orphaned() || f.view.ReadFailed() {
		return f.pace.orphanedAfter
	}
	return f.pace.staleAfter
}

// retryPause waits after so many failures in a row and returns how many still
// count. It ends when this node needn't read any more: neighbours have updates, so
// the platform is back, and the next time that the view gets old must not find
// this node in a pause of seconds.
func (f *Follower) retryPause(ctx context.Context, failures int) int {
	until := f.clock.Now().Add(f.backoff(failures))
	for f.clock.Now().Before(until) {
		if !f.pause(ctx, min(until.Sub(f.clock.Now()), tickInterval)) {
			break
		}
		if !f.mayRead() {
			return 0
		}
	}
	return failures
}

func (f *Follower) backoff(failures int) time.Duration {
	f.mu.Lock()
	first, most := f.pace.retryPauses(f.rank())
	if f.view.Table() == nil {
		first, most = f.pace.retryPauses(0)
	}
	f.mu.Unlock()
	return min(first<<min(failures-1, 8), most)
}

// readOnce lists the platform the first time and watches it then. A node that knows the
// view of a neighbour watches from there: a listing has all targets and the whole
// configuration.
func (f *Follower) readOnce(ctx context.Context) (changed bool, err error) {
	if !f.historyGone {
		f.mu.Lock()
		f.revision = max(f.revision, f.view.Revision())
		f.mu.Unlock()
	}
	if f.revision == 0 {
		err := f.list(ctx)
		f.countRead("list", err)
		return true, err
	}
	wait := f.pace.watchWait
	if !f.lostAt.IsZero() || f.Age() < 0 {
		// The first answer of all and after an outage is wanted at once: it makes the
		// view current for all who follow.
		wait = 0
	}
	changes, err := f.platform.Watch(ctx, f.revision, wait)
	f.countRead("watch", err)
	if err != nil {
		return false, err
	}
	f.revision = max(f.revision, changes.Revision)
	update := &mesh.Update{Targets: changes.Targets, Removed: changes.Removed, RTT: f.platform.RTT(), Revision: f.revision}
	grace := f.removalGrace()
	for i := range update.Removed {
		update.Removed[i].Grace = grace
	}
	f.addConfig(update, changes.Config)
	return !update.Empty(), f.apply(update, changes.Answered)
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
	update := &mesh.Update{Targets: listing.Targets, RTT: f.platform.RTT(), Revision: listing.Revision}
	grace := f.removalGrace()
	f.mu.Lock()
	update.Removed = f.view.Listed(listing.Targets, listing.Revision, grace)
	f.mu.Unlock()
	f.addConfig(update, listing.Config)
	f.revision = listing.Revision
	f.historyGone = false
	return f.apply(update, listing.Answered)
}

// addConfig adds a configuration as a step from what is in force.
func (f *Follower) addConfig(update *mesh.Update, config *mesh.Config) {
	if config != nil {
		update.Config = mesh.Diff(nil, config)
	}
}

// removalGrace is for how long targets stay in use whose entries are gone: for a
// while where the platform is back so lately that live targets may not have renewed
// them. Failed reads of neighbours count like this node's own: a node that was only
// ever told by its neighbours would else be the one that drops every target, and tell
// the others.
func (f *Follower) removalGrace() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if f.view.Outage(now) || !f.returned.IsZero() && now.Sub(f.returned) < settle {
		return mesh.SuspectGrace
	}
	return 0
}

// noteContact tells of the platform's loss and return.
func (f *Follower) noteContact(err error) {
	now := f.clock.Now()
	if err != nil {
		f.mu.Lock()
		f.view.NoteFailedRead(now)
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
