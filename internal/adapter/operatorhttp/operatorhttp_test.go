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

type emptyTrail struct{}

func (emptyTrail) Events() []port.AuditEvent { return nil }

// A node with an old configuration must return 200, so that a load balancer keeps sending
// requests to it: all its neighbours may have the same old configuration. The body must
// report to operators that the configuration is old, since when and why.
func TestReadyReportsOldConfiguration(t *testing.T) {
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
			NewHandler(n, emptyTrail{}, metrics.New()).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, PathReady, nil))
			assert.Equal(t, recorder.Code, test.code)
			assert.Equal(t, recorder.Body.String(), string(test.state)+" since 2026-12-03T01:02:03Z\na reason\n")
		})
	}
}

func TestOperatorEndpoints(t *testing.T) {
	meter := metrics.New()
	meter.Count(port.MetricRefused, "limit", 2)
	handler := NewHandler(fixedNode{}, emptyTrail{}, meter)
	for path, want := range map[string]string{
		PathAlive: "ok", PathStatus: `"health":{`, PathAudit: "null", PathAudit + "?since=yesterday": "since", PathMetrics: `tamarack_requests_refused_total{by="limit"} 2`,
	} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		assert.Equal(t, recorder.Code == http.StatusOK, want != "since", path)
		assert.Check(t, strings.Contains(recorder.Body.String(), want), "%s: %s", path, recorder.Body)
	}
}

// Guards against large responses when an operator queries the status of 1,600 nodes. With
// the lists of members, the responses together were most of a gigabyte. Each response
// without them must fit into a few kilobytes.
func TestBriefStatusOfALargeFleetIsSmall(t *testing.T) {
	const members, limit = 1600, 4 << 10
	s := node.Status{Members: make([]membership.Record, members), MemberCount: members}
	handler := NewHandler(fixedStatus(s), emptyTrail{}, metrics.New())
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
