// Package contract defines the configuration that operators write: services with
// their committed capacity, and one contract per customer, which sets the
// customer's limits, routes and shares of capacity. The package does no I/O and
// reads no clock.
package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"tamarackquay/internal/tomlfile"
)

// Service is a set of interchangeable upstreams. It holds only the committed
// capacity; the upstreams that are currently live come from membership, so
// endpoint churn never creates a configuration version.
type Service struct {
	Name string `toml:"name" cbor:"name"`
	// Slots is the number of requests that one upstream runs concurrently.
	Slots int `toml:"slots" cbor:"slots"`
	// MaxConnections is the maximum number of connections to one upstream.
	MaxConnections int `toml:"max_connections" cbor:"max_connections"`
	// Committed is the number of upstreams paid for in each failure domain.
	Committed map[string]int `toml:"committed" cbor:"committed"`
	// SlowStart is the time in which the weight of a newly started upstream rises
	// to its full value; zero means that it starts at full weight.
	SlowStart tomlfile.Duration `toml:"slow_start" cbor:"slow_start"`
	// LongBorrowLimit is the fraction, 0 to 1, of the guaranteed slots of
	// customers that long requests of other customers may borrow. A slot borrowed
	// by a long request is returned only after minutes. Absent means
	// DefaultLongBorrowLimit.
	LongBorrowLimit *float64 `toml:"long_lent" cbor:"long_lent,omitempty"`
}

// DefaultLongBorrowLimit lets long requests borrow nothing. With 0.25, customers
// that had paused got only 0.75 of their contract when they sent requests again
// (docs/measurements/admission.md).
const DefaultLongBorrowLimit = 0.0

// LongBorrowLimitOrDefault returns LongBorrowLimit or its default.
func (s *Service) LongBorrowLimitOrDefault() float64 {
	if s.LongBorrowLimit == nil {
		return DefaultLongBorrowLimit
	}
	return *s.LongBorrowLimit
}

// CommittedUpstreams returns the number of upstreams paid for in all failure
// domains together.
func (s *Service) CommittedUpstreams() int {
	total := 0
	for _, n := range s.Committed {
		total += n
	}
	return total
}

// Contract holds everything that is guaranteed and permitted to one customer.
type Contract struct {
	Customer string `toml:"customer" cbor:"customer"`
	// TokenHashes are lower-case hex SHA-256 digests of the customer's caller
	// tokens. Several are allowed so that tokens can be rotated.
	TokenHashes []string `toml:"token_hashes" cbor:"token_hashes"`
	// Classes lists priority classes; requests of earlier classes are served first.
	Classes []string `toml:"classes" cbor:"classes"`
	Grants  []Grant  `toml:"grant" cbor:"grant"`
	Routes  []Route  `toml:"route" cbor:"route"`
}

// Grant is a customer's share of one service.
type Grant struct {
	Service string `toml:"service" cbor:"service"`
	// Share is the guaranteed fraction of the service's slots, 0 to 1.
	Share float64 `toml:"share" cbor:"share"`
	// Limit is the largest fraction of the service's slots, 0 to 1, that the
	// customer may hold, guaranteed and borrowed slots together.
	Limit float64 `toml:"limit" cbor:"limit"`
	// LongLimit is the largest fraction of the service's slots, 0 to 1, that the
	// customer's long requests may hold; 0 or absent means Limit.
	LongLimit float64 `toml:"long_limit" cbor:"long_limit,omitempty"`
}

// Route maps request paths to a service.
type Route struct {
	Name string `toml:"name" cbor:"name"`
	// Prefix matches whole segments of request paths; the longest match wins.
	Prefix  string `toml:"prefix" cbor:"prefix"`
	Service string `toml:"service" cbor:"service"`
	Class   string `toml:"class" cbor:"class"`
	// Methods lists the accepted HTTP methods; empty means GET and HEAD.
	Methods []string `toml:"methods" cbor:"methods"`
	// Idempotent requests may be retried after an unknown outcome. All others
	// run at most once.
	Idempotent bool `toml:"idempotent" cbor:"idempotent"`
	// Deadline limits the time from arrival to the first byte of the response.
	Deadline tomlfile.Duration `toml:"deadline" cbor:"deadline"`
	// StallTimeout limits the time between two bytes of the response body.
	StallTimeout tomlfile.Duration `toml:"stall" cbor:"stall"`
	// Long marks requests that hold a slot for minutes; admission limits the
	// number of slots that they may borrow.
	Long bool `toml:"long" cbor:"long"`
	// Spill limits the distance between entry node and target.
	Spill Spill `toml:"spill" cbor:"spill"`
	// Domains lists the failure domains in which requests may run and to whose VMs,
	// besides the entry node, their bodies may be sent; empty means all.
	Domains []string `toml:"domains" cbor:"domains,omitempty"`
}

// AllowsDomain reports whether requests of the route may run in a failure domain.
func (r *Route) AllowsDomain(domain string) bool {
	return len(r.Domains) == 0 || slices.Contains(r.Domains, domain)
}

// Spill is the greatest distance from the entry node at which a request may be
// served.
type Spill string

// The values of Spill, nearest first. An empty Spill means SpillAnywhere.
const (
	SpillDomain   Spill = "domain"
	SpillRegion   Spill = "region"
	SpillAnywhere Spill = "anywhere"
)

// AcceptsMethod reports whether the route accepts the HTTP method.
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

// ClassRank returns the position of a class in the contract's order, starting at
// 0. Classes that the contract doesn't list come last.
func (c *Contract) ClassRank(class string) int {
	if rank := slices.Index(c.Classes, class); rank >= 0 {
		return rank
	}
	return len(c.Classes)
}

// HashToken returns the lower-case hex SHA-256 digest of a caller token, as written in
// contracts.
func HashToken(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}

// Set is the complete configuration of one version.
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
