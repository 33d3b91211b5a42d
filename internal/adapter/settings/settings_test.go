package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/finding"
)

// Guards against reporting only the first fault of a settings file: with five faults, the
// operator would need five restarts to find them all, which during an outage could take half
// an hour. All five must be reported at once, each with its line.
func TestAllFaultsAreReportedTogether(t *testing.T) {
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

// validSettings sets only what has no default: addresses, ids, files and seeds.
const validSettings = `[vm]
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

func TestDefaultsNeedOnlyAddresses(t *testing.T) {
	s, found := Parse("node.toml", []byte(validSettings))
	assert.NilError(t, found.AsError())
	assert.Equal(t, len(s.Warnings), 0, "%v", s.Warnings)
}

// Guards against an invalid example file: operators copy it to configure their first node.
func TestExampleIsValid(t *testing.T) {
	const name = "../../../examples/node.toml"
	source, err := os.ReadFile(name)
	assert.NilError(t, err)
	s, found := Parse(name, source)
	assert.NilError(t, found.AsError())
	assert.Equal(t, len(s.Warnings), 0, "%v", s.Warnings)
}

func TestInvalidSettingsAreReported(t *testing.T) {
	for _, test := range []struct {
		desc     string
		from, to string
		code     finding.Code
		line     int
	}{
		{"two listeners with one address", "127.0.0.1:2", "127.0.0.1:1", CodeClash, 8},
		{"target with a listener's address", "127.0.0.1:4", "127.0.0.1:1", CodeClash, 11},
		{"address that peers can't reach", "127.0.0.1:2", "0.0.0.0:2", CodeBadAddress, 8},
		{"port that callers can't reach", "127.0.0.1:1", "127.0.0.1:0", CodeBadAddress, 7},
		{"URL without scheme", "http://127.0.0.1:5", "127.0.0.1:5", CodeBadURL, 13},
		{"id with a blank", "vm-1", "vm 1", CodeBadName, 2},
		{"bad seed", "127.0.0.1:6", "somewhere", CodeBadAddress, 18},
		{"repeated key", `id = "vm-1"`, "id = \"vm-1\"\nid = \"vm-2\"", finding.CodeRepeated, 3},
	} {
		t.Run(test.desc, func(t *testing.T) {
			_, found := Parse("node.toml", []byte(strings.Replace(validSettings, test.from, test.to, 1)))
			assert.Equal(t, len(found), 1, "%v", found)
			assert.Equal(t, found[0].Code, test.code)
			assert.Equal(t, found[0].Line, test.line, "%v", found)
		})
	}
}

// Guards against detecting an unreadable file only after the start: the daemon would fail
// under its supervisor, where the operator may not notice it.
func TestLoadReportsUnreadableFiles(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "node.toml")
	assert.NilError(t, os.WriteFile(file, []byte(strings.ReplaceAll(validSettings, `"c"`, `"`+file+`"`)), 0o600))
	_, found := Load(file)
	assert.Equal(t, len(found), 2, "%v", found)
	for _, f := range found {
		assert.Equal(t, f.Code, CodeUnreadable)
	}
}

func TestWarningsDoNotReject(t *testing.T) {
	text := strings.Replace(validSettings, `seeds = ["127.0.0.1:6"]`, "suspect_after = \"1500ms\"", 1)
	s, found := Parse("node.toml", []byte(text))
	assert.NilError(t, found.AsError())
	assert.Equal(t, len(s.Warnings), 2, "%v", s.Warnings)
}

// FuzzParse guards against input that makes the parser panic, and against findings without
// file or code.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
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

// Guards against starting a node with distribution settings that can't work: with a negative
// patience it would never wait for a nearer source, and with a redundancy of zero no path
// would be certain to deliver a version.
func TestDistributionSettingsAreChecked(t *testing.T) {
	source := strings.Replace(validSettings, "[peers]", "patience = \"-1s\"\nredundancy = 0\nstart_spread = \"-1s\"\n[peers]", 1)
	_, found := Parse("node.toml", []byte(source))
	keys := []string{}
	for _, f := range found {
		keys = append(keys, f.Key)
	}
	assert.DeepEqual(t, keys, []string{"platform.patience", "platform.redundancy", "platform.start_spread"})
}
