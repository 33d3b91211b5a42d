package mesh

// Splitter divides each route's requests among its services by weight. It
// spreads a route's requests evenly (smooth weighted round robin), so that the
// shares of even a few dozen requests lie within one request of the weights;
// drawing each at random leaves a tenth between them after a hundred. It is not
// safe for concurrent use.
type Splitter struct {
	config *Config
	due    map[string][]int
}

// Pick returns the service that the next request of the route goes to, "" for a
// route without shares.
func (s *Splitter) Pick(config *Config, route *Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	if s.config != config {
		// Weights may have changed; what is owed by old ones is no guide.
		s.config = config
		s.due = map[string][]int{}
	}
	due := s.due[route.Name]
	if len(due) != len(route.Shares) {
		due = make([]int, len(route.Shares))
		s.due[route.Name] = due
	}
	best, total := -1, 0
	for i, share := range route.Shares {
		due[i] += share.Weight
		total += share.Weight
		if share.Weight > 0 && (best < 0 || due[i] > due[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	due[best] -= total
	return route.Shares[best].Service
}
