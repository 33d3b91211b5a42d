package contract

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"tamarackquay/internal/admission"
)

// leastGuarantee is the smallest guarantee at one target, in slots. Less than
// one slot is kept over time: with a hundredth of a slot a customer may wait
// for a hundred requests of others, and below it the promise says nothing.
const leastGuarantee = 0.01

// grantKey names a field of the contract's grant at index i.
func grantKey(i int, field string) string { return fmt.Sprintf("grant[%d].%s", i, field) }

func (c *checker) grants(place Locator, contract *Contract) {
	seen := map[string]bool{}
	for i := range contract.Grants {
		grant := &contract.Grants[i]
		service := c.set.Service(grant.Service)
		if service == nil {
			c.add(place, CodeUnknownService, grantKey(i, "service"), "name a service of this set", "there is no service %q", grant.Service)
		}
		if seen[grant.Service] {
			c.add(place, CodeDuplicate, grantKey(i, "service"), "keep one grant per service", "service %q is granted twice", grant.Service)
		}
		seen[grant.Service] = true
		if c.grantParts(place, i, grant) && service != nil && service.Slots >= 1 && service.Slots <= MaxSlots {
			c.grantSlots(place, i, grant, service.Slots)
		}
	}
}

// grantParts checks a grant's numbers by themselves.
func (c *checker) grantParts(place Locator, i int, grant *Grant) bool {
	shareOK := c.part(place, grantKey(i, "share"), grant.Share)
	limitOK := c.part(place, grantKey(i, "limit"), grant.Limit)
	longOK := c.part(place, grantKey(i, "long_limit"), grant.LongLimit)
	if limitOK && grant.Limit == 0 {
		c.add(place, CodeOutOfRange, grantKey(i, "limit"), "give a part above 0, at most 1", "a limit of 0 lets nothing run")
		limitOK = false
	}
	if grant.Limit < grant.Share {
		c.add(place, CodeLimitBelow, grantKey(i, "limit"), "raise the limit or lower the share", "limit %v is below the share %v", grant.Limit, grant.Share)
		return false
	}
	if grant.LongLimit > grant.Limit {
		c.add(place, CodeOutOfRange, grantKey(i, "long_limit"), "lower it to the limit", "long_limit %v is above the limit %v", grant.LongLimit, grant.Limit)
		return false
	}
	return shareOK && limitOK && longOK
}

// grantSlots checks what the parts come to at one target, with the rounding
// that admission applies: a limit is rounded down to whole slots, so that it is
// never passed, and must still leave room for the guarantee.
func (c *checker) grantSlots(place Locator, i int, grant *Grant, slots int) {
	limit := admission.FloorSlots(grant.Limit, slots)
	guaranteed := grant.Share * float64(slots)
	switch {
	case limit < 1:
		c.add(place, CodeRounding, grantKey(i, "limit"), fmt.Sprintf("give at least %.4g", 1/float64(slots)),
			"limit %v of %d slots is less than one slot", grant.Limit, slots)
	case float64(limit) < guaranteed-shareUnit:
		c.add(place, CodeRounding, grantKey(i, "limit"),
			fmt.Sprintf("raise the limit to %.4g", math.Ceil(guaranteed)/float64(slots)),
			"limit %v of %d slots comes to %d whole slots, below the %.4g guaranteed", grant.Limit, slots, limit, guaranteed)
	}
	if grant.LongLimit > 0 && admission.FloorSlots(grant.LongLimit, slots) < 1 {
		c.add(place, CodeRounding, grantKey(i, "long_limit"), fmt.Sprintf("give at least %.4g", 1/float64(slots)),
			"long_limit %v of %d slots is less than one slot", grant.LongLimit, slots)
	}
	if grant.Share > 0 && guaranteed < leastGuarantee {
		c.add(place, CodeRounding, grantKey(i, "share"), fmt.Sprintf("give 0, or at least %.4g", leastGuarantee/float64(slots)),
			"share %v of %d slots is less than %v of a slot", grant.Share, slots, leastGuarantee)
	}
}

// shareUnit is the finest step in which shares are added up. Sums of whole
// steps don't depend on the order of contracts, which differs between the files
// of an operator and the parts that a node receives; and 0.1+0.2+0.7 is 1.
const shareUnit = 1e-9

// commitments finds services whose guaranteed shares add up to more than the
// firm has committed to. The finding stands at the last contract that adds to
// the sum, since removing any one of them would mend it.
func (c *checker) commitments() {
	type sum struct {
		units int64
		place Locator
		key   string
	}
	sums := map[string]*sum{}
	for i := range c.set.Contracts {
		contract := &c.set.Contracts[i]
		for g := range contract.Grants {
			grant := &contract.Grants[g]
			if !(grant.Share > 0 && grant.Share <= 1) {
				continue
			}
			s := sums[grant.Service]
			if s == nil {
				s = &sum{}
				sums[grant.Service] = s
			}
			s.units += int64(grant.Share / shareUnit)
			s.place = c.places.Contract(i)
			s.key = grantKey(g, "share")
		}
	}
	for _, service := range slices.Sorted(maps.Keys(sums)) {
		s := sums[service]
		if total := float64(s.units) * shareUnit; s.units > int64(math.Round(1/shareUnit)) {
			c.add(s.place, CodeOvercommitted, s.key, "lower shares until they add up to 1",
				"guaranteed shares of service %q add up to %.9g of what is committed", service, total)
		}
	}
}
