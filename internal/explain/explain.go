// Package explain explains how a contract applies to a request: its limits, share
// and targets with the line of the contract that each comes from, and the
// conditions under which the request would be refused. The package is pure.
package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"tamarackquay/internal/admission"
	"tamarackquay/internal/contract"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/routing"
)

// Query identifies the request to explain.
type Query struct {
	// Customer or Token selects the contract.
	Customer string
	Token    string
	// Path and Method are the request's; an empty Path explains all routes.
	Path   string
	Method string
	// FailureDomain is where the request enters; if it is empty, distances are
	// omitted.
	FailureDomain string
}

// Explanation is the result of Explain.
type Explanation struct {
	Customer string   `json:"customer,omitempty"`
	Location string   `json:"place,omitempty"`
	Routes   []Route  `json:"routes,omitempty"`
	Refused  *Refusal `json:"refused,omitempty"`
}

// Refusal is a refusal that doesn't depend on the load.
type Refusal struct {
	Reason   port.Reason `json:"reason"`
	Detail   string      `json:"detail"`
	Location string      `json:"place,omitempty"`
}

// LocatedValue is a value with the file and line that it comes from.
type LocatedValue struct {
	Value    string `json:"value"`
	Location string `json:"place,omitempty"`
}

// Route explains the requests of one route.
type Route struct {
	Name         string       `json:"name"`
	Location     string       `json:"place,omitempty"`
	Prefix       string       `json:"prefix"`
	Service      string       `json:"service"`
	Class        LocatedValue `json:"class"`
	Deadline     LocatedValue `json:"deadline"`
	StallTimeout LocatedValue `json:"stall"`
	// Execution states whether a request may run more than once.
	Execution LocatedValue `json:"runs"`
	Spill     LocatedValue `json:"spill"`
	// Domains lists the allowed failure domains; it is empty if all are allowed.
	Domains LocatedValue `json:"domains"`
	// Share, Limit and LongLimit are in slots, both of one target and of all
	// committed targets. LongLimit is empty for routes that are not long.
	Share     LocatedValue `json:"share"`
	Limit     LocatedValue `json:"limit"`
	LongLimit LocatedValue `json:"long_limit"`
	// Reach lists the failure domains in the order in which they are tried.
	Reach      []Domain    `json:"reach"`
	Conditions []Condition `json:"conditions"`
}

// Domain describes the targets of a route in one failure domain.
type Domain struct {
	Name string `json:"name"`
	// Committed is the number of committed upstreams, Slots that of their slots together.
	Committed int `json:"committed"`
	Slots     int `json:"slots"`
	// Distance is empty when the entry's failure domain or the domain's region
	// is not known.
	Distance string `json:"distance,omitempty"`
	// InReach is false if the route's spill setting excludes the domain.
	InReach  bool   `json:"in_reach"`
	Location string `json:"place,omitempty"`
	// Live lists the live targets in a node's view; nil if Input has no members.
	Live []string `json:"live,omitempty"`
}

// Condition is a refusal that depends on the current load or state.
type Condition struct {
	Reason   port.Reason `json:"reason"`
	When     string      `json:"when"`
	Location string      `json:"place,omitempty"`
}

// Input is the data that an explanation is derived from.
type Input struct {
	Set *contract.Set
	// Locations may be nil: published versions have no source files.
	Locations contract.Locations
	// Members are the members in a node's view, or nil.
	Members []membership.Record
	// Regions maps failure domains to their regions, as far as they are known.
	Regions map[string]string
}

// RegionsOf returns the region of each failure domain that has members.
func RegionsOf(members []membership.Record) map[string]string {
	regions := map[string]string{}
	for _, member := range members {
		regions[member.VM.FailureDomain] = member.VM.Region
	}
	return regions
}

// Explain returns the explanation of the request that the query identifies.
func Explain(input Input, query Query) Explanation {
	e := &explainer{Input: input, query: query}
	index := e.contractIndex()
	if index < 0 {
		return Explanation{Refused: &Refusal{Reason: port.ReasonUnknownToken, Detail: e.unknownContractDetail()}}
	}
	e.contract = &input.Set.Contracts[index]
	e.contractLocation = e.contractLocator(index)
	explanation := Explanation{Customer: e.contract.Customer, Location: e.contractLocation("customer")}
	for i := range e.contract.Routes {
		if e.matchesQuery(&e.contract.Routes[i]) {
			explanation.Routes = append(explanation.Routes, e.route(i))
		}
	}
	explanation.Refused = e.unconditionalRefusal(explanation.Routes)
	return explanation
}

type explainer struct {
	Input
	query            Query
	contract         *contract.Contract
	contractLocation func(key string) string
}

func (e *explainer) contractIndex() int {
	hash := contract.HashToken(e.query.Token)
	return slices.IndexFunc(e.Set.Contracts, func(k contract.Contract) bool {
		if e.query.Token != "" {
			return slices.Contains(k.TokenHashes, hash)
		}
		return k.Customer == e.query.Customer
	})
}

func (e *explainer) unknownContractDetail() string {
	if e.query.Token != "" {
		return "no contract accepts this token"
	}
	return fmt.Sprintf("there is no contract of customer %q", e.query.Customer)
}

func (e *explainer) contractLocator(index int) func(string) string {
	if e.Locations == nil {
		return func(string) string { return "" }
	}
	return formatLocator(e.Locations.Contract(index))
}

func (e *explainer) serviceLocator(name string) func(string) string {
	index := slices.IndexFunc(e.Set.Services, func(s contract.Service) bool { return s.Name == name })
	if e.Locations == nil || index < 0 {
		return func(string) string { return "" }
	}
	return formatLocator(e.Locations.Service(index))
}

func formatLocator(locate contract.Locator) func(string) string {
	return func(key string) string {
		file, line := locate(key)
		return fmt.Sprintf("%s:%d", file, line)
	}
}

// matchesQuery reports whether the query is about the route.
func (e *explainer) matchesQuery(route *contract.Route) bool {
	if e.query.Path == "" {
		return true
	}
	match := e.contract.Route(e.query.Path)
	return match != nil && match.Name == route.Name
}

// unconditionalRefusal returns the refusal that applies regardless of the load, or
// nil.
func (e *explainer) unconditionalRefusal(routes []Route) *Refusal {
	if e.query.Path == "" {
		return nil
	}
	if len(routes) == 0 {
		return &Refusal{Reason: port.ReasonUnknownRoute, Location: e.contractLocation("customer"),
			Detail: fmt.Sprintf("contract %s has no route for %s", e.contract.Customer, e.query.Path)}
	}
	route := e.contract.Route(e.query.Path)
	if !route.AcceptsMethod(e.query.Method) {
		return &Refusal{Reason: port.ReasonMethod, Location: routes[0].Location,
			Detail: fmt.Sprintf("route %s does not take %s", route.Name, e.query.Method)}
	}
	if !slices.ContainsFunc(routes[0].Reach, func(d Domain) bool { return d.InReach && d.hasTarget(e.Members) }) {
		if len(route.Domains) > 0 {
			return &Refusal{Reason: port.ReasonRegion, Location: routes[0].Domains.Location,
				Detail: fmt.Sprintf("no target of service %s within reach in %s", route.Service, routes[0].Domains.Value)}
		}
		return &Refusal{Reason: port.ReasonNoTarget, Location: routes[0].Spill.Location,
			Detail: fmt.Sprintf("no target of service %s within reach", route.Service)}
	}
	return nil
}

// hasTarget reports whether the domain has a target: a live one if the members are
// known, and otherwise a committed one.
func (d Domain) hasTarget(members []membership.Record) bool {
	if members == nil {
		return d.Committed > 0
	}
	return len(d.Live) > 0
}

func (e *explainer) route(index int) Route {
	route := &e.contract.Routes[index]
	key := func(field string) string { return e.contractLocation(fmt.Sprintf("route[%d].%s", index, field)) }
	rank := e.contract.ClassRank(route.Class)
	result := Route{
		Name: route.Name, Location: key("name"), Prefix: route.Prefix, Service: route.Service,
		Class:        LocatedValue{fmt.Sprintf("%s, place %d of %d in the queue's order", route.Class, rank+1, len(e.contract.Classes)), key("class")},
		Deadline:     LocatedValue{route.Deadline.Std().String() + " to the first byte", key("deadline")},
		StallTimeout: LocatedValue{route.StallTimeout.Std().String() + " between two bytes", key("stall")},
		Execution:    LocatedValue{executionText(route), key("idempotent")},
		Spill:        LocatedValue{string(cmp.Or(route.Spill, contract.SpillAnywhere)), key("spill")},
		Reach:        e.reach(route),
	}
	if len(route.Domains) > 0 {
		result.Domains = LocatedValue{strings.Join(route.Domains, ", "), key("domains")}
	}
	result.Share, result.Limit, result.LongLimit = e.slotLimits(route)
	result.Conditions = loadConditions(result)
	return result
}

func executionText(route *contract.Route) string {
	text := "at most once; an unknown outcome is never retried"
	if route.Idempotent {
		text = "idempotent; may be retried on another target"
	}
	if route.Long {
		text += "; holds its slot for long"
	}
	return text
}

// slotLimits formats the customer's share and limits of a service in slots.
func (e *explainer) slotLimits(route *contract.Route) (share, limit, longLimit LocatedValue) {
	grant, service := e.contract.Grant(route.Service), e.Set.Service(route.Service)
	if grant == nil || service == nil {
		none := LocatedValue{Value: "nothing is granted", Location: e.contractLocation("customer")}
		return none, none, none
	}
	index := slices.IndexFunc(e.contract.Grants, func(g contract.Grant) bool { return g.Service == route.Service })
	key := func(field string) string { return e.contractLocation(fmt.Sprintf("grant[%d].%s", index, field)) }
	share = LocatedValue{formatShare(grant.Share, service), key("share")}
	limit = LocatedValue{formatLimit(grant.Limit, service), key("limit")}
	if route.Long {
		longLimit = LocatedValue{formatLimit(cmp.Or(grant.LongLimit, grant.Limit), service), key("long_limit")}
	}
	return share, limit, longLimit
}

// formatShare formats a share. Fractions of slots are shown: a share holds on
// average over time.
func formatShare(fraction float64, service *contract.Service) string {
	upstreams := float64(service.CommittedUpstreams())
	slots := fraction * float64(service.Slots)
	return fmt.Sprintf("%g: %.4g of %d slots at each target, %.4g of %d committed",
		fraction, slots, service.Slots, slots*upstreams, service.Slots*service.CommittedUpstreams())
}

// formatLimit formats a limit in whole slots, as targets apply it.
func formatLimit(fraction float64, service *contract.Service) string {
	slots := admission.FloorSlots(fraction, service.Slots)
	return fmt.Sprintf("%g: at most %d of %d slots at each target, %d of %d committed",
		fraction, slots, service.Slots, slots*service.CommittedUpstreams(), service.Slots*service.CommittedUpstreams())
}

// reach returns the failure domains of a route's service, nearest first.
func (e *explainer) reach(route *contract.Route) []Domain {
	service := e.Set.Service(route.Service)
	if service == nil {
		return nil
	}
	locate := e.serviceLocator(route.Service)
	targets := e.liveTargets(route.Service)
	var domains []Domain
	for _, name := range e.domains(service, targets) {
		distance, known := e.distance(name)
		domains = append(domains, Domain{
			Name: name, Committed: service.Committed[name], Slots: service.Committed[name] * service.Slots,
			Distance: distanceText(distance, known), InReach: route.AllowsDomain(name) && (!known || routing.Within(route.Spill, distance)),
			Location: locate("committed." + name), Live: targets[name],
		})
	}
	slices.SortStableFunc(domains, func(a, b Domain) int {
		distanceA, _ := e.distance(a.Name)
		distanceB, _ := e.distance(b.Name)
		return cmp.Compare(distanceA, distanceB)
	})
	return domains
}

func (e *explainer) domains(service *contract.Service, live map[string][]string) []string {
	names := slices.Collect(maps.Keys(service.Committed))
	names = slices.AppendSeq(names, maps.Keys(live))
	slices.Sort(names)
	return slices.Compact(names)
}

// liveTargets returns the live targets of a service by failure domain.
func (e *explainer) liveTargets(service string) map[string][]string {
	live := map[string][]string{}
	for _, member := range e.Members {
		if member.State == membership.Live && member.VM.Service == service {
			live[member.VM.FailureDomain] = append(live[member.VM.FailureDomain], member.VM.ID)
		}
	}
	return live
}

// distance returns the distance from the failure domain where the request enters to
// the given one, and whether it is known.
func (e *explainer) distance(domain string) (routing.Distance, bool) {
	if e.query.FailureDomain == "" {
		return routing.OtherRegion, false
	}
	if domain == e.query.FailureDomain {
		return routing.SameDomain, true
	}
	region, known := e.Regions[domain]
	entryRegion, entryKnown := e.Regions[e.query.FailureDomain]
	if !known || !entryKnown {
		return routing.OtherRegion, false
	}
	if region == entryRegion {
		return routing.SameRegion, true
	}
	return routing.OtherRegion, true
}

func distanceText(distance routing.Distance, known bool) string {
	if !known {
		return ""
	}
	switch distance {
	case routing.SameDomain:
		return "same failure domain"
	case routing.SameRegion:
		return "same region"
	}
	return "other region"
}
