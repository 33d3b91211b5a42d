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

// Figures of the callers who send a request that crashes targets.
const (
	// crashPause is between two callers who begin to send it.
	crashPause = 150 * time.Millisecond
	// crashTries is how often each of them sends it while it isn't told to stay away.
	crashTries = 3
	// crashTryPause is between these tries.
	crashTryPause = 100 * time.Millisecond
)

// sendCrashing lets one caller after another, at any VM, send the same request, which
// crashes targets.
func (f *fleet) sendCrashing(ctx context.Context, fault Fault) {
	ctx, stop := context.WithTimeout(ctx, fault.For)
	defer stop()
	name := fmt.Sprint(usertarget.CrashMarker, fault.At.Milliseconds())
	random := rand.New(rand.NewPCG(uint64(fault.At), 3))
	var sending sync.WaitGroup
	defer sending.Wait()
	for number := 0; wait.Sleep(ctx, crashPause); number++ {
		c := &caller{fleet: f, member: f.vms[random.IntN(len(f.vms))], name: fmt.Sprint(name, "-", number), book: f.book}
		c.random = rand.New(rand.NewPCG(uint64(fault.At), uint64(number)))
		sending.Go(func() { c.sendCrashing(ctx, name) })
	}
}

func (c *caller) sendCrashing(ctx context.Context, name string) {
	c.connection.address = at(c.member.public, portCallers)
	defer c.connection.close()
	for range crashTries {
		c.sent++
		c.book.add(c.askFor(Record{
			ID: fmt.Sprintf("%s-%d", c.name, c.sent), VM: c.member.number, Path: prefixRead, Repeatable: true, Crashes: name,
		}))
		if !wait.Sleep(ctx, crashTryPause) {
			return
		}
	}
}

// Bounds of a request under which targets crash.
const (
	// toleratedCrashes is after how many crashes the request must be known.
	toleratedCrashes = 3
	// toleratedSends is how often it may reach targets once it is.
	toleratedSends = 3
)

// contained checks that a request under which targets crashed is kept from others, and
// that none is refused that only ran beside it.
func (x *index) contained() []Finding {
	crashing := map[string][]usertarget.Entry{}
	var found []Finding
	for _, entry := range x.Entries {
		if r := x.records[entry.Request]; r != nil && r.Crashes != "" && entry.Ran {
			crashing[r.Crashes] = append(crashing[r.Crashes], entry)
		}
	}
	for name, entries := range crashing {
		found = append(found, x.furtherSends(name, entries)...)
	}
	for i := range x.Records {
		r := &x.Records[i]
		if r.Crashes == "" && r.Outcome == Refused && strings.Contains(r.Detail, quarantinedReason) {
			found = append(found, finding(OthersServed, r, "refused with status %d: %s", r.Status, r.Detail)...)
		}
	}
	return found
}

// quarantinedReason stands in the refusals of requests that are taken to crash targets.
const quarantinedReason = `"reason":"quarantined"`

// furtherSends checks one request by the targets' entries of it.
func (x *index) furtherSends(name string, entries []usertarget.Entry) []Finding {
	var crashes []time.Duration
	for _, e := range x.Events {
		if e.What == TargetCrashed && slices.ContainsFunc(entries, func(entry usertarget.Entry) bool { return entry.Instance == e.Instance }) {
			crashes = append(crashes, e.Begin)
		}
	}
	if len(crashes) < toleratedCrashes {
		return nil
	}
	slices.Sort(crashes)
	known := crashes[toleratedCrashes-1] + stability
	further := 0
	for _, entry := range entries {
		r := x.records[entry.Request]
		if entry.At > known && x.calm(r.VM, entry.At, entry.At) && x.calm(x.Targets[entry.Instance], entry.At, entry.At) {
			further++
		}
	}
	if further <= toleratedSends {
		return nil
	}
	return []Finding{{Promise: Contained, Request: name, At: known, Detail: fmt.Sprintf("sent %d times more after the third crash, %d targets crashed", further, len(crashes))}}
}
