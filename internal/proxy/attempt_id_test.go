package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two attempts with one id, of two nodes or of two starts of one: the owner node
// would refuse the second as a duplicate.
func TestAttemptIDsOfProcessesDiffer(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	// After 2^24 ns, the low 24 bits of the clock repeat.
	later := start.Add(1 << 24)
	ids := map[string]bool{}
	for _, process := range []struct {
		address string
		started time.Time
	}{{"10.1.0.1:80", start}, {"10.1.0.2:80", start}, {"10.1.0.1:80", later}, {"[fd00::1]:80", start}} {
		p := &Proxy{attemptPrefix: attemptPrefix(process.address, process.started)}
		for range 50 {
			id := p.nextAttemptID()
			assert.Assert(t, !ids[id], id)
			ids[id] = true
		}
	}
}
