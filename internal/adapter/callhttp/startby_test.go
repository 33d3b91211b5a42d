package callhttp

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/standin/target"
)

// Guards against a target that starts a request after its deadline because its node was
// paused before it sent the request. HeaderStartBy uses a clock that both processes
// share, so the target can detect this.
func TestTargetRejectsExpiredRequests(t *testing.T) {
	for _, test := range []struct {
		desc     string
		deadline time.Duration
		want     int
	}{
		{"in time", time.Hour, http.StatusOK},
		{"sent after a pause", -time.Second, http.StatusServiceUnavailable},
	} {
		t.Run(test.desc, func(t *testing.T) {
			upstream := target.New(1, target.Mode{})
			r := httptest.NewRequest(http.MethodGet, "/tallies/1", nil)
			r.Header.Set(HeaderStartBy, FormatStartBy(time.Now().Add(test.deadline)))
			w := httptest.NewRecorder()
			upstream.Handler().ServeHTTP(w, r)
			assert.Equal(t, w.Code, test.want)
			assert.Equal(t, len(upstream.Ledger()) == 1, test.want == http.StatusOK)
			if test.want != http.StatusOK {
				assert.Equal(t, w.Header().Get(target.HeaderShed), target.ShedNotRun)
			}
		})
	}
}
