package node

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/port"
	"tamarackquay/internal/routing"
)

// maxProbes is the number of targets that a request is offered to without
// waiting there. With two probes, a fraction of 0.0025 of the slots is idle while
// requests wait elsewhere; with none, 0.0226 (docs/measurements/admission.md).
const maxProbes = 2

// canProbe reports whether the next offer may be a probe. A body that isn't
// buffered is never sent on a probe: a busy target may read a part of the body,
// which then can't be sent again.
func (f *forwarder) canProbe() bool { return len(f.probed) < maxProbes && f.body.IsBuffered() }

// chooseProbe returns the target of the next offer, and whether it is a probe.
// A target that had no free slot is not probed again, but the request may queue
// there, since the customer may have guaranteed slots at it. The target to queue
// at is chosen from all targets in reach of the route and not only from the
// nearest: otherwise a customer whose demand comes from one region would get only
// that region's slots.
func (f *forwarder) chooseProbe(now time.Time) (*target, bool) {
	if f.canProbe() {
		if t := f.choose(now, f.minDistance); t != nil {
			return t, true
		}
	}
	if len(f.probed) == 0 || f.waited {
		return f.choose(now, f.minDistance), false
	}
	f.waited = true
	f.tried = slices.DeleteFunc(f.tried, func(t *target) bool { return slices.Contains(f.probed, t) })
	if t := f.chooseAnywhere(now); t != nil {
		return t, false
	}
	return f.choose(now, f.minDistance), false
}

// chooseAnywhere picks from all available targets within the route's spill.
func (f *forwarder) chooseAnywhere(now time.Time) *target {
	p := f.node.targets.targets(now, f.upstreams, f.call.Service, f.node.view.Load())
	var reachable []*target
	for distance, group := range p.groups {
		if routing.Within(f.route.Spill, routing.Distance(distance)) {
			reachable = append(reachable, group...)
		}
	}
	return f.pick(now, reachable, routing.SameDomain, true)
}

// recordBusy reports whether err means that a probe found no free slot, and
// records the probe if so. Such a probe uses no capacity of the target and
// doesn't count against the retry budget: each request makes at most two.
func (f *forwarder) recordBusy(t *target, err error) bool {
	var refusal *port.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != port.ReasonBusy {
		return false
	}
	f.probed = append(f.probed, t)
	return true
}
