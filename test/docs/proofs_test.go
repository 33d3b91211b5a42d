package docs

import (
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	namedTest    = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]*)`")
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]*)\(`)
)

// A page names a test as the proof of a promise, and the test is renamed or
// gone: a reader then trusts what nothing checks.
func TestNamedTestsExist(t *testing.T) {
	declared := map[string]bool{}
	walk(t, ".", "_test.go", func(path string) {
		source, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, match := range declaredTest.FindAllSubmatch(source, -1) {
			declared[string(match[1])] = true
		}
	})
	pages(t, func(path, text string) {
		for _, match := range namedTest.FindAllStringSubmatch(text, -1) {
			assert.Check(t, declared[match[1]], "%s names %s, which no file declares", path, match[1])
		}
	})
}
