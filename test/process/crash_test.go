package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
)

// Guards against a request that crashes one target after another, whichever node it
// is sent to, and against refusing requests that ran at the time of such a crash.
func TestCrashingRequestIsContained(t *testing.T) {
	t.Parallel()
	addresses := strconv.Itoa(152 + 3*(os.Getpid()%30))
	command := exec.Command(filepath.Join(binaries, "tamaracksoak"), "run", "--seed", "2",
		"--length", "18s", "--faults", "crash-request", "--untimed", "--loopback", addresses)
	output, err := command.CombinedOutput()
	t.Logf("%s", output)
	if err != nil {
		t.Fatal(err)
	}
}
