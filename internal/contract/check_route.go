package contract

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// prefixPattern takes absolute paths of the characters that RFC 3986, section
// 3.3, allows unescaped.
var prefixPattern = regexp.MustCompile(`^/[A-Za-z0-9._~!$&'()*+,;=:@/-]*$`)

// forwardedMethods are the methods that mean something to a target. CONNECT and
// TRACE speak to proxies.
var forwardedMethods = []string{
	"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS",
}

func (c *checker) routes(place Locator, contract *Contract) {
	names := map[string]bool{}
	prefixes := map[string]string{}
	for i := range contract.Routes {
		route := &contract.Routes[i]
		key := func(field string) string { return fmt.Sprintf("route[%d].%s", i, field) }
		c.name(place, key("name"), route.Name)
		if names[route.Name] {
			c.add(place, CodeDuplicate, key("name"), "name each route once", "route %q stands twice", route.Name)
		}
		names[route.Name] = true
		c.prefix(place, key("prefix"), route.Prefix, prefixes)
		c.methods(place, route, key)
		c.routeTargets(place, contract, route, key)
		c.wait(place, key("deadline"), route.Deadline.Std(), false)
		c.wait(place, key("stall"), route.StallTimeout.Std(), false)
	}
}

func (c *checker) routeTargets(place Locator, contract *Contract, route *Route, key func(string) string) {
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

// prefix finds paths that no request can have, and two prefixes that differ only
// in the closing slash: one would serve a single path, which nobody means. A
// longer prefix below a shorter one is fine: the longest match wins.
func (c *checker) prefix(place Locator, key, prefix string, seen map[string]string) {
	if !prefixPattern.MatchString(prefix) {
		c.add(place, CodeBadPrefix, key, "write an absolute path without query or escapes, such as /tallies", "prefix %q is no path", prefix)
		return
	}
	for segment := range strings.SplitSeq(prefix, "/") {
		if segment == "." || segment == ".." {
			c.add(place, CodeBadPrefix, key, "write the path without . and ..", "prefix %q has a relative segment", prefix)
		}
	}
	if strings.Contains(prefix, "//") {
		c.add(place, CodeBadPrefix, key, "write single slashes", "prefix %q has an empty segment", prefix)
	}
	same := strings.TrimSuffix(prefix, "/")
	first, taken := seen[same]
	switch {
	case taken && first == prefix:
		c.add(place, CodeDuplicate, key, "give each route a prefix of its own", "prefix %q stands twice", prefix)
	case taken:
		c.add(place, CodeOverlap, key, "keep the one without the closing slash", "prefixes %q and %q differ only in the closing slash", first, prefix)
	}
	seen[same] = prefix
}

func (c *checker) methods(place Locator, route *Route, key func(string) string) {
	for i, method := range route.Methods {
		at := fmt.Sprintf("%s[%d]", key("methods"), i)
		if !slices.Contains(forwardedMethods, method) {
			c.add(place, CodeBadMethod, at, "write one of "+strings.Join(forwardedMethods, ", "), "method %q is not forwarded", method)
		}
		if slices.Index(route.Methods, method) != i {
			c.add(place, CodeDuplicate, at, "name each method once", "method %q stands twice", method)
		}
	}
}
