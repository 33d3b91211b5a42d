package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

func TestComputeHealth(t *testing.T) {
	one, two := snapshot.Version{Epoch: 1, Revision: 1}, snapshot.Version{Epoch: 1, Revision: 2}
	down := PlatformStatus{State: PlatformUnreachable}
	for _, test := range []struct {
		desc    string
		input   healthInput
		want    HealthState
		reasons int
	}{
		{"fresh process", healthInput{}, HealthNotReady, 1},
		{"newest reported version applied", healthInput{ready: true, applied: one, reported: one}, HealthReady, 0},
		{"serves while a newer one was reported", healthInput{ready: true, applied: one, reported: two}, HealthOldConfiguration, 1},
		{"serves while a newer one lacks a part", healthInput{ready: true, applied: one, reported: one,
			problems: []VersionProblem{{Kind: port.AuditIncomplete, Version: "1.2"}}}, HealthOldConfiguration, 1},
		{"a manifest published since is unreadable", healthInput{ready: true, applied: one, reported: one,
			problems: []VersionProblem{{Kind: port.AuditRefused, Version: "0.0", Time: time.Unix(2, 0)}}, appliedAt: time.Unix(1, 0)}, HealthOldConfiguration, 1},
		{"an unreadable manifest was replaced", healthInput{ready: true, applied: two, reported: two,
			problems: []VersionProblem{{Kind: port.AuditRefused, Version: "0.0", Time: time.Unix(2, 0)}}, appliedAt: time.Unix(3, 0)}, HealthReady, 0},
		{"an old version problem is resolved", healthInput{ready: true, applied: two, reported: two,
			problems: []VersionProblem{{Kind: port.AuditRefused, Version: "1.2"}}}, HealthReady, 0},
		{"serves while the platform is down", healthInput{ready: true, applied: one, platform: down}, HealthOldConfiguration, 1},
		{"waits for a reported version", healthInput{applied: one, reported: two}, HealthNotReady, 1},
		{"refreshes after a pause", healthInput{applied: one, reported: one}, HealthNotReady, 1},
		{"stops in an outage", healthInput{stopping: true, ready: true, applied: one, platform: down}, HealthStopping, 2},
	} {
		t.Run(test.desc, func(t *testing.T) {
			state, reasons := computeHealth(test.input)
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

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Unix(100, 0) }

// One lost connection is no outage and must not be shown as one; three failed
// reads in a row are, and the first response ends it. A read that the node
// itself cancelled when it stopped must not change the state.
func TestPlatformCountsAsUnreachableAfterThreeFailures(t *testing.T) {
	inner := &fakePlatform{}
	observed := observePlatform(Ports{Platform: inner, Clock: fixedClock{}})
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
	assert.Equal(t, observed.state().State, PlatformUnreachable)
	read(errors.Wrap(port.ErrNotFound, "part"), 1)
	assert.Equal(t, observed.state().State, PlatformReachable)
}

// A region of 400 VMs departs at once. The audit trail keeps 2,048 events; one
// event per VM would push out the events before the loss, which operators need.
func TestMassDepartureIsOneEvent(t *testing.T) {
	var changes []membership.Change
	for i := range 400 {
		vm := membership.VM{ID: fmt.Sprintf("vm-%03d", i)}
		changes = append(changes, membership.Change{VM: vm, From: membership.Live, To: membership.Departing})
	}
	events := memberEvents(changes)
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Detail, "live to departing")
	assert.Equal(t, events[0].Subject, "vm-000 vm-001 vm-002 vm-003 vm-004 vm-005 vm-006 vm-007 and 392 more")
	assert.Equal(t, len(memberEvents(nil)), 0)
	events = memberEvents([]membership.Change{
		{From: membership.Live, To: membership.Departing}, {From: membership.Departing, To: membership.Gone}})
	assert.Equal(t, events[0].Detail+", "+events[1].Detail, "live to departing, departing to gone")
}

// In an overload every refusal is counted; the counting must not add load.
func TestCountingRefusalsAllocatesNothing(t *testing.T) {
	counter := newRefusalCounter(time.Unix(100, 0))
	counter.add(port.ReasonLimit)
	assert.Equal(t, testing.AllocsPerRun(100, func() { counter.add(port.ReasonLimit) }), 0.0)
}

func TestRefusalsAreSummedUpByReason(t *testing.T) {
	start := time.Unix(100, 0)
	counter := newRefusalCounter(start)
	for range 1000 {
		counter.add(port.ReasonLimit)
	}
	assert.Equal(t, len(counter.due(start.Add(time.Second))), 0)
	events := counter.due(start.Add(refusalPeriod))
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Subject+": "+events[0].Detail, "limit: 1000 in 1m0s")
	assert.Equal(t, len(counter.due(start.Add(2*refusalPeriod))), 0)
	assert.Equal(t, counter.totals()[port.ReasonLimit], 1000)
}
