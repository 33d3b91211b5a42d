package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
	"tamarackquay/internal/wait"
	"tamarackquay/standin/memnet"
)

// baseline is a simpler way to distribute versions: each node reads them from
// the platform by itself.
type baseline struct {
	name string
	// pollEvery is the time between polls; zero means a watch.
	pollEvery time.Duration
	// full means that all parts are read for each version, not only those that
	// changed.
	full bool
}

var baselines = []baseline{
	{name: "every node polls each 5 s", pollEvery: 5 * time.Second},
	{name: "every node watches"},
	{name: "every node watches, full snapshots", full: true},
}

// baselineFleet is a fleet of nodes that get versions from the platform only.
type baselineFleet struct {
	mu      sync.Mutex
	version []snapshot.Version
	at      []time.Time
}

func (f *baselineFleet) appliedAt(version snapshot.Version) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var times []time.Time
	for i, at := range f.at {
		if f.version[i] == version {
			times = append(times, at)
		}
	}
	return times
}

func (f *baselineFleet) traffic() memnet.Traffic { return memnet.Traffic{} }

func measureBaseline(t *testing.T, d deployment, count int, b baseline) figures {
	var f figures
	synctest.Test(t, func(t *testing.T) {
		m := emptyMesh(t, count, measuredDomains)
		m.links(d.domainLatency, regionLatency)
		fleet := &baselineFleet{version: make([]snapshot.Version, count), at: make([]time.Time, count)}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i := range count {
			platform := m.platform.For(meshVM(i, measuredDomains))
			running.Go(func() { fleet.follow(ctx, i, platform, b) })
		}
		f = measureFleet(m, fleet, count)
		cancel()
		running.Wait()
	})
	return f
}

// follow runs one node of a baseline.
func (f *baselineFleet) follow(ctx context.Context, i int, platform port.Platform, b baseline) {
	random := rand.New(rand.NewPCG(uint64(i), 1))
	wait.Sleep(ctx, time.Duration(random.Int64N(int64(3*time.Second))))
	var held snapshot.Parts
	var value port.Value
	var err error
	for ctx.Err() == nil {
		if value.Revision == 0 || b.pollEvery > 0 {
			value, err = platform.Manifest(ctx)
		} else if next, watchErr := platform.WatchManifest(ctx, value.Revision); watchErr == nil {
			value, err = next, nil
		} else {
			err = watchErr
		}
		if err == nil {
			held = f.apply(ctx, i, platform, value, held, b.full)
		}
		if b.pollEvery > 0 || err != nil && !errors.Is(err, port.ErrUnchanged) {
			wait.Sleep(ctx, max(b.pollEvery, time.Second))
		}
	}
}

func (f *baselineFleet) apply(ctx context.Context, i int, platform port.Platform, value port.Value, held snapshot.Parts, full bool) snapshot.Parts {
	manifest, err := snapshot.DecodeManifest(value.Content)
	if err != nil || manifest.Version == f.version[i] {
		return held
	}
	if full {
		held = nil
	}
	fresh := snapshot.Parts{}
	for {
		chosen, missing, err := snapshot.Select(manifest, fresh, held)
		if err != nil || ctx.Err() != nil {
			return held
		}
		if len(missing) == 0 {
			held = chosen
			break
		}
		for _, hash := range missing {
			if raw, err := platform.Part(ctx, hash); err == nil {
				fresh[hash] = raw
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version[i], f.at[i] = manifest.Version, time.Now()
	return held
}

// The baselines must distribute versions themselves, or a comparison with them
// would be meaningless.
func TestBaselinesConverge(t *testing.T) {
	for _, b := range baselines {
		f := measureBaseline(t, coOperative, 12, b)
		assert.Check(t, f.max > 0 && f.max < 15*time.Second, "%s: %s", b.name, f.max)
	}
}
