package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/finding"
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

// good is a file that names only the places.
const good = `[vm]
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
seeds = ["127.0.0.1:6"]
`

func TestDefaultsNeedOnlyThePlaces(t *testing.T) {
	s, found := Parse("node.toml", []byte(good))
	assert.NilError(t, found.AsError())
	assert.Equal(t, len(s.Warnings), 0, "%v", s.Warnings)
}

// The example is what a first node's settings are copied from.
func TestExampleIsGood(t *testing.T) {
	const name = "../../../examples/node.toml"
	source, err := os.ReadFile(name)
	assert.NilError(t, err)
	s, found := Parse(name, source)
	assert.NilError(t, found.AsError())
	assert.Equal(t, len(s.Warnings), 0, "%v", s.Warnings)
}

func TestFaults(t *testing.T) {
	for _, test := range []struct {
		desc     string
		from, to string
		code     finding.Code
		line     int
	}{
		{"listeners clash", "127.0.0.1:2", "127.0.0.1:1", CodeClash, 8},
		{"target is a listener", "127.0.0.1:4", "127.0.0.1:1", CodeClash, 11},
		{"address that peers can't call", "127.0.0.1:2", "0.0.0.0:2", CodeBadAddress, 8},
		{"port that callers can't call", "127.0.0.1:1", "127.0.0.1:0", CodeBadAddress, 7},
		{"URL without scheme", "http://127.0.0.1:5", "127.0.0.1:5", CodeBadURL, 13},
		{"id with a blank", "vm-1", "vm 1", CodeBadName, 2},
		{"bad seed", "127.0.0.1:6", "somewhere", CodeBadAddress, 18},
		{"key stands twice", `id = "vm-1"`, "id = \"vm-1\"\nid = \"vm-2\"", finding.CodeRepeated, 3},
	} {
		t.Run(test.desc, func(t *testing.T) {
			_, found := Parse("node.toml", []byte(strings.Replace(good, test.from, test.to, 1)))
			assert.Equal(t, len(found), 1, "%v", found)
			assert.Equal(t, found[0].Code, test.code)
			assert.Equal(t, found[0].Line, test.line, "%v", found)
		})
	}
}

// A daemon that starts and then fails on a missing key file is found by the
// operator's supervisor; one checked before is found by the operator.
func TestLoadFindsUnreadableFiles(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "node.toml")
	assert.NilError(t, os.WriteFile(file, []byte(strings.ReplaceAll(good, `"c"`, `"`+file+`"`)), 0o600))
	_, found := Load(file)
	assert.Equal(t, len(found), 2, "%v", found)
	for _, f := range found {
		assert.Equal(t, f.Code, CodeUnreadable)
	}
}

func TestWarningsDoNotRefuse(t *testing.T) {
	text := strings.Replace(good, `seeds = ["127.0.0.1:6"]`, "suspect_after = \"1500ms\"", 1)
	s, found := Parse("node.toml", []byte(text))
	assert.NilError(t, found.AsError())
	assert.Equal(t, len(s.Warnings), 2, "%v", s.Warnings)
}

// FuzzParse: no text may end the process, and each finding must name its file
// and code.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("[vm]\nid = 7\n[vm]\n"))
	f.Add([]byte("[peers]\nseeds = [1, \"\", [2]]\nheartbeat = \"-1s\""))
	f.Add([]byte("vm.id = \"a\"\nvm = 3\n[[vm]]"))
	f.Add([]byte("[requests]\nmax_body_bytes = 99999999999999999999\n\x00"))
	f.Fuzz(func(t *testing.T, source []byte) {
		_, found := Parse("fuzz.toml", source)
		for _, one := range found {
			if one.Code == "" || one.File != "fuzz.toml" || one.Line < 0 {
				t.Errorf("%+v", one)
			}
		}
	})
}

// A policy that can't work is found before the node starts: a negative patience
// would never wait, and no path would leave all news to chance.
func TestPolicyOfDistributionIsChecked(t *testing.T) {
	source := strings.Replace(good, "[peers]", "patience = \"-1s\"\nredundancy = 0\nstart_spread = \"-1s\"\n[peers]", 1)
	_, found := Parse("node.toml", []byte(source))
	keys := []string{}
	for _, f := range found {
		keys = append(keys, f.Key)
	}
	assert.DeepEqual(t, keys, []string{"platform.patience", "platform.redundancy", "platform.start_spread"})
}
