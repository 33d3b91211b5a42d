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

// Two slow downloads hold the two slots that a customer may have; a third waits
// at its owner until its deadline. It never left the queue, and its caller was
// told "outcome unknown", without a word on when to come back: the entry's timer
// ran out in the moment in which the owner gave up, and its refusal came too late.
func TestWaitUntilTheDeadlineIsARefusal(t *testing.T) {
	f := newFleet(t, sixVMs()...)
	text := testContracts("1s")
	before, archive, _ := strings.Cut(text, `service = "archive"`+"\nshare = 0.5\nlimit = 1.0")
	f.publish(before + `service = "archive"` + "\nshare = 0.05\nlimit = 0.1" + archive)
	f.waitVersion()
	f.waitMembers("a-tally", 6)
	for _, id := range []string{"a-archive", "b-archive"} {
		f.setTarget(id, target.Mode{StallBodyAfter: 100_000})
		// It ends with the fleet, at the latest.
		go f.call(id, http.MethodGet, "/archive/slow?bytes=1000000", "")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.ledger("a-archive"))+len(f.ledger("b-archive")) < 2 {
			return poll.Continue("the downloads have not begun")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	waited := f.call("a-tally", http.MethodGet, "/archive/waits", "")
	assert.NilError(t, waited.err)
	assert.Equal(t, waited.header.Get(callhttp.HeaderOutcome), callhttp.OutcomeDidNotRun, "%s", waited.body)
	assert.Equal(t, waited.header.Get(callhttp.HeaderReason), string(port.ReasonDeadline), "%s", waited.body)
	assert.Check(t, waited.header.Get("Retry-After") != "", "%v", waited.header)
}
