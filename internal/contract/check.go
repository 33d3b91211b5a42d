package contract

import (
	"fmt"
	"regexp"
	"time"

	"tamarackquay/internal/finding"
)

// The codes that checks of meaning report.
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
	CodeBadMethod      finding.Code = "bad-method"
	CodeBadPrefix      finding.Code = "bad-prefix"
	CodeOverlap        finding.Code = "prefixes-overlap"
	CodeTooMany        finding.Code = "too-many"
	CodeRounding       finding.Code = "part-rounds-badly"
)

// Bounds that keep a slip of the keyboard from reaching the fleet.
const (
	MaxSlots       = 10_000
	MaxConnections = 65_535
	MaxUpstreams   = 10_000
	MaxTimeout     = time.Hour
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)
	tokenPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Place tells a finding's file and line. Sets that were read from files know
// both; sets received as parts know neither.
type Locator func(key string) (file string, line int)

// Places finds the place of each resource of a set by its index.
type Locations interface {
	Service(index int) Locator
	Contract(index int) Locator
}

// NoPlaces is for sets that were not read from files.
type NoLocations struct{}

// Service returns a place that names the resource's kind only.
func (NoLocations) Service(int) Locator { return func(string) (string, int) { return "service", 0 } }

// Contract returns a place that names the resource's kind only.
func (NoLocations) Contract(int) Locator { return func(string) (string, int) { return "contract", 0 } }

// checker collects the findings of one set.
type checker struct {
	set    *Set
	places Locations
	found  finding.List
}

// Check returns every reason why the set could not be honoured. It is
// deterministic, so all nodes agree on whether a version is good.
func Check(set *Set, places Locations) finding.List {
	c := &checker{set: set, places: places}
	c.services()
	c.contracts()
	c.commitments()
	c.found.Sort()
	return c.found
}

func (c *checker) add(place Locator, code finding.Code, key, hint, format string, args ...any) {
	file, line := place(key)
	c.found = append(c.found, finding.Finding{
		Code: code, File: file, Line: line, Key: key,
		Problem: fmt.Sprintf(format, args...), Hint: hint,
	})
}

func (c *checker) name(place Locator, key, value string) {
	if value == "" {
		c.add(place, CodeMissing, key, "give it a name", "a name is required")
		return
	}
	if !namePattern.MatchString(value) {
		c.add(place, CodeBadName, key, "use lower-case letters, digits and dashes, 64 at most", "%q is not a name", value)
	}
}

// part finds numbers that are no part of a whole. It is written as "not inside"
// so that NaN, which compares false with everything, is outside as well.
func (c *checker) part(place Locator, key string, value float64) bool {
	if value >= 0 && value <= 1 {
		return true
	}
	c.add(place, CodeOutOfRange, key, "give a part from 0 to 1", "%v is not a part", value)
	return false
}

// wait finds times that are negative or absurdly long; zero is let through
// where the key may be left out.
func (c *checker) wait(place Locator, key string, value time.Duration, mayBeZero bool) {
	if value > MaxTimeout || value < 0 || value == 0 && !mayBeZero {
		c.add(place, CodeOutOfRange, key, `give a time such as "2s"`, "%s must be above zero and at most %s", value, MaxTimeout)
	}
}

func (c *checker) count(place Locator, key string, value, most int) {
	if value < 1 || value > most {
		c.add(place, CodeOutOfRange, key, fmt.Sprintf("give 1 to %d", most), "%s is %d", key, value)
	}
}
