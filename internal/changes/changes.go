// Package changes computes the differences between two contract sets in terms of
// services and contracts. It shows the effect of a change on each customer rather
// than the edited lines of files. The package is pure.
package changes

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"tamarackquay/internal/contract"
)

// Kind is the kind of a change.
type Kind string

// The kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one difference. Customer is empty for changes of a service that concern
// all customers.
type Change struct {
	Customer string `json:"customer,omitempty"`
	Service  string `json:"service,omitempty"`
	Kind     Kind   `json:"kind"`
	// Subject describes the changed item, for example "route tallies: deadline".
	Subject string `json:"subject"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

// String formats the change without its customer.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return strings.TrimSuffix(fmt.Sprintf("+ %s: %s", c.Subject, c.After), ": ")
	case Removed:
		return strings.TrimSuffix(fmt.Sprintf("- %s: %s", c.Subject, c.Before), ": ")
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Subject, c.Before, c.After)
}

// Diff returns all changes from before to after: first those of services, then
// those of customers by name.
func Diff(before, after *contract.Set) []Change {
	c := &comparison{before: before, after: after}
	c.services()
	c.customers()
	slices.SortStableFunc(c.changes, func(a, b Change) int { return cmp.Compare(a.Customer, b.Customer) })
	return c.changes
}

type comparison struct {
	before, after *contract.Set
	changes       []Change
}

// add appends a change if the two texts differ. An empty text means that the subject
// does not exist on that side.
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
	c.changes = append(c.changes, change)
}

func (c *comparison) services() {
	for _, name := range nameUnion(c.before.Services, c.after.Services, func(s *contract.Service) string { return s.Name }) {
		before, after := c.before.Service(name), c.after.Service(name)
		subject := "service " + name
		c.add(Change{Service: name, Subject: subject, Before: capacitySummary(before), After: capacitySummary(after)})
		if before == nil || after == nil {
			continue
		}
		c.fields(Change{Service: name, Subject: subject}, fieldsOf(before, "name"), fieldsOf(after, "name"))
	}
}

// capacitySummary formats the committed capacity of a service.
func capacitySummary(s *contract.Service) string {
	if s == nil {
		return ""
	}
	upstreams := s.CommittedUpstreams()
	return fmt.Sprintf("%d slots committed (%d upstreams of %d)", upstreams*s.Slots, upstreams, s.Slots)
}

func (c *comparison) customers() {
	for _, name := range nameUnion(c.before.Contracts, c.after.Contracts, func(k *contract.Contract) string { return k.Customer }) {
		before, after := findContract(c.before, name), findContract(c.after, name)
		c.add(Change{Customer: name, Subject: "contract", Before: contractSummary(before), After: contractSummary(after)})
		c.tokens(name, before, after)
		c.fields(Change{Customer: name, Subject: "contract"},
			fieldsOf(before, "customer", "token_hashes", "grant", "route"),
			fieldsOf(after, "customer", "token_hashes", "grant", "route"))
		c.grants(name, before, after)
		c.routes(name, before, after)
	}
}

func findContract(set *contract.Set, customer string) *contract.Contract {
	for i := range set.Contracts {
		if set.Contracts[i].Customer == customer {
			return &set.Contracts[i]
		}
	}
	return nil
}

func contractSummary(k *contract.Contract) string {
	if k == nil {
		return ""
	}
	return fmt.Sprintf("%d grants, %d routes", len(k.Grants), len(k.Routes))
}

// shownHashDigits is the number of digits of a token's hash that are shown, enough to
// find its line in the file.
const shownHashDigits = 12

func (c *comparison) tokens(customer string, before, after *contract.Contract) {
	hashes := func(k *contract.Contract) []string {
		if k == nil {
			return nil
		}
		return k.TokenHashes
	}
	show := func(hash string, present bool) string {
		if !present {
			return ""
		}
		return hash[:min(shownHashDigits, len(hash))]
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
	for _, service := range nameUnion(grants(before), grants(after), func(g *contract.Grant) string { return g.Service }) {
		previous := serviceGrant{c.before.Service(service), findGrant(before, service)}
		current := serviceGrant{c.after.Service(service), findGrant(after, service)}
		base := Change{Customer: customer, Service: service}
		c.addText(base, "share of "+service, previous.share(), current.share())
		c.addText(base, "limit of "+service, previous.limit(), current.limit())
		base.Subject = "grant of " + service
		c.fields(base, fieldsOf(previous.grant, "service", "share", "limit"), fieldsOf(current.grant, "service", "share", "limit"))
	}
}

func (c *comparison) addText(base Change, subject, before, after string) {
	base.Subject, base.Before, base.After = subject, before, after
	c.add(base)
}

func findGrant(k *contract.Contract, service string) *contract.Grant {
	if k == nil {
		return nil
	}
	return k.Grant(service)
}

// serviceGrant is a grant with its service. The granted number of slots depends on
// both.
type serviceGrant struct {
	service *contract.Service
	grant   *contract.Grant
}

func (g serviceGrant) share() string {
	if g.grant == nil {
		return ""
	}
	return g.format(g.grant.Share)
}

func (g serviceGrant) limit() string {
	if g.grant == nil {
		return ""
	}
	return g.format(g.grant.Limit)
}

func (g serviceGrant) format(fraction float64) string {
	text := strconv.FormatFloat(fraction, 'g', -1, 64)
	if g.service == nil {
		return text
	}
	total := g.service.CommittedUpstreams() * g.service.Slots
	return fmt.Sprintf("%s (%s of %d slots)", text, FormatSlots(fraction*float64(total)), total)
}

// FormatSlots formats a number of slots with at most two decimals.
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
	for _, name := range nameUnion(routes(before), routes(after), func(r *contract.Route) string { return r.Name }) {
		previous, current := findRoute(routes(before), name), findRoute(routes(after), name)
		base := Change{Customer: customer, Subject: "route " + name}
		if previous == nil || current == nil {
			base.Before, base.After = routeSummary(previous), routeSummary(current)
			c.add(base)
			continue
		}
		c.fields(base, fieldsOf(previous, "name"), fieldsOf(current, "name"))
	}
}

func findRoute(routes []contract.Route, name string) *contract.Route {
	for i := range routes {
		if routes[i].Name == name {
			return &routes[i]
		}
	}
	return nil
}

func routeSummary(r *contract.Route) string {
	if r == nil {
		return ""
	}
	return fmt.Sprintf("%s to service %s, class %s", r.Prefix, r.Service, r.Class)
}

// nameUnion returns the names that occur on either side, sorted and without
// duplicates.
func nameUnion[T any](before, after []T, name func(*T) string) []string {
	var all []string
	for _, side := range [][]T{before, after} {
		for i := range side {
			all = append(all, name(&side[i]))
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
