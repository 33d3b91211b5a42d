package contract

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"tamarackquay/internal/admission"
)

// minGuarantee is the smallest guarantee at one target, in slots. A guarantee
// below one slot holds on average over time: with a hundredth of a slot, a
// customer may wait for a hundred requests of others. A smaller guarantee would
// have no practical effect.
const minGuarantee = 0.01

// grantKey returns the key of a field of the contract's grant at index i.
func grantKey(i int, field string) string { return fmt.Sprintf("grant[%d].%s", i, field) }

func (c *checker) grants(locate Locator, contract *Contract) {
	seen := map[string]bool{}
	for i := range contract.Grants {
		grant := &contract.Grants[i]
		service := c.set.Service(grant.Service)
		if service == nil {
			c.add(locate, CodeUnknownService, grantKey(i, "service"), "name a service of this set", "there is no service %q", grant.Service)
		}
		if seen[grant.Service] {
			c.add(locate, CodeDuplicate, grantKey(i, "service"), "keep one grant per service", "service %q is granted twice", grant.Service)
		}
		seen[grant.Service] = true
		if c.grantFractions(locate, i, grant) && service != nil && service.Slots >= 1 && service.Slots <= MaxSlots {
			c.grantSlots(locate, i, grant, service.Slots)
		}
	}
}

// grantFractions checks a grant's numbers without regard to the service's slots.
func (c *checker) grantFractions(locate Locator, i int, grant *Grant) bool {
	shareOK := c.fraction(locate, grantKey(i, "share"), grant.Share)
	limitOK := c.fraction(locate, grantKey(i, "limit"), grant.Limit)
	longOK := c.fraction(locate, grantKey(i, "long_limit"), grant.LongLimit)
	if limitOK && grant.Limit == 0 {
		c.add(locate, CodeOutOfRange, grantKey(i, "limit"), "set a fraction above 0, at most 1", "a limit of 0 admits no requests")
		limitOK = false
	}
	if grant.Limit < grant.Share {
		c.add(locate, CodeLimitBelow, grantKey(i, "limit"), "raise the limit or lower the share", "limit %v is below the share %v", grant.Limit, grant.Share)
		return false
	}
	if grant.LongLimit > grant.Limit {
		c.add(locate, CodeOutOfRange, grantKey(i, "long_limit"), "lower it to at most the limit", "long_limit %v is above the limit %v", grant.LongLimit, grant.Limit)
		return false
	}
	return shareOK && limitOK && longOK
}

// grantSlots checks the number of slots that the fractions give at one target,
// with the same rounding as admission: a limit is rounded down to whole slots, so
// that it is never exceeded, and must still be at least the guarantee.
func (c *checker) grantSlots(locate Locator, i int, grant *Grant, slots int) {
	limit := admission.FloorSlots(grant.Limit, slots)
	guaranteed := grant.Share * float64(slots)
	switch {
	case limit < 1:
		c.add(locate, CodeRounding, grantKey(i, "limit"), fmt.Sprintf("set at least %.4g", 1/float64(slots)),
			"limit %v of %d slots is less than one slot", grant.Limit, slots)
	case float64(limit) < guaranteed-shareUnit:
		c.add(locate, CodeRounding, grantKey(i, "limit"),
			fmt.Sprintf("raise the limit to %.4g", math.Ceil(guaranteed)/float64(slots)),
			"limit %v of %d slots rounds down to %d whole slots, below the %.4g guaranteed", grant.Limit, slots, limit, guaranteed)
	}
	if grant.LongLimit > 0 && admission.FloorSlots(grant.LongLimit, slots) < 1 {
		c.add(locate, CodeRounding, grantKey(i, "long_limit"), fmt.Sprintf("set at least %.4g", 1/float64(slots)),
			"long_limit %v of %d slots is less than one slot", grant.LongLimit, slots)
	}
	if grant.Share > 0 && guaranteed < minGuarantee {
		c.add(locate, CodeRounding, grantKey(i, "share"), fmt.Sprintf("set 0, or at least %.4g", minGuarantee/float64(slots)),
			"share %v of %d slots is less than %v of a slot", grant.Share, slots, minGuarantee)
	}
}

// shareUnit is the unit in which shares are summed. Integer sums don't depend on
// the order of contracts, which differs between an operator's files and the parts
// that a node receives, and they make 0.1+0.2+0.7 exactly 1.
const shareUnit = 1e-9

// overcommitted reports services whose guaranteed shares add up to more than the
// committed capacity. The finding points to the last contract that adds to the
// sum, since lowering any one of the shares can resolve it.
func (c *checker) overcommitted() {
	type sum struct {
		units  int64
		locate Locator
		key    string
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
			s.locate = c.locations.Contract(i)
			s.key = grantKey(g, "share")
		}
	}
	for _, service := range slices.Sorted(maps.Keys(sums)) {
		s := sums[service]
		if total := float64(s.units) * shareUnit; s.units > int64(math.Round(1/shareUnit)) {
			c.add(s.locate, CodeOvercommitted, s.key, "lower shares until they add up to 1",
				"guaranteed shares of service %q add up to %.9g of the committed capacity", service, total)
		}
	}
}
