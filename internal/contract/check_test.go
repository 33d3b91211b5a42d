package contract

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/finding"
	"tamarackquay/internal/tomlfile"
)

// validSet returns a set without findings, which each test case then modifies.
func validSet() *Set {
	return &Set{
		Services: []Service{{Name: "tally", Slots: 12, MaxConnections: 110, Committed: map[string]int{"north-1": 1}}},
		Contracts: []Contract{{
			Customer: "co-operative", TokenHashes: []string{HashToken("token")}, Classes: []string{"crew"},
			Grants: []Grant{{Service: "tally", Share: 0.6, Limit: 1}},
			Routes: []Route{{Name: "tallies", Prefix: "/tallies", Service: "tally", Class: "crew",
				Deadline: tomlfile.Duration(time.Second), StallTimeout: tomlfile.Duration(time.Second)}},
		}},
	}
}

func codes(found finding.List) []finding.Code {
	var list []finding.Code
	for _, f := range found {
		list = append(list, f.Code)
	}
	return list
}

func TestCheckReportsInvalidSets(t *testing.T) {
	half, nan := 0.5, math.NaN()
	cases := []struct {
		desc   string
		mutate func(set *Set, c *Contract, service *Service)
		want   []finding.Code
	}{
		{"valid set", func(*Set, *Contract, *Service) {}, nil},
		{"long_lent within range", func(_ *Set, _ *Contract, s *Service) { s.LongBorrowLimit = &half }, nil},
		{"long_lent not a number", func(_ *Set, _ *Contract, s *Service) { s.LongBorrowLimit = &nan }, []finding.Code{CodeOutOfRange}},
		{"no slots", func(_ *Set, _ *Contract, s *Service) { s.Slots = 0 }, []finding.Code{CodeOutOfRange}},
		{"huge slots", func(_ *Set, _ *Contract, s *Service) { s.Slots = 1 << 40 }, []finding.Code{CodeOutOfRange}},
		{"huge commitment", func(_ *Set, _ *Contract, s *Service) { s.Committed["north-1"] = math.MaxInt }, []finding.Code{CodeOutOfRange}},
		{"commitments that overflow", func(_ *Set, _ *Contract, s *Service) { s.Committed["a"], s.Committed["b"] = math.MaxInt, math.MaxInt },
			[]finding.Code{CodeOutOfRange, CodeOutOfRange}},
		{"domain with an invalid name", func(_ *Set, _ *Contract, s *Service) { s.Committed["North 1"] = 1 }, []finding.Code{CodeBadName}},
		{"negative slow start", func(_ *Set, _ *Contract, s *Service) { s.SlowStart = -1 }, []finding.Code{CodeOutOfRange}},
		{"share not a number", func(_ *Set, c *Contract, _ *Service) { c.Grants[0].Share = math.NaN() }, []finding.Code{CodeOutOfRange}},
		{"infinite limit", func(_ *Set, c *Contract, _ *Service) { c.Grants[0].Limit = math.Inf(1) }, []finding.Code{CodeOutOfRange}},
		{"zero limit", func(_ *Set, c *Contract, _ *Service) { c.Grants[0] = Grant{Service: "tally"} }, []finding.Code{CodeOutOfRange}},
		{"limit below share", func(_ *Set, c *Contract, _ *Service) { c.Grants[0].Limit = 0.5 }, []finding.Code{CodeLimitBelow}},
		{"limit less than a slot", func(_ *Set, c *Contract, _ *Service) { c.Grants[0] = Grant{Service: "tally", Limit: 0.08} },
			[]finding.Code{CodeRounding}},
		{"limit rounds below the guarantee", func(_ *Set, c *Contract, _ *Service) { c.Grants[0].Limit = 0.6 }, []finding.Code{CodeRounding}},
		{"limit of exactly the guaranteed slots", func(_ *Set, c *Contract, _ *Service) { c.Grants[0] = Grant{Service: "tally", Share: 0.5, Limit: 0.5} }, nil},
		{"share below the minimum", func(_ *Set, c *Contract, _ *Service) { c.Grants[0].Share = 1e-12 }, []finding.Code{CodeRounding}},
		{"long limit above limit", func(_ *Set, c *Contract, _ *Service) {
			c.Grants[0] = Grant{Service: "tally", Share: 0.5, Limit: 0.5, LongLimit: 0.6}
		}, []finding.Code{CodeOutOfRange}},
		{"long limit less than a slot", func(_ *Set, c *Contract, _ *Service) { c.Grants[0].LongLimit = 0.01 }, []finding.Code{CodeRounding}},
		{"shares above the committed capacity", func(set *Set, c *Contract, _ *Service) {
			other := *c
			other.Customer, other.TokenHashes = "ministry", []string{HashToken("other")}
			other.Grants = []Grant{{Service: "tally", Share: 0.400000002, Limit: 1}}
			set.Contracts = append(set.Contracts, other)
		}, []finding.Code{CodeOvercommitted}},
		{"too many classes", func(_ *Set, c *Contract, _ *Service) { c.Classes = strings.Split("crew,b,c,d,e,f,g,h,i", ",") },
			[]finding.Code{CodeTooMany}},
		{"allowed failure domain", func(_ *Set, c *Contract, _ *Service) { c.Routes[0].Domains = []string{"north-1"} }, nil},
		{"unknown failure domain", func(_ *Set, c *Contract, _ *Service) { c.Routes[0].Domains = []string{"north-1", "moon"} },
			[]finding.Code{CodeUnknownDomain}},
		{"failure domain listed twice", func(_ *Set, c *Contract, _ *Service) { c.Routes[0].Domains = []string{"north-1", "north-1"} },
			[]finding.Code{CodeDuplicate}},
		{"no upstream in the allowed failure domains", func(set *Set, c *Contract, _ *Service) {
			set.Services = append(set.Services, Service{Name: "archive", Slots: 1, MaxConnections: 1, Committed: map[string]int{"south-1": 1}})
			c.Routes[0].Domains = []string{"south-1"}
		}, []finding.Code{CodeNoTarget}},
		{"unknown class", func(_ *Set, c *Contract, _ *Service) { c.Routes[0].Class = "boss" }, []finding.Code{CodeUnknownClass}},
		{"lower-case method", func(_ *Set, c *Contract, _ *Service) { c.Routes[0].Methods = []string{"get"} }, []finding.Code{CodeBadMethod}},
		{"method for proxies only", func(_ *Set, c *Contract, _ *Service) { c.Routes[0].Methods = []string{"CONNECT"} }, []finding.Code{CodeBadMethod}},
		{"method twice", func(_ *Set, c *Contract, _ *Service) { c.Routes[0].Methods = []string{"GET", "GET"} }, []finding.Code{CodeDuplicate}},
		{"prefix with a query", func(_ *Set, c *Contract, _ *Service) { c.Routes[0].Prefix = "/a?b" }, []finding.Code{CodeBadPrefix}},
		{"prefix with ..", func(_ *Set, c *Contract, _ *Service) { c.Routes[0].Prefix = "/a/../b" }, []finding.Code{CodeBadPrefix}},
		{"prefix with an empty segment", func(_ *Set, c *Contract, _ *Service) { c.Routes[0].Prefix = "//a" }, []finding.Code{CodeBadPrefix}},
		{"prefixes that differ in the trailing slash", func(_ *Set, c *Contract, _ *Service) {
			other := c.Routes[0]
			other.Name, other.Prefix = "again", "/tallies/"
			c.Routes = append(c.Routes, other)
		}, []finding.Code{CodeOverlap}},
		{"prefix below another", func(_ *Set, c *Contract, _ *Service) {
			other := c.Routes[0]
			other.Name, other.Prefix = "hourly", "/tallies/hourly"
			c.Routes = append(c.Routes, other)
		}, nil},
		{"deadline above the maximum", func(_ *Set, c *Contract, _ *Service) { c.Routes[0].Deadline = math.MaxInt64 }, []finding.Code{CodeOutOfRange}},
		{"no stall timeout", func(_ *Set, c *Contract, _ *Service) { c.Routes[0].StallTimeout = 0 }, []finding.Code{CodeOutOfRange}},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			set := validSet()
			tc.mutate(set, &set.Contracts[0], &set.Services[0])
			assert.DeepEqual(t, codes(Check(set, NoLocations{})), tc.want)
		})
	}
}

// The operator's files and a node's parts hold the same contracts in different
// orders. A floating-point sum of shares that add up to 1 comes out slightly above
// or below 1 depending on the order, so the operator's check could accept a version
// that every node then rejects. The result must not depend on the order.
func TestCheckResultDoesNotDependOnOrder(t *testing.T) {
	shares := []float64{0.1, 0.2, 0.3, 0.05, 0.15, 0.07, 0.03, 0.0999999995, 0.0000000005}
	for shift := range shares {
		set := &Set{Services: validSet().Services}
		for i := range shares {
			c := validSet().Contracts[0]
			c.Customer = string(rune('a' + i))
			c.TokenHashes = []string{HashToken(c.Customer)}
			c.Grants = []Grant{{Service: "tally", Share: shares[(i+shift)%len(shares)], Limit: 1}}
			set.Contracts = append(set.Contracts, c)
		}
		for _, f := range Check(set, NoLocations{}) {
			assert.Check(t, f.Code != CodeOvercommitted, "shift %d: %s", shift, f)
		}
	}
}
