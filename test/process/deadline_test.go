package process

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
	"tamarackquay/standin/target"
)

// Two slow downloads hold the two slots that the customer's limit allows; a third
// waits in the owner's queue until its deadline and never runs. Guards against
// reporting it as "outcome unknown" without Retry-After: the entry node's timer
// expired at the moment at which the owner gave up, so that the owner's refusal
// arrived too late.
func TestQueueTimeoutIsReportedAsRefusal(t *testing.T) {
	f := newFleet(t, sixVMs()...)
	text := testContracts("1s")
	before, archive, _ := strings.Cut(text, `service = "archive"`+"\nshare = 0.5\nlimit = 1.0")
	f.publish(before + `service = "archive"` + "\nshare = 0.05\nlimit = 0.1" + archive)
	f.waitVersion()
	f.waitMembers("a-tally", 6)
	for _, id := range []string{"a-archive", "b-archive"} {
		f.setTarget(id, target.Mode{StallBodyAfter: 100_000})
		// The call ends with the fleet at the latest.
		go f.call(id, http.MethodGet, "/archive/slow?bytes=1000000", "")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.ledger("a-archive"))+len(f.ledger("b-archive")) < 2 {
			return poll.Continue("the downloads have not started")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	response := f.call("a-tally", http.MethodGet, "/archive/waits", "")
	assert.NilError(t, response.err)
	assert.Equal(t, response.header.Get(callhttp.HeaderOutcome), callhttp.OutcomeDidNotRun, "%s", response.body)
	assert.Equal(t, response.header.Get(callhttp.HeaderReason), string(port.ReasonDeadline), "%s", response.body)
	assert.Check(t, response.header.Get("Retry-After") != "", "%v", response.header)
}
