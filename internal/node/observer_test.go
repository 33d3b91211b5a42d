package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/port"
)

type recordedEvents []port.AuditEvent

func (l *recordedEvents) Record(event port.AuditEvent) { *l = append(*l, event) }

// The platform is unreachable for half a second. Health showed the outage,
// but the audit trail, which was updated once a second, had no event of it. Each
// state that health shows must be recorded.
func TestShortOutageIsAudited(t *testing.T) {
	recorded := &recordedEvents{}
	n := &Node{ports: Ports{Audit: recorded, Clock: fixedClock{}}}
	now := fixedClock{}.Now()
	o := &observer{lastRound: now}
	for i, state := range []PlatformState{PlatformReachable, PlatformUnreachable, PlatformUnreachable, PlatformReachable} {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		o.observe(n, at, &Status{Platform: PlatformStatus{State: state}}, nil)
	}
	assert.Equal(t, len(*recorded), 2, "%v", *recorded)
	assert.Equal(t, (*recorded)[0].Kind, port.AuditPlatformDown)
	assert.Equal(t, (*recorded)[1].Kind, port.AuditPlatformUp)
}
