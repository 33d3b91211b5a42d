// Package contract models what operators write: services with the capacity
// that the firm has committed to, and one contract per customer from which
// every limit, route and share of capacity follows. The package is pure.
package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"tamarackquay/internal/tomlfile"
)

// Service is a set of interchangeable upstreams. Which upstreams live at the
// moment is membership's business; a service says only what is committed, so
// that endpoint churn never makes a configuration version.
type Service struct {
	Name string `toml:"name" cbor:"name"`
	// Slots is how many requests one upstream runs at a time.
	Slots int `toml:"slots" cbor:"slots"`
	// MaxConnections bounds the connections that one upstream takes.
	MaxConnections int `toml:"max_connections" cbor:"max_connections"`
	// Committed is the number of upstreams paid for in each failure domain.
	Committed map[string]int `toml:"committed" cbor:"committed"`
	// SlowStart is how long a cold upstream takes to reach its full weight;
	// zero means that it starts at full weight.
	SlowStart tomlfile.Duration `toml:"slow_start" cbor:"slow_start"`
	// LongLent is the part of the slots guaranteed to customers that long
	// requests of other customers may borrow, 0 to 1. Such a slot comes back
	// only after minutes. Absent means DefaultLongLent.
	LongBorrowLimit *float64 `toml:"long_lent" cbor:"long_lent,omitempty"`
}

// DefaultLongLent lends nothing: with a quarter, customers that paused were
// kept to 0.75 of their contract when they came back
// (docs/measurements/admission.md).
const DefaultLongBorrowLimit = 0.0

// LongLentPart is LongLent or its default.
func (s *Service) LongBorrowLimitOrDefault() float64 {
	if s.LongBorrowLimit == nil {
		return DefaultLongBorrowLimit
	}
	return *s.LongBorrowLimit
}

// CommittedUpstreams is the number of upstreams paid for over all domains.
func (s *Service) CommittedUpstreams() int {
	total := 0
	for _, n := range s.Committed {
		total += n
	}
	return total
}

// Contract is everything that one customer was promised.
type Contract struct {
	Customer string `toml:"customer" cbor:"customer"`
	// TokenHashes are lower-case hex SHA-256 digests of the customer's caller
	// tokens. More than one is accepted so that tokens can be rotated.
	TokenHashes []string `toml:"token_hashes" cbor:"token_hashes"`
	// Classes are ordered: a request of an earlier class is served first.
	Classes []string `toml:"classes" cbor:"classes"`
	Grants  []Grant  `toml:"grant" cbor:"grant"`
	Routes  []Route  `toml:"route" cbor:"route"`
}

// Grant is a customer's promised part of one service.
type Grant struct {
	Service string `toml:"service" cbor:"service"`
	// Share is the guaranteed part of the service's slots, 0 to 1.
	Share float64 `toml:"share" cbor:"share"`
	// Limit is the largest part of the service's slots that the customer may
	// hold, guarantee and borrowed slots together, 0 to 1.
	Limit float64 `toml:"limit" cbor:"limit"`
	// LongLimit is the largest part of the service's slots that the
	// customer's long requests may hold, 0 to 1; 0 or absent means Limit.
	LongLimit float64 `toml:"long_limit" cbor:"long_limit,omitempty"`
}

// Route maps a caller's path onto a service.
type Route struct {
	Name string `toml:"name" cbor:"name"`
	// Prefix matches request paths at whole segments; the longest match wins.
	Prefix  string `toml:"prefix" cbor:"prefix"`
	Service string `toml:"service" cbor:"service"`
	Class   string `toml:"class" cbor:"class"`
	// Methods lists the accepted HTTP methods; empty means GET and HEAD.
	Methods []string `toml:"methods" cbor:"methods"`
	// Idempotent requests may run again after an unknown outcome. Others run
	// at most once.
	Idempotent bool `toml:"idempotent" cbor:"idempotent"`
	// Deadline bounds the time from arrival to the first byte of the answer.
	Deadline tomlfile.Duration `toml:"deadline" cbor:"deadline"`
	// Stall bounds the time between two bytes of the answer's body.
	StallTimeout tomlfile.Duration `toml:"stall" cbor:"stall"`
	// Long marks requests that hold a slot for minutes; admission bounds how
	// many lent slots they may take.
	Long bool `toml:"long" cbor:"long"`
	// Spill says how far from its entry a request may be served.
	Spill Spill `toml:"spill" cbor:"spill"`
}

// Spill is how far from its entry node a request may go for a free target.
type Spill string

// The reaches of a route, nearest first. The empty Spill means SpillAnywhere.
const (
	SpillDomain   Spill = "domain"
	SpillRegion   Spill = "region"
	SpillAnywhere Spill = "anywhere"
)

// AcceptsMethod reports whether the route takes the HTTP method.
func (r *Route) AcceptsMethod(method string) bool {
	if len(r.Methods) == 0 {
		return method == "GET" || method == "HEAD"
	}
	return slices.Contains(r.Methods, method)
}

// MatchesPath reports whether path is the prefix or lies below it.
func (r *Route) MatchesPath(path string) bool {
	rest, ok := strings.CutPrefix(path, r.Prefix)
	if !ok {
		return false
	}
	return rest == "" || rest[0] == '/' || strings.HasSuffix(r.Prefix, "/")
}

// Grant returns the contract's grant for a service, or nil.
func (c *Contract) Grant(service string) *Grant {
	for i := range c.Grants {
		if c.Grants[i].Service == service {
			return &c.Grants[i]
		}
	}
	return nil
}

// Route returns the route with the longest prefix that matches path, or nil.
func (c *Contract) Route(path string) *Route {
	var best *Route
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.MatchesPath(path) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// ClassRank is the position of a class in the contract's order, 0 first.
// Classes that the contract doesn't name come last.
func (c *Contract) ClassRank(class string) int {
	if rank := slices.Index(c.Classes, class); rank >= 0 {
		return rank
	}
	return len(c.Classes)
}

// HashToken returns the form of a caller token that stands in contracts.
func HashToken(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}

// Set is the whole configuration: what one version holds.
type Set struct {
	Services  []Service
	Contracts []Contract
}

// Service returns the named service, or nil.
func (s *Set) Service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}
