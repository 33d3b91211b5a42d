package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
)

// Guards against a request that crashes target after target, sent at any node, and against
// refusing those that ran beside it.
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
