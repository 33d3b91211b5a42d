package process

import (
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"tamarackquay/internal/adapter/operatorhttp"
	"tamarackquay/internal/contract"
	"tamarackquay/internal/snapshot"
	"tamarackquay/standin/platform"
)

// ctl runs tamarackctl against the operators' addresses of the fleet.
func (f *fleet) ctl(args ...string) (string, int) {
	f.t.Helper()
	for _, id := range f.order {
		args = append(args, f.nodes[id].operators)
	}
	command := exec.Command(filepath.Join(binaries, "tamarackctl"), args...)
	out, _ := command.CombinedOutput()
	return string(out), command.ProcessState.ExitCode()
}

// waitReadyz waits until the node's /readyz tells the state and the reason.
func (f *fleet) waitReadyz(id, state, reason string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		response, err := http.Get("http://" + f.nodes[id].operators + operatorhttp.PathReady)
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil || !strings.HasPrefix(string(body), state+" since") || !strings.Contains(string(body), reason) {
			return poll.Continue("%s: %s", id, body)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// waitCtl waits until the command's output has the text.
func (f *fleet) waitCtl(want string, args ...string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if text, code := f.ctl(args...); !strings.Contains(text, want) {
			return poll.Continue("exit code %d: %s", code, text)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// The platform is down for a while. Callers notice nothing; an operator reads
// that the nodes serve on what may be old, since when and why, and that they are
// ready again once the platform answers.
func TestOutageIsToldAndCallersAreServed(t *testing.T) {
	f := newFleet(t, sixVMs()[:2]...)
	f.publish(testContracts("5s"))
	f.waitVersion()
	f.setPlatform(platform.Mode{Down: true})
	for _, id := range f.order {
		f.waitReadyz(id, "old-configuration", "platform unreachable since")
		assert.Equal(t, f.call(id, http.MethodGet, "/tallies/1", "").status, http.StatusOK)
	}
	text, code := f.ctl("status")
	assert.Equal(t, code, 1)
	assert.Check(t, cmp.Contains(text, "platform unreachable since"))
	f.setPlatform(platform.Mode{})
	for _, id := range f.order {
		f.waitReadyz(id, "ready", "")
	}
	// The list is read more often than a reader that failed tries again, so the
	// nodes are ready before the readers' event is there.
	f.waitCtl("platform-down", "audit", "--kind", "platform-down")
	f.waitCtl("platform-up", "audit", "--kind", "platform-up")
}

// An operator publishes a manifest, and the upload of its parts fails. The nodes
// stay on the version before; the operator is told which version lacks what, and
// the upload of the parts is all that it takes to mend it.
func TestVersionWithoutItsPartsIsToldAndMended(t *testing.T) {
	f := newFleet(t, sixVMs()[:2]...)
	f.publish(testContracts("5s"))
	f.waitVersion()
	set, found := contract.Parse([]contract.Source{{Name: "contracts.toml", Text: []byte(testContracts("6s"))}})
	assert.NilError(t, found.AsError())
	f.version.Revision++
	publication, err := snapshot.Build(set, snapshot.Origin{Version: f.version, Parent: f.root, PublishedBy: "r.chen", PublishedAt: time.Now()})
	assert.NilError(t, err)
	raw, err := publication.Manifest.Encode()
	assert.NilError(t, err)
	f.put(f.platform, "/admin/config/manifest", "", raw)
	f.waitCtl("version-incomplete: version 1.2", "status")
	_, code := f.ctl("status")
	assert.Equal(t, code, 1)
	for hash, part := range publication.Parts {
		f.put(f.platform, "/admin/config/part/"+hash.String(), "", part)
	}
	text, code := f.ctl("status", "--wait", f.version.String())
	assert.Equal(t, code, 0, text)
	assert.Check(t, cmp.Contains(text, "version 1.2 is in force on all 2 nodes"))
	text, code = f.ctl("audit", "--versions")
	assert.Equal(t, code, 0, text)
	assert.Check(t, cmp.Contains(text, "published by r.chen"))
	assert.Check(t, cmp.Contains(text, "in force on 2 nodes"))
}
