package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/port"
)

type listedEvents []port.AuditEvent

func (l *listedEvents) Record(event port.AuditEvent) { *l = append(*l, event) }

// The platform is away for half a second. The node's health said so and its
// callers' operators saw it, and the trail, which looked once a second, knew of
// nothing: what health shows must be told.
func TestShortOutageIsTold(t *testing.T) {
	trail := &listedEvents{}
	n := &Node{ports: Ports{Audit: trail, Clock: fixedClock{}}}
	now := fixedClock{}.Now()
	o := &observer{last: now}
	for i, state := range []PlatformState{PlatformReachable, PlatformUnreachable, PlatformUnreachable, PlatformReachable} {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		o.observe(n, at, &Status{Platform: PlatformStatus{State: state}}, nil)
	}
	assert.Equal(t, len(*trail), 2, "%v", *trail)
	assert.Equal(t, (*trail)[0].Kind, port.AuditPlatformDown)
	assert.Equal(t, (*trail)[1].Kind, port.AuditPlatformUp)
}
