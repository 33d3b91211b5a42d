package contract

import (
	"fmt"
	"regexp"
	"time"

	"tamarackquay/internal/finding"
)

// Finding codes of the semantic checks.
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
	CodeUnknownDomain  finding.Code = "unknown-domain"
	CodeNoTarget       finding.Code = "route-without-target"
	CodeBadMethod      finding.Code = "bad-method"
	CodeBadPrefix      finding.Code = "bad-prefix"
	CodeOverlap        finding.Code = "prefixes-overlap"
	CodeTooMany        finding.Code = "too-many"
	CodeRounding       finding.Code = "part-rounds-badly"
)

// Upper bounds that reject typing errors before they reach the fleet.
const (
	// MaxSlots and MaxConnections bound the slots of and the connections to one upstream.
	MaxSlots       = 10_000
	MaxConnections = 65_535
	// MaxUpstreams bounds the committed upstreams of a service in one failure domain.
	MaxUpstreams = 10_000
	// MaxTimeout bounds every duration of a service or contract.
	MaxTimeout = time.Hour
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)
	tokenPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Locator returns the file and line of a key of one resource. Both are known for
// sets read from files and unknown for sets received as parts.
type Locator func(key string) (file string, line int)

// Locations returns the locator of each resource of a set by its index.
type Locations interface {
	Service(index int) Locator
	Contract(index int) Locator
}

// NoLocations implements Locations for sets that were not read from files.
type NoLocations struct{}

// Service returns a locator that gives the resource's kind in place of a file.
func (NoLocations) Service(int) Locator { return func(string) (string, int) { return "service", 0 } }

// Contract returns a locator that gives the resource's kind in place of a file.
func (NoLocations) Contract(int) Locator { return func(string) (string, int) { return "contract", 0 } }

// checker collects the findings of one set.
type checker struct {
	set       *Set
	locations Locations
	found     finding.List
}

// Check returns all findings that make the set invalid. It is deterministic, so
// all nodes agree on whether a version is valid.
func Check(set *Set, locations Locations) finding.List {
	c := &checker{set: set, locations: locations}
	c.services()
	c.contracts()
	c.overcommitted()
	c.found.Sort()
	return c.found
}

func (c *checker) add(locate Locator, code finding.Code, key, hint, format string, args ...any) {
	file, line := locate(key)
	c.found = append(c.found, finding.Finding{
		Code: code, File: file, Line: line, Key: key,
		Problem: fmt.Sprintf(format, args...), Hint: hint,
	})
}

func (c *checker) name(locate Locator, key, value string) {
	if value == "" {
		c.add(locate, CodeMissing, key, "set a name", "a name is required")
		return
	}
	if !namePattern.MatchString(value) {
		c.add(locate, CodeBadName, key, "use lower-case letters, digits and dashes, 64 at most", "%q is not a valid name", value)
	}
}

// fraction reports numbers outside 0 to 1. The condition tests for values inside
// the range, so that NaN, which compares false with everything, is rejected too.
func (c *checker) fraction(locate Locator, key string, value float64) bool {
	if value >= 0 && value <= 1 {
		return true
	}
	c.add(locate, CodeOutOfRange, key, "give a part from 0 to 1", "%v is not between 0 and 1", value)
	return false
}

// timeout reports durations that are negative or above MaxTimeout. Zero is
// accepted only for optional keys.
func (c *checker) timeout(locate Locator, key string, value time.Duration, allowZero bool) {
	if value > MaxTimeout || value < 0 || value == 0 && !allowZero {
		c.add(locate, CodeOutOfRange, key, `set a duration such as "2s"`, "%s must be above zero and at most %s", value, MaxTimeout)
	}
}

func (c *checker) count(locate Locator, key string, value, maximum int) {
	if value < 1 || value > maximum {
		c.add(locate, CodeOutOfRange, key, fmt.Sprintf("set a value from 1 to %d", maximum), "%s is %d", key, value)
	}
}
