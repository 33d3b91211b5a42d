package callhttp

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/port"
)

// Guards against a promise that a request didn't run while its outcome is unknown: the cause of the
// unknown outcome is itself a refusal.
func TestRefusalBehindUnknownOutcomeIsNotPromised(t *testing.T) {
	refusal := port.Refuse(port.ReasonBusy, time.Second, "no slot")
	w := httptest.NewRecorder()
	WriteError(w, &port.UnknownOutcome{Stage: "answer", Cause: refusal})
	assert.Equal(t, w.Code, http.StatusBadGateway)
	assert.Equal(t, w.Header().Get(HeaderOutcome), OutcomeUnknown)
}
