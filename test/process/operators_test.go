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

// tamarackctl runs the program tamarackctl with the operators' addresses of the
// fleet. It returns the output and the exit code.
func (f *fleet) tamarackctl(args ...string) (string, int) {
	f.t.Helper()
	for _, id := range f.order {
		args = append(args, f.nodes[id].operators)
	}
	command := exec.Command(filepath.Join(binaries, "tamarackctl"), args...)
	out, _ := command.CombinedOutput()
	return string(out), command.ProcessState.ExitCode()
}

// waitReadyz waits until the node's /readyz shows the state and the reason.
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

// waitOutput waits until the output of tamarackctl contains the text.
func (f *fleet) waitOutput(want string, args ...string) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if text, code := f.tamarackctl(args...); !strings.Contains(text, want) {
			return poll.Continue("exit code %d: %s", code, text)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// Guards against a platform outage that affects callers or is hidden from operators.
// Callers are served as before; operators see that the nodes serve a configuration
// that may be old, since when and why, and that they are ready again once the
// platform is reachable.
func TestOutageIsReportedAndCallersAreServed(t *testing.T) {
	f := newFleet(t, sixVMs()[:2]...)
	f.publish(testContracts("5s"))
	f.waitVersion()
	f.setPlatform(platform.Mode{Down: true})
	for _, id := range f.order {
		f.waitReadyz(id, "old-configuration", "platform unreachable since")
		assert.Equal(t, f.call(id, http.MethodGet, "/tallies/1", "").status, http.StatusOK)
	}
	text, code := f.tamarackctl("status")
	assert.Equal(t, code, 1)
	assert.Check(t, cmp.Contains(text, "platform unreachable since"))
	f.setPlatform(platform.Mode{})
	for _, id := range f.order {
		f.waitReadyz(id, "ready", "")
	}
	// The VM list is read more often than a failed reader of the configuration
	// retries, so the nodes are ready before the reader has written its event.
	f.waitOutput("platform-down", "audit", "--kind", "platform-down")
	f.waitOutput("platform-up", "audit", "--kind", "platform-up")
}

// Guards against a version without its parts that is applied, or not reported, or
// can't be completed. An operator publishes a manifest and the upload of its parts
// fails: the nodes keep the previous version, status shows the incomplete one, and
// uploading the parts is enough to repair it.
func TestIncompleteVersionIsReportedAndRepaired(t *testing.T) {
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
	f.waitOutput("version-incomplete: version 1.2", "status")
	_, code := f.tamarackctl("status")
	assert.Equal(t, code, 1)
	for hash, part := range publication.Parts {
		f.put(f.platform, "/admin/config/part/"+hash.String(), "", part)
	}
	text, code := f.tamarackctl("status", "--wait", f.version.String())
	assert.Equal(t, code, 0, text)
	assert.Check(t, cmp.Contains(text, "version 1.2 is in force on all 2 nodes"))
	text, code = f.tamarackctl("audit", "--versions")
	assert.Equal(t, code, 0, text)
	assert.Check(t, cmp.Contains(text, "published by r.chen"))
	assert.Check(t, cmp.Contains(text, "in force on 2 nodes"))
}
