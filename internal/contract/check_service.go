package contract

import "fmt"

func (c *checker) services() {
	seen := map[string]bool{}
	for i := range c.set.Services {
		service := &c.set.Services[i]
		place := c.places.Service(i)
		c.name(place, "name", service.Name)
		if seen[service.Name] {
			c.add(place, CodeDuplicate, "name", "keep one of them", "service %q stands twice", service.Name)
		}
		seen[service.Name] = true
		c.count(place, "slots", service.Slots, MaxSlots)
		c.count(place, "max_connections", service.MaxConnections, MaxConnections)
		c.wait(place, "slow_start", service.SlowStart.Std(), true)
		c.part(place, "long_lent", service.LongBorrowLimitOrDefault())
		c.committed(place, service)
	}
}

func (c *checker) committed(place Locator, service *Service) {
	committed := false
	for domain, n := range service.Committed {
		committed = committed || n > 0
		key := "committed." + domain
		if !namePattern.MatchString(domain) {
			c.add(place, CodeBadName, key, "use lower-case letters, digits and dashes, 64 at most", "%q is not a name", domain)
		}
		if n < 0 || n > MaxUpstreams {
			c.add(place, CodeOutOfRange, key, fmt.Sprintf("give 0 to %d", MaxUpstreams), "%d upstreams are committed", n)
		}
	}
	if !committed {
		c.add(place, CodeMissing, "committed", "commit at least one upstream in a failure domain", "service %q has no upstream", service.Name)
	}
}
