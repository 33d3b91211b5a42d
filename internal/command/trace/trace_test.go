package trace

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/command"
)

const logs = `  13.0 node-b {"time":"2026-01-01T00:00:02Z","level":"info","node":"b","request":"id1","outcome":"refused","reason":"busy","message":"own target"}
{"time":"2026-01-01T00:00:01Z","level":"info","node":"a","request":"id2","message":"attempt"}
not a line of ours that names id1
{"time":"2026-01-01T00:00:03Z","node":"a","request":"id1","outc
{"time":"2026-01-01T00:00:01Z","level":"warn","node":"a","request":"id1","outcome":"refused","retry_after_ms":50,"view_age_ms":12,"message":"request"}
`

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	c := New()
	var out strings.Builder
	c.SetOut(&out)
	c.SetIn(strings.NewReader(logs))
	c.SetArgs(args)
	c.SilenceUsage = true
	c.SilenceErrors = true
	err := c.Execute()
	return out.String(), err
}

func TestTraceSortsTheLinesOfOneRequest(t *testing.T) {
	out, err := run(t, "id1")
	assert.NilError(t, err)
	assert.Equal(t, out, "00:00:01.000  a  request     outcome=refused retry_after_ms=50 view_age_ms=12\n"+
		"00:00:02.000  b  own target  outcome=refused reason=busy\n")
}

func TestTraceOfAnUnknownRequestIsAFinding(t *testing.T) {
	out, err := run(t, "id3", "--output", "json")
	assert.ErrorIs(t, err, command.ErrFindings)
	assert.Equal(t, strings.TrimSpace(out), "[]")
}
