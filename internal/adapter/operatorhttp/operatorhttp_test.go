package operatorhttp

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/metrics"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/node"
	"tamarackquay/internal/port"
)

type fixedNode struct{ health node.Health }

func (n fixedNode) Status() node.Status { return node.Status{Health: n.health} }

type noTrail struct{}

func (noTrail) Events() []port.AuditEvent { return nil }

// A load balancer keeps sending callers to a node that serves on an old
// configuration, since all its neighbours may be as old; an operator reads from
// the same answer that it is old, since when and why.
func TestReadyTellsOldConfigurationFromReady(t *testing.T) {
	since := time.Date(2026, 12, 3, 1, 2, 3, 0, time.UTC)
	for _, test := range []struct {
		state node.HealthState
		code  int
	}{
		{node.HealthReady, http.StatusOK},
		{node.HealthOldConfiguration, http.StatusOK},
		{node.HealthNotReady, http.StatusServiceUnavailable},
		{node.HealthStopping, http.StatusServiceUnavailable},
	} {
		t.Run(string(test.state), func(t *testing.T) {
			n := fixedNode{node.Health{State: test.state, Since: since, Reasons: []string{"a reason"}}}
			recorder := httptest.NewRecorder()
			NewServer(n, noTrail{}, metrics.New()).Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, PathReady, nil))
			assert.Equal(t, recorder.Code, test.code)
			assert.Equal(t, recorder.Body.String(), string(test.state)+" since 2026-12-03T01:02:03Z\na reason\n")
		})
	}
}

func TestPagesAnswer(t *testing.T) {
	meter := metrics.New()
	meter.Count(port.MetricRefused, "limit", 2)
	handler := NewServer(fixedNode{}, noTrail{}, meter).Handler
	for path, want := range map[string]string{
		PathAlive: "ok", PathStatus: `"health":{`, PathAudit: "null", PathAudit + "?since=yesterday": "since", PathMetrics: `tamarack_requests_refused_total{by="limit"} 2`,
	} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		assert.Equal(t, recorder.Code == http.StatusOK, want != "since", path)
		assert.Check(t, strings.Contains(recorder.Body.String(), want), "%s: %s", path, recorder.Body)
	}
}

// An operator asks 1,600 nodes for their status. With the members in it the
// answers were most of a gigabyte; each must fit a few kilobytes.
func TestBriefStatusOfALargeFleetIsSmall(t *testing.T) {
	const members, limit = 1600, 4 << 10
	s := node.Status{Members: make([]membership.Record, members), MemberCount: members}
	handler := NewServer(fixedStatus(s), noTrail{}, metrics.New()).Handler
	size := func(path string) int {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder.Body.Len()
	}
	t.Logf("%d bytes, with members %d", size(PathBriefStatus), size(PathStatus))
	assert.Check(t, size(PathBriefStatus) < limit)
	assert.Check(t, size(PathStatus) > members*100)
}

type fixedStatus node.Status

func (s fixedStatus) Status() node.Status { return node.Status(s) }
