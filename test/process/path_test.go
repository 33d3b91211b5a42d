package process

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/standin/platform"
	"tamarackquay/standin/target"
)

// sixVMs returns the smallest fleet that has each service in both failure domains.
func sixVMs() []spec {
	var specs []spec
	for _, service := range []string{"tally", "returns", "archive"} {
		for _, domain := range []string{"a", "b"} {
			specs = append(specs, spec{id: domain + "-" + service, domain: domain + "-1", region: domain, service: service})
		}
	}
	return specs
}

// Checks the complete path of a request: each of the three kinds enters at a node of
// another service and gets a complete response from a target behind another node.
// Afterwards a changed contract is applied on every node.
func TestCompletePath(t *testing.T) {
	f := newFleet(t, sixVMs()...)
	f.publish(testContracts("5s"))
	f.waitVersion()
	f.waitMembers("a-archive", 6)

	tally := f.call("a-archive", http.MethodGet, "/tallies/hwy1", "")
	assert.NilError(t, tally.err)
	assert.Equal(t, tally.status, http.StatusOK)
	assert.Equal(t, tally.header.Get("Tamarack-Owner"), "a-tally")

	filed := f.call("a-archive", http.MethodPost, "/returns/4711", "signed")
	assert.NilError(t, filed.err)
	assert.Equal(t, filed.status, http.StatusCreated)
	assert.Equal(t, len(f.ledger("a-returns"))+len(f.ledger("b-returns")), 1)

	const size = 20 << 20
	archive := f.call("a-tally", http.MethodGet, fmt.Sprintf("/archive/video?bytes=%d", size), "")
	assert.NilError(t, archive.err)
	digest := sha256.Sum256(archive.body)
	assert.Equal(t, hex.EncodeToString(digest[:]), target.ArchiveDigest("/archive/video", size))

	f.publish(testContracts("6s"))
	f.waitVersion()
}

// Guards against failed calls at other nodes when a node is killed under load: its
// target becomes unreachable, and the one in the other failure domain must serve.
func TestKilledNodeLeavesOthersServing(t *testing.T) {
	f := newFleet(t, sixVMs()...)
	f.publish(testContracts("5s"))
	f.waitVersion()
	f.waitMembers("b-archive", 6)

	const calls = 60
	var failures sync.Map
	var callers sync.WaitGroup
	for i := range calls {
		callers.Go(func() {
			r := f.call("b-archive", http.MethodGet, fmt.Sprintf("/tallies/%d", i), "")
			if r.err != nil || r.status != http.StatusOK {
				failures.Store(i, fmt.Sprintf("status %d, %v, %s", r.status, r.err, r.body))
			}
		})
		if i == calls/3 {
			f.nodes["b-tally"].process.signal(syscall.SIGKILL)
		}
		time.Sleep(10 * time.Millisecond)
	}
	callers.Wait()
	failures.Range(func(i, why any) bool {
		t.Errorf("call %v: %v", i, why)
		return true
	})
}

// Guards against a truncated manifest that is taken for a complete one. While the
// platform truncates its responses, the nodes must keep their version; once it
// recovers, they apply the new one.
func TestTruncatedPlatformResponsesAreRejected(t *testing.T) {
	f := newFleet(t, sixVMs()...)
	f.publish(testContracts("5s"))
	f.waitVersion()
	first := f.version
	f.setPlatform(platform.Mode{Truncate: true})
	f.publish(testContracts("6s"))
	time.Sleep(500 * time.Millisecond)
	for _, id := range f.order {
		status, err := f.status(id)
		assert.NilError(t, err)
		assert.Equal(t, status.Applied, first)
	}
	f.setPlatform(platform.Mode{})
	f.waitVersion()
}

// Guards against a truncated archive that looks complete: if the target closes the
// connection in the middle, the caller must get a broken response, not a clean end.
func TestTruncatedArchiveFailsVisibly(t *testing.T) {
	f := newFleet(t, sixVMs()...)
	f.publish(testContracts("5s"))
	f.waitVersion()
	f.waitMembers("a-tally", 6)
	for _, id := range []string{"a-archive", "b-archive"} {
		f.setTarget(id, target.Mode{CutBodyAfter: 100_000})
	}
	const size = 4 << 20
	r := f.call("a-tally", http.MethodGet, fmt.Sprintf("/archive/video?bytes=%d", size), "")
	assert.Check(t, r.err != nil, "status %d with %d bytes was taken for complete", r.status, len(r.body))
}
