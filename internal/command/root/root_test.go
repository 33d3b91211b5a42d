package root

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"tamarackquay/internal/adapter/auditlog"
	"tamarackquay/internal/adapter/operatorhttp"
	"tamarackquay/internal/command"
	"tamarackquay/internal/finding"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/node"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

const examples = "../../../examples"

// runCommand runs tamarackctl and returns its output and exit code.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	root := New()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&out)
	err := root.ExecuteContext(t.Context())
	if code := command.ExitCode(err); code != command.ExitUsage {
		return out.String(), code
	}
	return out.String() + err.Error(), command.ExitUsage
}

// copyContracts copies the Co-operative's example contracts with the given edits.
func copyContracts(t *testing.T, edits ...string) string {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"contracts.toml", "services.toml"} {
		text, err := os.ReadFile(filepath.Join(examples, "co-operative", name))
		assert.NilError(t, err)
		edited := strings.NewReplacer(edits...).Replace(string(text))
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(edited), 0o600))
	}
	return dir
}

func TestExitCodes(t *testing.T) {
	bad := copyContracts(t, "share = 0.5", "share = 1.5")
	out := t.TempDir()
	for _, test := range []struct {
		desc string
		args []string
		want int
		text string
	}{
		{"good contracts", []string{"check", examples + "/co-operative"}, command.ExitOK, "3 services and 1 contracts are good"},
		{"bad contracts", []string{"check", bad}, command.ExitFindings, "contracts.toml:21: grant[2].share"},
		{"bad contracts as JSON", []string{"check", bad, "--output", "json"}, command.ExitFindings, `"line": 21`},
		{"bad contracts are not built", []string{"build", bad, "--out", out, "--by", "x"}, command.ExitFindings, "out-of-range"},
		{"no directory", []string{"check"}, command.ExitUsage, "accepts 1 arg"},
		{"unknown command", []string{"chekc"}, command.ExitUsage, "unknown command"},
		{"unknown output", []string{"diff", bad, bad, "--output", "xml"}, command.ExitUsage, "write text or json"},
		{"no address", []string{"status"}, command.ExitUsage, "--nodes"},
		{"a name for an address", []string{"audit", "localhost:1"}, command.ExitUsage, "write IP:PORT"},
		{"no customer", []string{"explain", bad}, command.ExitUsage, "--customer"},
		{"completion", []string{"completion", "bash"}, command.ExitOK, "tamarackctl"},
	} {
		t.Run(test.desc, func(t *testing.T) {
			text, code := runCommand(t, test.args...)
			assert.Equal(t, code, test.want, text)
			assert.Check(t, cmp.Contains(text, test.text))
		})
	}
}

// Guards against lost updates: two operators start from version 1.1, the first
// publishes 1.2, and the second builds from 1.1 as well. Publishing that would
// silently revert the first change on every node, so build refuses it. With --force
// it is built with a note, under a version newer than the one it replaces.
func TestBuildRefusesToDropAnotherOperatorsChange(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	build := func(source, out string, more ...string) (string, int) {
		return runCommand(t, append([]string{"build", source, "--out", path(out), "--by", out}, more...)...)
	}
	mine, theirs := copyContracts(t, `"2s"`, `"3s"`), copyContracts(t, "limit = 0.8", "limit = 0.9")
	_, code := build(copyContracts(t), "first", "--published", path("first"))
	assert.Equal(t, code, command.ExitOK)
	_, code = build(theirs, "theirs", "--parent", path("first"), "--published", path("first"))
	assert.Equal(t, code, command.ExitOK)

	text, code := build(mine, "mine", "--parent", path("first"), "--published", path("theirs"))
	assert.Equal(t, code, command.ExitFindings, text)
	assert.Check(t, cmp.Contains(text, "version 1.2 by theirs"))
	_, err := os.Stat(path("mine"))
	assert.Check(t, os.IsNotExist(err), "nothing is written")

	text, code = build(mine, "mine", "--parent", path("first"), "--published", path("theirs"), "--force")
	assert.Equal(t, code, command.ExitOK, text)
	assert.Check(t, cmp.Contains(text, "version 1.3"))
	assert.Check(t, cmp.Contains(text, "note: forced"))

	_, code = build(mine, "none", "--published", path("theirs"))
	assert.Equal(t, code, command.ExitFindings, "no parent at all")
	text, _ = build(mine, "quiet", "--parent", path("first"))
	assert.Check(t, cmp.Contains(text, "note: not compared"))
}

func TestDiffShowsChangesForACustomer(t *testing.T) {
	text, code := runCommand(t, "diff", copyContracts(t), copyContracts(t, "limit = 0.8", "limit = 0.9", "slots = 12", "slots = 24"))
	assert.Equal(t, code, command.ExitOK)
	assert.Check(t, cmp.Contains(text, "~ limit of archive: 0.8 (57.6 of 72 slots) -> 0.9 (129.6 of 144 slots)"))
	assert.Check(t, cmp.Contains(text, "~ share of tally: 0.6 (43.2 of 72 slots) -> 0.6 (86.4 of 144 slots)"))
	same, _ := runCommand(t, "diff", copyContracts(t), copyContracts(t))
	assert.Check(t, cmp.Contains(same, "nothing changes for any customer"))
}

// fakeNode serves a status and an audit trail like a node.
func fakeNode(t *testing.T, status node.Status, events ...port.AuditEvent) string {
	t.Helper()
	mux := http.NewServeMux()
	serve := func(path string, value any) {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(value) })
	}
	serve(operatorhttp.PathStatus, status)
	mux.HandleFunc(operatorhttp.PathAudit, func(w http.ResponseWriter, r *http.Request) {
		filter, err := auditlog.ParseFilter(r.URL.Query())
		assert.NilError(t, err)
		_ = json.NewEncoder(w).Encode(filter.Apply(slices.Clone(events)))
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// unreachableAddress is a loopback address on which nothing listens.
const unreachableAddress = "127.0.0.1:1"

func statusOf(id string, revision uint64) node.Status {
	return node.Status{VM: membership.VM{ID: id}, Applied: snapshot.Version{Epoch: 1, Revision: revision},
		Health: node.Health{State: node.HealthReady}}
}

// Guards against a status that omits failing nodes: of three nodes one does not
// respond, and one lags because it refused the new version. All three are shown.
func TestStatusShowsLaggingAndUnreachableNodes(t *testing.T) {
	behind := statusOf("vm-2", 1)
	behind.VersionProblems = []node.VersionProblem{{Kind: port.AuditRefused, Version: "1.2", From: "platform",
		Findings: finding.List{{Code: "part-corrupt", Problem: "broken"}}}}
	text, code := runCommand(t, "status", fakeNode(t, statusOf("vm-1", 2)), unreachableAddress, fakeNode(t, behind))
	assert.Equal(t, code, command.ExitFindings)
	for _, want := range []string{"vm-1", unreachableAddress + " no answer: unreachable", "lags", "version-refused: version 1.2 from platform",
		"broken [part-corrupt]", "newest version 1.2; 2 of 3 nodes answer, 1 lag"} {
		assert.Check(t, cmp.Contains(text, want))
	}
	_, code = runCommand(t, "status", fakeNode(t, statusOf("vm-1", 2)))
	assert.Equal(t, code, command.ExitOK)
	cut := statusOf("vm-3", 2)
	cut.Unreachable = []string{"north-1"}
	text, code = runCommand(t, "status", fakeNode(t, cut))
	assert.Equal(t, code, command.ExitFindings)
	assert.Check(t, cmp.Contains(text, "no contact with failure domains: north-1"))
}

func TestStatusWaitsForAVersion(t *testing.T) {
	address := fakeNode(t, statusOf("vm-1", 2))
	text, code := runCommand(t, "status", address, "--wait", "1.2")
	assert.Equal(t, code, command.ExitOK)
	assert.Check(t, cmp.Contains(text, "version 1.2 is in force on all 1 nodes"))
	text, code = runCommand(t, "status", address, "--wait", "1.3", "--timeout", "1ms")
	assert.Equal(t, code, command.ExitFindings)
	assert.Check(t, cmp.Contains(text, "version 1.3 is not in force on 1 of 1 nodes"))
}

func TestAuditMergesTrailsInOrder(t *testing.T) {
	published := time.Now().Add(-time.Hour)
	at := func(ms int, vm string) port.AuditEvent {
		return port.AuditEvent{Time: published.Add(time.Duration(ms) * time.Millisecond), VM: vm, Kind: port.AuditApplied,
			Version: "1.2", Root: "0123456789abcdef", PublishedBy: "r.chen", PublishedAt: &published}
	}
	first, second := fakeNode(t, node.Status{}, at(120, "vm-1")), fakeNode(t, node.Status{}, at(80, "vm-2"))
	text, code := runCommand(t, "audit", first, unreachableAddress, second)
	assert.Equal(t, code, command.ExitFindings)
	assert.Check(t, strings.Index(text, "vm-2") < strings.Index(text, "vm-1"), text)
	assert.Check(t, cmp.Contains(text, "published by r.chen  80ms before"))
	assert.Check(t, cmp.Contains(text, unreachableAddress+" no answer"))
	text, code = runCommand(t, "audit", first, second, "--versions")
	assert.Equal(t, code, command.ExitOK)
	assert.Check(t, cmp.Contains(text, "in force on 2 nodes, the last (vm-1) 40ms after the first"))
	again := fakeNode(t, node.Status{}, at(120, "vm-1"), at(900, "vm-1"), port.AuditEvent{Time: published, VM: "vm-1", Kind: port.AuditRefused, Version: "1.3"},
		port.AuditEvent{Time: published, VM: "vm-1", Kind: port.AuditRefused, Version: "1.3"})
	text, _ = runCommand(t, "audit", again, "--versions")
	assert.Check(t, cmp.Contains(text, "in force on 1 nodes, the last (vm-1) 0s after"))
	assert.Check(t, cmp.Contains(text, "refused by 1 nodes"))
	for _, narrow := range [][]string{{"--kind", "stopping"}, {"--version", "1.1"}, {"--since", "1m"}} {
		text, _ = runCommand(t, append([]string{"audit", first, second}, narrow...)...)
		assert.Equal(t, text, "", "%v", narrow)
	}
}

func TestExplainNamesTheLineAndTheRefusal(t *testing.T) {
	dir := copyContracts(t)
	text, code := runCommand(t, "explain", dir, "--customer", "fraser-valley", "--path", "/archive/7", "--failure-domain", "north-1")
	assert.Equal(t, code, command.ExitOK)
	assert.Check(t, cmp.Contains(text, "limit     0.8: at most 9 of 12 slots at each target, 54 of 72 committed  ("+filepath.Join(dir, "contracts.toml")+":22)"))

	member := membership.Record{State: membership.Live, VM: membership.VM{ID: "lm1", FailureDomain: "lower-mainland-1", Region: "lower-mainland", Service: "archive"}}
	status := statusOf("north", 1)
	status.VM = membership.VM{ID: "north", FailureDomain: "north-1", Region: "north"}
	status.Members = []membership.Record{member, {State: membership.Live, VM: status.VM}}
	for _, test := range []struct {
		desc, dir string
		status    node.Status
		args      []string
		want      string
	}{
		{"wrong token", dir, status, []string{"--token", "nobody"}, "refused: unknown-token"},
		{"no route", dir, status, []string{"--path", "/nothing"}, "refused: unknown-route"},
		{"no live target", dir, status, []string{"--path", "/tallies/1"}, "refused: no-target"},
		{"spill bars the only target", copyContracts(t, "long = true", "long = true\nspill = \"region\""), status,
			[]string{"--path", "/archive/7"}, "refused: no-target"},
		{"domains bar the only target", copyContracts(t, "long = true", "long = true\ndomains = [\"north-1\"]"), status,
			[]string{"--path", "/archive/7"}, "refused: region-not-allowed"},
		{"node not ready", dir, node.Status{Health: node.Health{State: node.HealthNotReady}}, nil, "refused: not-ready"},
	} {
		t.Run(test.desc, func(t *testing.T) {
			args := append([]string{"explain", test.dir, "--node", fakeNode(t, test.status)}, test.args...)
			if test.desc != "wrong token" {
				args = append(args, "--customer", "fraser-valley")
			}
			text, code := runCommand(t, args...)
			assert.Equal(t, code, command.ExitFindings, text)
			assert.Check(t, cmp.Contains(text, test.want))
		})
	}
}
