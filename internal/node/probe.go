package node

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/port"
	"tamarackquay/internal/routing"
)

// maxProbes is how many targets a request is offered to without waiting. With
// two, a 0.0025 part of the slots is idle while requests wait elsewhere; with
// none, 0.0226 (docs/measurements/admission.md).
const maxProbes = 2

// probing reports whether the next offer is a probe. A body that may be read in
// part by a busy target, and can't be sent again then, is not risked on one.
func (f *flight) probing() bool { return len(f.probed) < maxProbes && f.body.IsBuffered() }

// chooseProbe returns the target of the next offer, and whether it is a probe.
// A target that had no free slot is not probed again, but may be waited at: its
// queue may hold the customer's guarantee. Where to wait is chosen from all
// reachable targets and not from the nearest alone, or a customer whose demand
// comes from one region would get no more than that region's slots.
func (f *flight) chooseProbe(now time.Time) (*target, bool) {
	if f.probing() {
		if t := f.choose(now, f.least); t != nil {
			return t, true
		}
	}
	if len(f.probed) == 0 || f.waited {
		return f.choose(now, f.least), false
	}
	f.waited = true
	f.tried = slices.DeleteFunc(f.tried, func(t *target) bool { return slices.Contains(f.probed, t) })
	if t := f.chooseAnywhere(now); t != nil {
		return t, false
	}
	return f.choose(now, f.least), false
}

// chooseAnywhere picks from all available targets that the route may reach.
func (f *flight) chooseAnywhere(now time.Time) *target {
	p := f.node.targets.targets(now, f.upstreams, f.call.Service, f.node.view.Load())
	var reachable []*target
	for distance, group := range p.groups {
		if routing.Within(f.route.Spill, routing.Distance(distance)) {
			reachable = append(reachable, group...)
		}
	}
	return f.pick(now, reachable, routing.SameDomain, true)
}

// busy notes a probe that found no free slot. It took nothing from the target
// and needs no budget: each request makes two at most.
func (f *flight) busy(t *target, err error) bool {
	var refusal *port.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != port.ReasonBusy {
		return false
	}
	f.probed = append(f.probed, t)
	return true
}
