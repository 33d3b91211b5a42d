// Package explain tells what follows from a contract for one request: which
// line gave which limit, share and targets, and when such a request would be
// refused. The package is pure.
package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"tamarackquay/internal/admission"
	"tamarackquay/internal/contract"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/routing"
)

// Query is the request to explain.
type Query struct {
	// Customer or Token names the contract.
	Customer string
	Token    string
	// Path and Method are the request's; an empty Path explains all routes.
	Path   string
	Method string
	// FailureDomain is where the request enters; empty leaves distances out.
	FailureDomain string
}

// Explanation is the answer.
type Explanation struct {
	Customer string   `json:"customer,omitempty"`
	Location string   `json:"place,omitempty"`
	Routes   []Route  `json:"routes,omitempty"`
	Refused  *Refusal `json:"refused,omitempty"`
}

// CertainReason is why the request would be refused whatever the load.
type Refusal struct {
	Reason   port.Reason `json:"reason"`
	Detail   string      `json:"detail"`
	Location string      `json:"place,omitempty"`
}

// Sourced is a value with the line that gave it.
type LocatedValue struct {
	Value    string `json:"value"`
	Location string `json:"place,omitempty"`
}

// Route is what follows for the requests of one route.
type Route struct {
	Name     string       `json:"name"`
	Location string       `json:"place,omitempty"`
	Prefix   string       `json:"prefix"`
	Service  string       `json:"service"`
	Class    LocatedValue `json:"class"`
	Deadline LocatedValue `json:"deadline"`
	Stall    LocatedValue `json:"stall"`
	Runs     LocatedValue `json:"runs"`
	Spill    LocatedValue `json:"spill"`
	// Share, Limit and LongLimit are in slots, of one target and of all
	// committed ones. LongLimit is empty for routes that are not long.
	Share     LocatedValue `json:"share"`
	Limit     LocatedValue `json:"limit"`
	LongLimit LocatedValue `json:"long_limit"`
	// Reach lists the failure domains in the order in which they are tried.
	Reach      []Domain    `json:"reach"`
	Conditions []Condition `json:"conditions"`
}

// Domain is one failure domain's part in a route.
type Domain struct {
	Name      string `json:"name"`
	Committed int    `json:"committed"`
	Slots     int    `json:"slots"`
	// Distance is empty when the entry's failure domain or the domain's region
	// is not known.
	Distance string `json:"distance,omitempty"`
	// InReach is false when the route's spill bars the domain.
	InReach  bool   `json:"in_reach"`
	Location string `json:"place,omitempty"`
	// Live lists the targets that a node sees there; nil if none was asked.
	Live []string `json:"live,omitempty"`
}

// Condition is a refusal that depends on the load or state of the moment.
type Condition struct {
	Reason   port.Reason `json:"reason"`
	When     string      `json:"when"`
	Location string      `json:"place,omitempty"`
}

// Input is what an explanation is worked out from.
type Input struct {
	Set *contract.Set
	// Places may be nil: published versions carry no files.
	Locations contract.Locations
	// Members are what a node sees, or nil.
	Members []membership.Record
	// Regions gives the region of failure domains that are known.
	Regions map[string]string
}

// RegionsOf reads the region of each failure domain from members.
func RegionsOf(members []membership.Record) map[string]string {
	regions := map[string]string{}
	for _, member := range members {
		regions[member.VM.FailureDomain] = member.VM.Region
	}
	return regions
}

// Explain works out the answer.
func Explain(input Input, query Query) Explanation {
	e := &explainer{Input: input, query: query}
	index := e.contractIndex()
	if index < 0 {
		return Explanation{Refused: &Refusal{Reason: port.ReasonUnknownToken, Detail: e.unknownContract()}}
	}
	e.terms = &input.Set.Contracts[index]
	e.place = e.contractPlace(index)
	answer := Explanation{Customer: e.terms.Customer, Location: e.place("customer")}
	for i := range e.terms.Routes {
		if e.wanted(&e.terms.Routes[i]) {
			answer.Routes = append(answer.Routes, e.route(i))
		}
	}
	answer.Refused = e.refused(answer.Routes)
	return answer
}

type explainer struct {
	Input
	query Query
	terms *contract.Contract
	place func(key string) string
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

func (e *explainer) unknownContract() string {
	if e.query.Token != "" {
		return "no contract accepts this token"
	}
	return fmt.Sprintf("there is no contract of customer %q", e.query.Customer)
}

func (e *explainer) contractPlace(index int) func(string) string {
	if e.Locations == nil {
		return func(string) string { return "" }
	}
	return placeText(e.Locations.Contract(index))
}

func (e *explainer) servicePlace(name string) func(string) string {
	index := slices.IndexFunc(e.Set.Services, func(s contract.Service) bool { return s.Name == name })
	if e.Locations == nil || index < 0 {
		return func(string) string { return "" }
	}
	return placeText(e.Locations.Service(index))
}

func placeText(place contract.Locator) func(string) string {
	return func(key string) string {
		file, line := place(key)
		return fmt.Sprintf("%s:%d", file, line)
	}
}

// wanted reports whether the query is about the route.
func (e *explainer) wanted(route *contract.Route) bool {
	if e.query.Path == "" {
		return true
	}
	best := e.terms.Route(e.query.Path)
	return best != nil && best.Name == route.Name
}

// refused finds the refusal that no change of load would lift.
func (e *explainer) refused(routes []Route) *Refusal {
	if e.query.Path == "" {
		return nil
	}
	if len(routes) == 0 {
		return &Refusal{Reason: port.ReasonUnknownRoute, Location: e.place("customer"),
			Detail: fmt.Sprintf("contract %s has no route for %s", e.terms.Customer, e.query.Path)}
	}
	route := e.terms.Route(e.query.Path)
	if !route.AcceptsMethod(e.query.Method) {
		return &Refusal{Reason: port.ReasonMethod, Location: routes[0].Location,
			Detail: fmt.Sprintf("route %s does not take %s", route.Name, e.query.Method)}
	}
	if !slices.ContainsFunc(routes[0].Reach, func(d Domain) bool { return d.InReach && d.usable(e.Members) }) {
		return &Refusal{Reason: port.ReasonNoTarget, Location: routes[0].Spill.Location,
			Detail: fmt.Sprintf("no target of service %s within reach", route.Service)}
	}
	return nil
}

// usable reports whether the domain has a target: a live one if a node was
// asked, and otherwise a committed one.
func (d Domain) usable(members []membership.Record) bool {
	if members == nil {
		return d.Committed > 0
	}
	return len(d.Live) > 0
}

func (e *explainer) route(index int) Route {
	route := &e.terms.Routes[index]
	key := func(field string) string { return e.place(fmt.Sprintf("route[%d].%s", index, field)) }
	rank := e.terms.ClassRank(route.Class)
	answer := Route{
		Name: route.Name, Location: key("name"), Prefix: route.Prefix, Service: route.Service,
		Class:    LocatedValue{fmt.Sprintf("%s, place %d of %d in the queue's order", route.Class, rank+1, len(e.terms.Classes)), key("class")},
		Deadline: LocatedValue{route.Deadline.Std().String() + " to the first byte", key("deadline")},
		Stall:    LocatedValue{route.StallTimeout.Std().String() + " between two bytes", key("stall")},
		Runs:     LocatedValue{runs(route), key("idempotent")},
		Spill:    LocatedValue{string(cmp.Or(route.Spill, contract.SpillAnywhere)), key("spill")},
		Reach:    e.reach(route),
	}
	answer.Share, answer.Limit, answer.LongLimit = e.parts(route)
	answer.Conditions = conditions(answer)
	return answer
}

func runs(route *contract.Route) string {
	text := "at most once; an unknown outcome is never retried"
	if route.Idempotent {
		text = "idempotent; may be retried on another target"
	}
	if route.Long {
		text += "; holds its slot for long"
	}
	return text
}

// parts renders the customer's share and limits of a service in slots.
func (e *explainer) parts(route *contract.Route) (share, limit, longLimit LocatedValue) {
	grant, service := e.terms.Grant(route.Service), e.Set.Service(route.Service)
	if grant == nil || service == nil {
		none := LocatedValue{Value: "nothing is granted", Location: e.place("customer")}
		return none, none, none
	}
	index := slices.IndexFunc(e.terms.Grants, func(g contract.Grant) bool { return g.Service == route.Service })
	key := func(field string) string { return e.place(fmt.Sprintf("grant[%d].%s", index, field)) }
	share = LocatedValue{guaranteed(grant.Share, service), key("share")}
	limit = LocatedValue{atMost(grant.Limit, service), key("limit")}
	if route.Long {
		longLimit = LocatedValue{atMost(cmp.Or(grant.LongLimit, grant.Limit), service), key("long_limit")}
	}
	return share, limit, longLimit
}

// guaranteed renders a share: fractions of a slot count, over time.
func guaranteed(part float64, service *contract.Service) string {
	upstreams := float64(service.CommittedUpstreams())
	slots := part * float64(service.Slots)
	return fmt.Sprintf("%g: %.4g of %d slots at each target, %.4g of %d committed",
		part, slots, service.Slots, slots*upstreams, service.Slots*service.CommittedUpstreams())
}

// atMost renders a limit as targets keep it: in whole slots.
func atMost(part float64, service *contract.Service) string {
	slots := admission.FloorSlots(part, service.Slots)
	return fmt.Sprintf("%g: at most %d of %d slots at each target, %d of %d committed",
		part, slots, service.Slots, slots*service.CommittedUpstreams(), service.Slots*service.CommittedUpstreams())
}

// reach lists the failure domains of a route's service, nearest first.
func (e *explainer) reach(route *contract.Route) []Domain {
	service := e.Set.Service(route.Service)
	if service == nil {
		return nil
	}
	place := e.servicePlace(route.Service)
	live := e.live(route.Service)
	var domains []Domain
	for _, name := range e.domains(service, live) {
		distance, known := e.distance(name)
		domains = append(domains, Domain{
			Name: name, Committed: service.Committed[name], Slots: service.Committed[name] * service.Slots,
			Distance: distanceText(distance, known), InReach: !known || routing.Within(route.Spill, distance),
			Location: place("committed." + name), Live: live[name],
		})
	}
	slices.SortStableFunc(domains, func(a, b Domain) int {
		near, _ := e.distance(a.Name)
		far, _ := e.distance(b.Name)
		return cmp.Compare(near, far)
	})
	return domains
}

func (e *explainer) domains(service *contract.Service, live map[string][]string) []string {
	names := slices.Collect(maps.Keys(service.Committed))
	names = slices.AppendSeq(names, maps.Keys(live))
	slices.Sort(names)
	return slices.Compact(names)
}

// live lists the live targets of a service by failure domain.
func (e *explainer) live(service string) map[string][]string {
	live := map[string][]string{}
	for _, member := range e.Members {
		if member.State == membership.Live && member.VM.Service == service {
			live[member.VM.FailureDomain] = append(live[member.VM.FailureDomain], member.VM.ID)
		}
	}
	return live
}

// distance tells how far a failure domain is from where the request enters, and
// whether that is known.
func (e *explainer) distance(domain string) (routing.Distance, bool) {
	if e.query.FailureDomain == "" {
		return routing.OtherRegion, false
	}
	if domain == e.query.FailureDomain {
		return routing.SameDomain, true
	}
	region, known := e.Regions[domain]
	own, ownKnown := e.Regions[e.query.FailureDomain]
	if !known || !ownKnown {
		return routing.OtherRegion, false
	}
	if region == own {
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
