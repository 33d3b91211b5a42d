package auditlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/finding"
	"tamarackquay/internal/port"
)

// Guards against log lines with a repeated JSON key. A version was rejected with two findings,
// which were written under the same key. Readers of the log stream keep only one of two
// equal keys, so the first finding was lost; the log stream is all that is left of the trail
// after the VM is removed.
func TestLogLineContainsEveryFinding(t *testing.T) {
	var out bytes.Buffer
	trail := New(&log.Logger{Writer: &log.IOWriter{Writer: &out}})
	trail.Record(port.AuditEvent{
		Time: time.Unix(100, 0), Kind: port.AuditRefused, VM: "vm-1", Version: "1.2", Root: "ab",
		Findings: finding.List{{Code: "one", Problem: "first"}, {Code: "two", Problem: "second"}},
	})
	var line struct {
		Stream  string `json:"stream"`
		Message string `json:"message"`
		Event   struct {
			VM       string   `json:"vm"`
			Root     string   `json:"root"`
			Findings []string `json:"findings"`
		} `json:"event"`
	}
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line), out.String())
	assert.Equal(t, line.Stream, Stream)
	assert.Equal(t, line.Message, string(port.AuditRefused))
	assert.Equal(t, line.Event.Root, "ab")
	assert.Equal(t, len(line.Event.Findings), 2, out.String())
}

func TestTrailKeepsTheNewestEvents(t *testing.T) {
	trail := New(&log.Logger{Writer: &log.IOWriter{Writer: &bytes.Buffer{}}})
	const over = 3
	for i := range Capacity + over {
		trail.Record(port.AuditEvent{Subject: fmt.Sprint(i)})
	}
	events := trail.Events()
	assert.Equal(t, len(events), Capacity)
	assert.Equal(t, events[0].Subject, fmt.Sprint(over))
	assert.Equal(t, events[Capacity-1].Subject, fmt.Sprint(Capacity+over-1))
}
