package node

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

func TestJudgeHealth(t *testing.T) {
	one, two := snapshot.Version{Epoch: 1, Revision: 1}, snapshot.Version{Epoch: 1, Revision: 2}
	down := PlatformContact{State: PlatformUnreachable}
	for _, test := range []struct {
		desc    string
		facts   healthFacts
		want    HealthState
		reasons int
	}{
		{"fresh process", healthFacts{}, HealthNotReady, 1},
		{"newest word in force", healthFacts{ready: true, applied: one, reported: one}, HealthReady, 0},
		{"serves while a newer one was reported", healthFacts{ready: true, applied: one, reported: two}, HealthOldConfiguration, 1},
		{"serves while the platform is down", healthFacts{ready: true, applied: one, platform: down}, HealthOldConfiguration, 1},
		{"waits for a reported version", healthFacts{applied: one, reported: two}, HealthNotReady, 1},
		{"stops in an outage", healthFacts{stopping: true, ready: true, applied: one, platform: down}, HealthStopping, 2},
	} {
		t.Run(test.desc, func(t *testing.T) {
			state, reasons := judgeHealth(test.facts)
			assert.Equal(t, state, test.want)
			assert.Equal(t, len(reasons), test.reasons, "%v", reasons)
		})
	}
}

func TestHealthKeepsTheTimeOfItsLastChange(t *testing.T) {
	start := time.Unix(100, 0)
	health := Health{}.next(start, HealthReady, nil)
	health = health.next(start.Add(time.Second), HealthReady, nil)
	assert.Equal(t, health.Since, start)
	health = health.next(start.Add(2*time.Second), HealthStopping, nil)
	assert.Equal(t, health.Since, start.Add(2*time.Second))
}

type fakePlatform struct {
	port.Platform
	err error
}

func (f *fakePlatform) VMs(context.Context) ([]membership.Record, error) { return nil, f.err }

type countingMeter map[string]int

func (m countingMeter) Count(metric port.Metric, label string, n int) { m[label] += n }
func (m countingMeter) Set(port.Metric, string, float64)              {}

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Unix(100, 0) }

// One lost connection is no outage, so the operator is told of neither its
// beginning nor its end; three failed reads in a row are, and the first answer
// ends it. A read that the node itself cancelled at its stop tells nothing.
func TestPlatformCountsAsUnreachableAfterThreeFailures(t *testing.T) {
	inner := &fakePlatform{}
	meter := countingMeter{}
	var told []PlatformState
	observed := observePlatform(Ports{Platform: inner, Clock: fixedClock{}, Meter: meter},
		func(contact PlatformContact) { told = append(told, contact.State) })
	read := func(err error, times int) {
		inner.err = err
		for range times {
			_, _ = observed.VMs(t.Context())
		}
	}
	assert.Equal(t, observed.state().State, PlatformNotRead)
	read(nil, 1)
	read(errors.New("lost"), 2)
	assert.Equal(t, observed.state().State, PlatformReachable)
	read(port.ErrUnchanged, 1)
	read(errors.New("lost"), 3)
	assert.Equal(t, observed.state().State, PlatformUnreachable)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, _ = observed.VMs(cancelled)
	read(errors.Wrap(port.ErrNotFound, "part"), 1)
	assert.DeepEqual(t, told, []PlatformState{PlatformUnreachable, PlatformReachable})
	assert.DeepEqual(t, meter, countingMeter{"answered": 1, "failed": 5, "unchanged": 1, "not-found": 1})
}

// A region of 400 VMs departs at once. The trail keeps 2,048 events; one event
// per VM would push out what happened before the loss, which is what an
// operator looks for.
func TestMassDepartureIsOneEvent(t *testing.T) {
	var changes []membership.Change
	for i := range 400 {
		vm := membership.VM{ID: string(rune('a'+i%26)) + time.Duration(i).String()}
		changes = append(changes, membership.Change{VM: vm, From: membership.Live, To: membership.Departing})
	}
	events := memberEvents(changes)
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Detail, "departing")
	assert.Check(t, len(events[0].Subject) < 200, events[0].Subject)
	assert.Equal(t, len(memberEvents(nil)), 0)
}

func TestRefusalsAreSummedUpByReason(t *testing.T) {
	start := time.Unix(100, 0)
	tally := newRefusalTally(start)
	for range 1000 {
		tally.add(port.ReasonLimit)
	}
	assert.Equal(t, len(tally.due(start.Add(time.Second))), 0)
	events := tally.due(start.Add(refusalPeriod))
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Subject+": "+events[0].Detail, "limit: 1000 in 1m0s")
	assert.Equal(t, len(tally.due(start.Add(2*refusalPeriod))), 0)
	assert.Equal(t, tally.totals()[port.ReasonLimit], 1000)
}
