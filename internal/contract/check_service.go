package contract

import "fmt"

func (c *checker) services() {
	seen := map[string]bool{}
	for i := range c.set.Services {
		service := &c.set.Services[i]
		locate := c.locations.Service(i)
		c.name(locate, "name", service.Name)
		if seen[service.Name] {
			c.add(locate, CodeDuplicate, "name", "keep one of them", "service %q is defined twice", service.Name)
		}
		seen[service.Name] = true
		c.count(locate, "slots", service.Slots, MaxSlots)
		c.count(locate, "max_connections", service.MaxConnections, MaxConnections)
		c.timeout(locate, "slow_start", service.SlowStart.Std(), true)
		c.fraction(locate, "long_lent", service.LongBorrowLimitOrDefault())
		c.commitments(locate, service)
	}
}

func (c *checker) commitments(locate Locator, service *Service) {
	committed := false
	for domain, n := range service.Committed {
		committed = committed || n > 0
		key := "committed." + domain
		if !namePattern.MatchString(domain) {
			c.add(locate, CodeBadName, key, "use lower-case letters, digits and dashes, 64 at most", "%q is not a valid name", domain)
		}
		if n < 0 || n > MaxUpstreams {
			c.add(locate, CodeOutOfRange, key, fmt.Sprintf("set a value from 0 to %d", MaxUpstreams), "%d upstreams are committed", n)
		}
	}
	if !committed {
		c.add(locate, CodeMissing, "committed", "commit at least one upstream in a failure domain", "service %q has no committed upstream", service.Name)
	}
}
