package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"tamarackquay/internal/wait"
	"tamarackquay/standin/usertarget"
)

// Parameters of the callers that send a crashing request.
const (
	// crashPause is the time between the starts of two callers.
	crashPause = 150 * time.Millisecond
	// crashAttempts is the number of times that each caller sends the request.
	crashAttempts = 3
	// crashAttemptPause is the time between these attempts.
	crashAttemptPause = 100 * time.Millisecond
)

// runCrashingCallers starts one caller after another, each at a random VM. All of
// them send the same crashing request.
func (f *fleet) runCrashingCallers(ctx context.Context, fault Fault) {
	ctx, stop := context.WithTimeout(ctx, fault.Duration)
	defer stop()
	name := fmt.Sprint(usertarget.CrashMarker, fault.At.Milliseconds())
	random := rand.New(rand.NewPCG(uint64(fault.At), 3))
	var sending sync.WaitGroup
	defer sending.Wait()
	for number := 0; wait.Sleep(ctx, crashPause); number++ {
		c := &caller{fleet: f, machine: f.vms[random.IntN(len(f.vms))], name: fmt.Sprint(name, "-", number), recorder: f.recorder}
		c.random = rand.New(rand.NewPCG(uint64(fault.At), uint64(number)))
		sending.Go(func() { c.sendCrashing(ctx, name) })
	}
}

func (c *caller) sendCrashing(ctx context.Context, name string) {
	c.connection.address = hostPort(c.machine.public, portCallers)
	defer c.connection.close()
	for range crashAttempts {
		c.sent++
		c.recorder.add(c.sendRequest(Record{
			ID: fmt.Sprintf("%s-%d", c.name, c.sent), VM: c.machine.number, Path: prefixRead, Idempotent: true, CrashID: name,
		}))
		if !wait.Sleep(ctx, crashAttemptPause) {
			return
		}
	}
}

// Limits for a crashing request.
const (
	// toleratedCrashes is the number of crashes after which the request must be
	// blocked.
	toleratedCrashes = 3
	// toleratedSends is how often the request may still reach targets afterwards.
	toleratedSends = 3
)

// checkContainment checks that a crashing request is blocked from further targets,
// and that no request is refused that only ran at the time of a crash.
func (x *index) checkContainment() []Finding {
	crashing := map[string][]usertarget.Entry{}
	var found []Finding
	for _, entry := range x.Entries {
		if r := x.records[entry.Request]; r != nil && r.CrashID != "" && entry.Ran {
			crashing[r.CrashID] = append(crashing[r.CrashID], entry)
		}
	}
	for name, entries := range crashing {
		found = append(found, x.checkFurtherSends(name, entries)...)
	}
	for i := range x.Records {
		r := &x.Records[i]
		if r.CrashID == "" && r.Outcome == Refused && strings.Contains(r.Detail, quarantinedReason) {
			found = append(found, finding(OthersServed, r, "refused with status %d: %s", r.Status, r.Detail)...)
		}
	}
	return found
}

// quarantinedReason occurs in the refusal of a request that is blocked because it
// crashed targets.
const quarantinedReason = `"reason":"quarantined"`

// checkFurtherSends checks one crashing request, given the ledger entries of its
// runs.
func (x *index) checkFurtherSends(name string, entries []usertarget.Entry) []Finding {
	var crashes []time.Duration
	for _, e := range x.Events {
		if e.Kind == TargetCrashed && slices.ContainsFunc(entries, func(entry usertarget.Entry) bool { return entry.Instance == e.Instance }) {
			crashes = append(crashes, e.Begin)
		}
	}
	if len(crashes) < toleratedCrashes {
		return nil
	}
	slices.Sort(crashes)
	blockedBy := crashes[toleratedCrashes-1] + stabilityWindow
	further := 0
	for _, entry := range entries {
		r := x.records[entry.Request]
		if entry.At > blockedBy && x.nodeUndisturbed(r.VM, entry.At, entry.At) && x.nodeUndisturbed(x.Targets[entry.Instance], entry.At, entry.At) {
			further++
		}
	}
	if further <= toleratedSends {
		return nil
	}
	return []Finding{{Promise: CrashContained, Request: name, At: blockedBy, Detail: fmt.Sprintf("reached targets %d more times after the third crash and the stability window, %d targets crashed", further, len(crashes))}}
}
