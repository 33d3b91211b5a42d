package callhttp

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/port"
)

// statusOf maps reasons onto the status that fits them best; others are 503.
var statusOf = map[port.Reason]int{
	port.ReasonUnknownToken: http.StatusUnauthorized,
	port.ReasonUnknownRoute: http.StatusNotFound,
	port.ReasonMethod:       http.StatusMethodNotAllowed,
	port.ReasonNoGrant:      http.StatusForbidden,
	port.ReasonLimit:        http.StatusTooManyRequests,
	port.ReasonQueueFull:    http.StatusTooManyRequests,
	port.ReasonBodyTooLarge: http.StatusRequestEntityTooLarge,
	port.ReasonBadRequest:   http.StatusBadRequest,

	port.ReasonHeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	port.ReasonHeaderTooSlow:  http.StatusRequestTimeout,
}

// Outcome is the JSON body of an answer that is not the target's.
type Outcome struct {
	Outcome      string      `json:"outcome"`
	Reason       port.Reason `json:"reason,omitempty"`
	Detail       string      `json:"detail"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

// writeTimeout bounds the writing of an outcome to a slow reader.
const writeTimeout = 10 * time.Second

// WriteError answers with the outcome that err stands for.
func WriteError(w http.ResponseWriter, err error) {
	// Recorders of tests have no deadlines; a connection always has.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	var refusal *port.Refusal
	if errors.As(err, &refusal) {
		writeRefusal(w, refusal)
		return
	}
	w.Header().Set(HeaderOutcome, OutcomeUnknown)
	writeOutcome(w, http.StatusBadGateway, Outcome{Outcome: OutcomeUnknown, Detail: err.Error()})
}

// WriteExactRefusal answers with a refusal whose Retry-After header holds
// fractions of a second, for callers that understand them: a slot that falls
// free in 120 ms would else be waited for a whole second.
func WriteExactRefusal(w http.ResponseWriter, refusal *port.Refusal) {
	status, outcome := describe(w.Header(), refusal)
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	writeOutcome(w, status, outcome)
}

func writeRefusal(w http.ResponseWriter, refusal *port.Refusal) {
	status, outcome := describe(w.Header(), refusal)
	writeOutcome(w, status, outcome)
}

// describe sets the headers of a refusal and returns its status and body.
func describe(header http.Header, refusal *port.Refusal) (int, Outcome) {
	status, ok := statusOf[refusal.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	header.Set(HeaderOutcome, OutcomeDidNotRun)
	header.Set(HeaderReason, string(refusal.Reason))
	SetRetryAfter(header, refusal.RetryAfter)
	return status, Outcome{
		Outcome: OutcomeDidNotRun, Reason: refusal.Reason, Detail: refusal.Detail,
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
	}
}

// LastRefusal renders a refusal as the last response of an HTTP/1.1 connection.
func FinalRefusal(refusal *port.Refusal) ([]byte, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	status, outcome := describe(header, refusal)
	body, err := json.Marshal(outcome)
	if err != nil {
		return nil, errors.Wrap(err, "refusal")
	}
	response := &http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, Close: true,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	var text bytes.Buffer
	err = response.Write(&text)
	return text.Bytes(), errors.Wrap(err, "refusal")
}

func writeOutcome(w http.ResponseWriter, status int, outcome Outcome) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone; there is no one else to tell.
	_ = json.NewEncoder(w).Encode(outcome)
}

// maxOutcomeBytes bounds the JSON body that a peer's refusal carries.
const maxOutcomeBytes = 16 << 10

// ReadError returns the outcome that a peer's response stands for, or nil if
// the response is a target's answer. It must be given only responses of proven
// peers.
func ReadError(response *http.Response) error {
	kind := response.Header.Get(HeaderOutcome)
	if kind == "" {
		return nil
	}
	defer response.Body.Close()
	var outcome Outcome
	// Without a readable body the header alone still tells the outcome.
	_ = json.NewDecoder(io.LimitReader(response.Body, maxOutcomeBytes)).Decode(&outcome)
	if kind == OutcomeDidNotRun {
		return &port.Refusal{
			Reason:     port.Reason(response.Header.Get(HeaderReason)),
			RetryAfter: time.Duration(outcome.RetryAfterMS) * time.Millisecond,
			Detail:     outcome.Detail,
		}
	}
	return &port.UnknownOutcome{Stage: "owner", Cause: errors.New(outcome.Detail)}
}
