package contract

import (
	"fmt"
	"regexp"
	"slices"

	"tamarackquay/internal/finding"
)

// The codes that checks of meaning report.
const (
	CodeMissing        finding.Code = "missing-value"
	CodeBadName        finding.Code = "bad-name"
	CodeDuplicate      finding.Code = "duplicate"
	CodeOutOfRange     finding.Code = "out-of-range"
	CodeLimitBelow     finding.Code = "limit-below-share"
	CodeOvercommitted  finding.Code = "shares-over-committed"
	CodeUnknownService finding.Code = "unknown-service"
	CodeUnknownClass   finding.Code = "unknown-class"
	CodeNoGrant        finding.Code = "route-without-grant"
	CodeBadToken       finding.Code = "bad-token-hash"
	CodeBadSpill       finding.Code = "bad-spill"
)

// shareTolerance absorbs the rounding of shares written in decimal, so that
// 0.1+0.2+0.7 is not reported as over 1.
const shareTolerance = 1e-9

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)
	tokenPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Place tells a finding's file and line. Sets that were read from files know
// both; sets received as parts know neither.
type Place func(key string) (file string, line int)

// Places finds the place of each resource of a set by its index.
type Places interface {
	Service(index int) Place
	Contract(index int) Place
}

// NoPlaces is for sets that were not read from files.
type NoPlaces struct{}

// Service returns a place that names the resource's kind only.
func (NoPlaces) Service(int) Place { return func(string) (string, int) { return "service", 0 } }

// Contract returns a place that names the resource's kind only.
func (NoPlaces) Contract(int) Place { return func(string) (string, int) { return "contract", 0 } }

// checker collects the findings of one set.
type checker struct {
	set    *Set
	places Places
	found  finding.List
}

// Check returns every reason why the set could not be honoured. It is
// deterministic, so all nodes agree on whether a version is good.
func Check(set *Set, places Places) finding.List {
	c := &checker{set: set, places: places}
	c.services()
	c.contracts()
	c.commitments()
	c.found.Sort()
	return c.found
}

func (c *checker) add(place Place, code finding.Code, key, hint, format string, args ...any) {
	file, line := place(key)
	c.found = append(c.found, finding.Finding{
		Code: code, File: file, Line: line, Key: key,
		Problem: fmt.Sprintf(format, args...), Hint: hint,
	})
}

func (c *checker) name(place Place, key, value string) {
	if value == "" {
		c.add(place, CodeMissing, key, "give it a name", "a name is required")
		return
	}
	if !namePattern.MatchString(value) {
		c.add(place, CodeBadName, key, "use lower-case letters, digits and dashes, 64 at most", "%q is not a name", value)
	}
}

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
		if service.Slots < 1 {
			c.add(place, CodeOutOfRange, "slots", "give at least 1", "slots is %d", service.Slots)
		}
		if service.MaxConnections < 1 {
			c.add(place, CodeOutOfRange, "max_connections", "give at least 1", "max_connections is %d", service.MaxConnections)
		}
		c.committed(place, service)
	}
}

func (c *checker) committed(place Place, service *Service) {
	for domain, n := range service.Committed {
		if n < 0 {
			c.add(place, CodeOutOfRange, "committed."+domain, "give 0 or more", "%d upstreams are committed", n)
		}
	}
	if service.CommittedUpstreams() < 1 {
		c.add(place, CodeMissing, "committed", "commit at least one upstream in a failure domain", "service %q has no upstream", service.Name)
	}
}

func (c *checker) contracts() {
	customers := map[string]bool{}
	tokens := map[string]string{}
	for i := range c.set.Contracts {
		contract := &c.set.Contracts[i]
		place := c.places.Contract(i)
		c.name(place, "customer", contract.Customer)
		if customers[contract.Customer] {
			c.add(place, CodeDuplicate, "customer", "keep one contract per customer", "customer %q has two contracts", contract.Customer)
		}
		customers[contract.Customer] = true
		c.tokens(place, contract, tokens)
		c.classes(place, contract)
		c.grants(place, contract)
		c.routes(place, contract)
	}
}

func (c *checker) tokens(place Place, contract *Contract, owners map[string]string) {
	if len(contract.TokenHashes) == 0 {
		c.add(place, CodeMissing, "token_hashes", "make one with 'tamarackctl token'", "no caller could prove itself")
	}
	for i, hash := range contract.TokenHashes {
		key := fmt.Sprintf("token_hashes[%d]", i)
		if !tokenPattern.MatchString(hash) {
			c.add(place, CodeBadToken, key, "write 64 lower-case hex digits", "not a SHA-256 digest")
		}
		if owner, taken := owners[hash]; taken {
			c.add(place, CodeDuplicate, key, "give each customer tokens of its own", "the token belongs to %q as well", owner)
		}
		owners[hash] = contract.Customer
	}
}

func (c *checker) classes(place Place, contract *Contract) {
	if len(contract.Classes) == 0 {
		c.add(place, CodeMissing, "classes", "name at least one class", "a contract needs a class")
	}
	for i, class := range contract.Classes {
		key := fmt.Sprintf("classes[%d]", i)
		c.name(place, key, class)
		if slices.Index(contract.Classes, class) != i {
			c.add(place, CodeDuplicate, key, "name each class once", "class %q stands twice", class)
		}
	}
}

func (c *checker) grants(place Place, contract *Contract) {
	seen := map[string]bool{}
	for i := range contract.Grants {
		grant := &contract.Grants[i]
		key := func(field string) string { return fmt.Sprintf("grant[%d].%s", i, field) }
		if c.set.Service(grant.Service) == nil {
			c.add(place, CodeUnknownService, key("service"), "name a service of this set", "there is no service %q", grant.Service)
		}
		if seen[grant.Service] {
			c.add(place, CodeDuplicate, key("service"), "keep one grant per service", "service %q is granted twice", grant.Service)
		}
		seen[grant.Service] = true
		// Written as "not inside" so that NaN, which compares false with
		// everything, is out of range as well.
		if !(grant.Share >= 0 && grant.Share <= 1) {
			c.add(place, CodeOutOfRange, key("share"), "give a part from 0 to 1", "share is %v", grant.Share)
		}
		if !(grant.Limit > 0 && grant.Limit <= 1) {
			c.add(place, CodeOutOfRange, key("limit"), "give a part above 0, at most 1", "limit is %v", grant.Limit)
		}
		if grant.Limit < grant.Share {
			c.add(place, CodeLimitBelow, key("limit"), "raise the limit or lower the share", "limit %v is below the share %v", grant.Limit, grant.Share)
		}
	}
}

func (c *checker) routes(place Place, contract *Contract) {
	names := map[string]bool{}
	prefixes := map[string]bool{}
	for i := range contract.Routes {
		route := &contract.Routes[i]
		key := func(field string) string { return fmt.Sprintf("route[%d].%s", i, field) }
		c.name(place, key("name"), route.Name)
		if names[route.Name] {
			c.add(place, CodeDuplicate, key("name"), "name each route once", "route %q stands twice", route.Name)
		}
		names[route.Name] = true
		if len(route.Prefix) == 0 || route.Prefix[0] != '/' {
			c.add(place, CodeOutOfRange, key("prefix"), "start it with /", "prefix %q is no path", route.Prefix)
		}
		if prefixes[route.Prefix] {
			c.add(place, CodeDuplicate, key("prefix"), "give each route a prefix of its own", "prefix %q stands twice", route.Prefix)
		}
		prefixes[route.Prefix] = true
		c.routeTargets(place, contract, route, key)
		if route.Deadline <= 0 {
			c.add(place, CodeOutOfRange, key("deadline"), "give a time such as \"2s\"", "deadline must be above zero")
		}
		if route.Stall <= 0 {
			c.add(place, CodeOutOfRange, key("stall"), "give a time such as \"5s\"", "stall must be above zero")
		}
	}
}

func (c *checker) routeTargets(place Place, contract *Contract, route *Route, key func(string) string) {
	if c.set.Service(route.Service) == nil {
		c.add(place, CodeUnknownService, key("service"), "name a service of this set", "there is no service %q", route.Service)
	} else if contract.Grant(route.Service) == nil {
		c.add(place, CodeNoGrant, key("service"), "add a [[grant]] for it", "the contract grants nothing of service %q", route.Service)
	}
	if !slices.Contains(contract.Classes, route.Class) {
		c.add(place, CodeUnknownClass, key("class"), "name one of the contract's classes", "there is no class %q", route.Class)
	}
	switch route.Spill {
	case "", SpillDomain, SpillRegion, SpillAnywhere:
	default:
		c.add(place, CodeBadSpill, key("spill"), "write domain, region or anywhere", "spill %q is unknown", route.Spill)
	}
}

// commitments finds services whose guaranteed shares add up to more than the
// firm has committed to. The finding stands at the last contract that adds to
// the sum, since removing any one of them would mend it.
func (c *checker) commitments() {
	type sum struct {
		total float64
		place Place
		key   string
	}
	sums := map[string]*sum{}
	for i := range c.set.Contracts {
		contract := &c.set.Contracts[i]
		for g := range contract.Grants {
			grant := &contract.Grants[g]
			s := sums[grant.Service]
			if s == nil {
				s = &sum{}
				sums[grant.Service] = s
			}
			s.total += grant.Share
			s.place = c.places.Contract(i)
			s.key = fmt.Sprintf("grant[%d].share", g)
		}
	}
	for service, s := range sums {
		if s.total > 1+shareTolerance {
			c.add(s.place, CodeOvercommitted, s.key, "lower shares until they add up to 1",
				"guaranteed shares of service %q add up to %.3f of what is committed", service, s.total)
		}
	}
}
