package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

// An operator who made five mistakes is told of all five at once, each with
// its line; the daemon does not start. Five restarts to find five faults would
// cost an outage its first half hour.
func TestFiveFaultsAreReportedTogether(t *testing.T) {
	source := `[vm]
id = "vm-1"
failure_domain = 7
region = "north"
service = "tally"
[listen]
callers = "not an address"
peers = "127.0.0.1:1"
operators = "127.0.0.1:2"
[target]
address = "127.0.0.1:3"
max_conections = 5
[platform]
url = "http://127.0.0.1:4"
readers = 0
[peers]
certificate_file = "c"
key_file = "k"
authority_files = ["a"]
heartbeat = "soon"
`
	_, found := Parse("node.toml", []byte(source))
	lines := []int{}
	for _, f := range found {
		lines = append(lines, f.Line)
		assert.Check(t, f.Hint != "", "%s has no hint", f)
	}
	assert.DeepEqual(t, lines, []int{3, 7, 12, 15, 20})
}

func TestDefaultsNeedOnlyThePlaces(t *testing.T) {
	source := `[vm]
id = "vm-1"
failure_domain = "north-1"
region = "north"
service = "tally"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
operators = "127.0.0.1:3"
[target]
address = "127.0.0.1:4"
[platform]
url = "http://127.0.0.1:5"
[peers]
certificate_file = "c"
key_file = "k"
authority_files = ["a"]
`
	_, found := Parse("node.toml", []byte(source))
	assert.NilError(t, found.AsError())
}
