package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"tamarackquay/standin/userfiles"
)

// Guards against SIGHUP ending a process that is still starting: the platform sends
// it for changed settings while the process reads them for the first time, and the VM
// was left without a node. The settings file is a pipe here, so that the signal
// arrives at the same moment in each run: opening the pipe waits for the reader.
func TestReloadSignalDuringStartup(t *testing.T) {
	t.Parallel()
	host := loopback
	node := userfiles.Node{
		Name: "n", IP: host, Zone: "a", Region: "r", Service: "s", Target: host + ":8628", Callers: host + ":8629",
		Ready: host + ":8625", PeerPort: 7600, Store: host + ":8627", Zones: map[string]string{"a": "r"},
		Bounds: userfiles.Bounds{StopGrace: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 10},
	}
	settings, err := node.Settings()
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, unix.Mkfifo(file, 0o600))
	command := exec.Command(filepath.Join(binaries, "tamarackd"), "sidecar")
	command.Env = append(os.Environ(), "TAMARACKQUAY_CONFIG="+file)
	p := startCommand(t, "node", command)
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	assert.NilError(t, err)
	p.signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
	// Write errors are ignored: they mean that the process has ended, and the next
	// check reports that more clearly.
	_, _ = pipe.Write(settings)
	_ = pipe.Close()
	select {
	case <-p.done:
		t.Fatalf("the process ended: %s", p.cmd.ProcessState)
	case <-time.After(300 * time.Millisecond):
	}
}
