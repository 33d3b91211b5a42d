package contract

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// prefixPattern matches absolute paths of the characters that RFC 3986, section
// 3.3, allows unescaped.
var prefixPattern = regexp.MustCompile(`^/[A-Za-z0-9._~!$&'()*+,;=:@/-]*$`)

// forwardedMethods lists the methods that are forwarded to targets. CONNECT and
// TRACE are addressed to proxies and not forwarded.
var forwardedMethods = []string{
	"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS",
}

func (c *checker) routes(locate Locator, contract *Contract) {
	names := map[string]bool{}
	prefixes := map[string]string{}
	for i := range contract.Routes {
		route := &contract.Routes[i]
		key := func(field string) string { return fmt.Sprintf("route[%d].%s", i, field) }
		c.name(locate, key("name"), route.Name)
		if names[route.Name] {
			c.add(locate, CodeDuplicate, key("name"), "use each route name once", "route %q is defined twice", route.Name)
		}
		names[route.Name] = true
		c.prefix(locate, key("prefix"), route.Prefix, prefixes)
		c.methods(locate, route, key)
		c.routeReferences(locate, contract, route, key)
		c.domains(locate, route, key)
		c.timeout(locate, key("deadline"), route.Deadline.Std(), false)
		c.timeout(locate, key("stall"), route.StallTimeout.Std(), false)
	}
}

func (c *checker) routeReferences(locate Locator, contract *Contract, route *Route, key func(string) string) {
	if c.set.Service(route.Service) == nil {
		c.add(locate, CodeUnknownService, key("service"), "name a service of this set", "there is no service %q", route.Service)
	} else if contract.Grant(route.Service) == nil {
		c.add(locate, CodeNoGrant, key("service"), "add a [[grant]] for it", "the contract has no grant for service %q", route.Service)
	}
	if !slices.Contains(contract.Classes, route.Class) {
		c.add(locate, CodeUnknownClass, key("class"), "name one of the contract's classes", "there is no class %q", route.Class)
	}
	switch route.Spill {
	case "", SpillDomain, SpillRegion, SpillAnywhere:
	default:
		c.add(locate, CodeBadSpill, key("spill"), "write domain, region or anywhere", "spill %q is unknown", route.Spill)
	}
}

// domains reports allowed failure domains in which nothing is committed, and routes whose service
// has nothing committed in any of them: all their requests would be refused.
func (c *checker) domains(locate Locator, route *Route, key func(string) string) {
	reachable := false
	for i, domain := range route.Domains {
		at := fmt.Sprintf("%s[%d]", key("domains"), i)
		if slices.Index(route.Domains, domain) != i {
			c.add(locate, CodeDuplicate, at, "list each failure domain once", "failure domain %q is listed twice", domain)
			continue
		}
		if !c.isCommitted(domain) {
			c.add(locate, CodeUnknownDomain, at, "name a failure domain in which a service has committed upstreams", "nothing is committed in failure domain %q", domain)
		}
		service := c.set.Service(route.Service)
		reachable = reachable || service == nil || service.Committed[domain] > 0
	}
	if len(route.Domains) > 0 && !reachable {
		c.add(locate, CodeNoTarget, key("domains"), "allow a failure domain of the service", "service %q has no upstream in the allowed failure domains", route.Service)
	}
}

// isCommitted reports whether any service has committed upstreams in a failure domain.
func (c *checker) isCommitted(domain string) bool {
	for i := range c.set.Services {
		if c.set.Services[i].Committed[domain] > 0 {
			return true
		}
	}
	return false
}

// prefix reports prefixes that no request path can match, and pairs of prefixes
// that differ only in the trailing slash: one of the two would match a single
// path only, which is never intended. A longer prefix below a shorter one is
// valid, since the longest match wins.
func (c *checker) prefix(locate Locator, key, prefix string, seen map[string]string) {
	if !prefixPattern.MatchString(prefix) {
		c.add(locate, CodeBadPrefix, key, "write an absolute path without query or escapes, such as /tallies", "prefix %q is not a valid path", prefix)
		return
	}
	for segment := range strings.SplitSeq(prefix, "/") {
		if segment == "." || segment == ".." {
			c.add(locate, CodeBadPrefix, key, "remove . and .. from the path", "prefix %q has a relative segment", prefix)
		}
	}
	if strings.Contains(prefix, "//") {
		c.add(locate, CodeBadPrefix, key, "use single slashes", "prefix %q has an empty segment", prefix)
	}
	trimmed := strings.TrimSuffix(prefix, "/")
	first, exists := seen[trimmed]
	switch {
	case exists && first == prefix:
		c.add(locate, CodeDuplicate, key, "give each route a prefix of its own", "prefix %q is used twice", prefix)
	case exists:
		c.add(locate, CodeOverlap, key, "keep the one without the trailing slash", "prefixes %q and %q differ only in the trailing slash", first, prefix)
	}
	seen[trimmed] = prefix
}

func (c *checker) methods(locate Locator, route *Route, key func(string) string) {
	for i, method := range route.Methods {
		at := fmt.Sprintf("%s[%d]", key("methods"), i)
		if !slices.Contains(forwardedMethods, method) {
			c.add(locate, CodeBadMethod, at, "write one of "+strings.Join(forwardedMethods, ", "), "method %q is not forwarded", method)
		}
		if slices.Index(route.Methods, method) != i {
			c.add(locate, CodeDuplicate, at, "list each method once", "method %q is listed twice", method)
		}
	}
}
