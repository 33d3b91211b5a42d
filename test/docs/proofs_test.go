package docs

import (
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	testReference   = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]*)`")
	testDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]*)\(`)
)

// Guards against pages that cite a test for a guarantee although the test was renamed
// or removed, so that nothing checks the guarantee.
func TestNamedTestsExist(t *testing.T) {
	declared := map[string]bool{}
	walkFiles(t, ".", "_test.go", func(path string) {
		source, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, match := range testDeclaration.FindAllSubmatch(source, -1) {
			declared[string(match[1])] = true
		}
	})
	visitPages(t, func(path, text string) {
		for _, match := range testReference.FindAllStringSubmatch(text, -1) {
			assert.Check(t, declared[match[1]], "%s names %s, which no file declares", path, match[1])
		}
	})
}
