package contract

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExamplesAreValid(t *testing.T) {
	for _, dir := range []string{"co-operative", "lighting-records"} {
		var sources []Source
		for _, name := range []string{"services.toml", "contracts.toml"} {
			file := "../../examples/" + dir + "/" + name
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			sources = append(sources, Source{Name: file, Text: text})
		}
		_, found := Parse(sources)
		assert.NilError(t, found.AsError())
	}
}

// The example contract in the operators' documentation must be valid.
func TestDocumentedContractIsValid(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/contracts.md")
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(page), "```toml\n")
	example, _, found := strings.Cut(rest, "```")
	assert.Check(t, found)
	_, faults := Parse([]Source{{Name: "contracts.md", Text: []byte(example)}})
	assert.NilError(t, faults.AsError())
}

// Syntax and semantic faults in two contracts are reported in one run, each with
// its line, so that an operator can correct all of them at once.
func TestFindingsCarryLineNumbers(t *testing.T) {
	source := `[[service]]
name = "tally"
slots = 4
max_connections = 10
committed = { a = 1 }
[[contract]]
customer = "one"
token_hashes = ["zz"]
classes = ["crew"]
[[contract.grant]]
service = "tally"
share = 0.6
limit = 0.5
[[contract]]
customer = "two"
token_hashes = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
classes = ["crew"]
colour = "red"
[[contract.grant]]
service = "tally"
share = 0.5
limit = 1.0
[[contract.route]]
name = "r"
prefix = "/r"
service = "nowhere"
class = "crew"
deadline = "1s"
stall = "1s"
`
	_, found := Parse([]Source{{Name: "c.toml", Text: []byte(source)}})
	type position struct {
		Line int
		Code string
	}
	var positions []position
	for _, f := range found {
		positions = append(positions, position{f.Line, string(f.Code)})
	}
	assert.DeepEqual(t, positions, []position{
		{8, string(CodeBadToken)}, {13, string(CodeLimitBelow)}, {18, "unknown-key"},
		{21, string(CodeOvercommitted)}, {26, string(CodeUnknownService)},
	})
}

// Parse must return a set, with or without findings, for any file content.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[[service]]\nname = 1\n"))
	f.Add([]byte("[[contract]]\n[[contract.grant]]\nshare = nan\n"))
	f.Add([]byte("a = [\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, _ := Parse([]Source{{Name: "f.toml", Text: text}})
		assert.Check(t, set != nil)
	})
}
