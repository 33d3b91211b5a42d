package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
)

// Two short seeds of the soak: real nodes are killed, frozen, restarted, cut off
// and told of new versions in series that overlap, while callers go on using their
// connections. What callers are told agrees with what the targets ran. The
// promises with a bound in time are left to runs by hand: a busy machine can break
// them by itself.
func TestSoakInShort(t *testing.T) {
	t.Parallel()
	// Test runs beside this one take other addresses.
	addresses := strconv.Itoa(150 + 3*(os.Getpid()%30))
	command := exec.Command(filepath.Join(binaries, "tamaracksoak"), "run", "--seed", "1", "--seeds", "2", "--parallel", "2",
		"--length", "14s", "--untimed", "--loopback", addresses)
	output, err := command.CombinedOutput()
	t.Logf("%s", output)
	if err != nil {
		t.Fatal(err)
	}
}
