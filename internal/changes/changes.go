// Package changes tells what differs between two contract sets in the terms of
// contracts: what each customer gains or loses, rather than which lines of which
// file were edited. The package is pure.
package changes

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"tamarackquay/internal/contract"
)

// Kind says what happened to the subject of a change.
type Kind string

// The kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one difference. A change that concerns a service for all customers
// names no customer.
type Change struct {
	Customer string `json:"customer,omitempty"`
	Service  string `json:"service,omitempty"`
	Kind     Kind   `json:"kind"`
	// Subject is what changed, in words: "route tallies: deadline".
	Subject string `json:"subject"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

// String renders the change without its customer.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return strings.TrimSuffix(fmt.Sprintf("+ %s: %s", c.Subject, c.After), ": ")
	case Removed:
		return strings.TrimSuffix(fmt.Sprintf("- %s: %s", c.Subject, c.Before), ": ")
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Subject, c.Before, c.After)
}

// Between returns all changes from before to after, services first, then
// customers by name.
func Diff(before, after *contract.Set) []Change {
	c := &comparison{before: before, after: after}
	c.services()
	c.customers()
	slices.SortStableFunc(c.found, func(a, b Change) int { return cmp.Compare(a.Customer, b.Customer) })
	return c.found
}

type comparison struct {
	before, after *contract.Set
	found         []Change
}

// add notes a change if the two texts differ; an empty text stands for a
// subject that is not there.
func (c *comparison) add(change Change) {
	switch {
	case change.Before == change.After:
		return
	case change.Before == "":
		change.Kind = Added
	case change.After == "":
		change.Kind = Removed
	default:
		change.Kind = Changed
	}
	c.found = append(c.found, change)
}

func (c *comparison) services() {
	for _, name := range names(c.before.Services, c.after.Services, func(s *contract.Service) string { return s.Name }) {
		before, after := c.before.Service(name), c.after.Service(name)
		subject := "service " + name
		c.add(Change{Service: name, Subject: subject, Before: capacity(before), After: capacity(after)})
		if before == nil || after == nil {
			continue
		}
		c.fields(Change{Service: name, Subject: subject}, fieldsOf(before, "name"), fieldsOf(after, "name"))
	}
}

// capacity renders what is committed of a service.
func capacity(s *contract.Service) string {
	if s == nil {
		return ""
	}
	upstreams := s.CommittedUpstreams()
	return fmt.Sprintf("%d slots committed (%d upstreams of %d)", upstreams*s.Slots, upstreams, s.Slots)
}

func (c *comparison) customers() {
	for _, name := range names(c.before.Contracts, c.after.Contracts, func(k *contract.Contract) string { return k.Customer }) {
		before, after := contractOf(c.before, name), contractOf(c.after, name)
		c.add(Change{Customer: name, Subject: "contract", Before: presence(before), After: presence(after)})
		c.tokens(name, before, after)
		c.fields(Change{Customer: name, Subject: "contract"},
			fieldsOf(before, "customer", "token_hashes", "grant", "route"),
			fieldsOf(after, "customer", "token_hashes", "grant", "route"))
		c.grants(name, before, after)
		c.routes(name, before, after)
	}
}

func contractOf(set *contract.Set, customer string) *contract.Contract {
	for i := range set.Contracts {
		if set.Contracts[i].Customer == customer {
			return &set.Contracts[i]
		}
	}
	return nil
}

func presence(k *contract.Contract) string {
	if k == nil {
		return ""
	}
	return fmt.Sprintf("%d grants, %d routes", len(k.Grants), len(k.Routes))
}

// shownDigits is how much of a token's hash is shown: enough to find its line.
const shownDigits = 12

func (c *comparison) tokens(customer string, before, after *contract.Contract) {
	hashes := func(k *contract.Contract) []string {
		if k == nil {
			return nil
		}
		return k.TokenHashes
	}
	show := func(hash string, there bool) string {
		if !there {
			return ""
		}
		return hash[:min(shownDigits, len(hash))]
	}
	all := append(slices.Clone(hashes(before)), hashes(after)...)
	slices.Sort(all)
	for _, hash := range slices.Compact(all) {
		c.add(Change{Customer: customer, Subject: "caller token",
			Before: show(hash, slices.Contains(hashes(before), hash)),
			After:  show(hash, slices.Contains(hashes(after), hash))})
	}
}

func (c *comparison) grants(customer string, before, after *contract.Contract) {
	grants := func(k *contract.Contract) []contract.Grant {
		if k == nil {
			return nil
		}
		return k.Grants
	}
	for _, service := range names(grants(before), grants(after), func(g *contract.Grant) string { return g.Service }) {
		was := granted{c.before.Service(service), grantOf(before, service)}
		now := granted{c.after.Service(service), grantOf(after, service)}
		base := Change{Customer: customer, Service: service}
		c.part(base, "share of "+service, was.share(), now.share())
		c.part(base, "limit of "+service, was.limit(), now.limit())
		base.Subject = "grant of " + service
		c.fields(base, fieldsOf(was.grant, "service", "share", "limit"), fieldsOf(now.grant, "service", "share", "limit"))
	}
}

func (c *comparison) part(base Change, subject, before, after string) {
	base.Subject, base.Before, base.After = subject, before, after
	c.add(base)
}

func grantOf(k *contract.Contract, service string) *contract.Grant {
	if k == nil {
		return nil
	}
	return k.Grant(service)
}

// granted is a grant with the service that it is a part of: its slots change
// with either.
type granted struct {
	service *contract.Service
	grant   *contract.Grant
}

func (g granted) share() string {
	if g.grant == nil {
		return ""
	}
	return g.render(g.grant.Share)
}

func (g granted) limit() string {
	if g.grant == nil {
		return ""
	}
	return g.render(g.grant.Limit)
}

func (g granted) render(part float64) string {
	text := strconv.FormatFloat(part, 'g', -1, 64)
	if g.service == nil {
		return text
	}
	total := g.service.CommittedUpstreams() * g.service.Slots
	return fmt.Sprintf("%s (%s of %d slots)", text, FormatSlots(part*float64(total)), total)
}

// Slots renders a number of slots, with at most two decimals.
func FormatSlots(n float64) string {
	text := strconv.FormatFloat(n, 'f', 2, 64)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
}

func (c *comparison) routes(customer string, before, after *contract.Contract) {
	routes := func(k *contract.Contract) []contract.Route {
		if k == nil {
			return nil
		}
		return k.Routes
	}
	for _, name := range names(routes(before), routes(after), func(r *contract.Route) string { return r.Name }) {
		was, now := routeOf(routes(before), name), routeOf(routes(after), name)
		base := Change{Customer: customer, Subject: "route " + name}
		if was == nil || now == nil {
			base.Before, base.After = summary(was), summary(now)
			c.add(base)
			continue
		}
		c.fields(base, fieldsOf(was, "name"), fieldsOf(now, "name"))
	}
}

func routeOf(routes []contract.Route, name string) *contract.Route {
	for i := range routes {
		if routes[i].Name == name {
			return &routes[i]
		}
	}
	return nil
}

func summary(r *contract.Route) string {
	if r == nil {
		return ""
	}
	return fmt.Sprintf("%s to service %s, class %s", r.Prefix, r.Service, r.Class)
}

// names returns the names on either side, sorted, each once.
func names[T any](before, after []T, name func(*T) string) []string {
	var all []string
	for _, side := range [][]T{before, after} {
		for i := range side {
			all = append(all, name(&side[i]))
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
