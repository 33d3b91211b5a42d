package report

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

func exampleReport(t *testing.T) Report {
	t.Helper()
	histogram := hdrhistogram.New(1, 1_000_000, 3)
	for i := range int64(1000) {
		assert.NilError(t, histogram.RecordValue(1000+i))
	}
	kind := Kind{Name: "tally", Calls: 1000, Outcomes: map[string]int{"answered": 1000}, Latency: QuantilesOf(histogram), Curve: CurveOf(histogram)}
	return Report{Command: `run "<&>"`, Runs: []Run{{Name: "A", Kinds: []Kind{kind}}}}
}

func TestPlotIsWellFormed(t *testing.T) {
	for _, r := range []Report{exampleReport(t), {}} {
		var out bytes.Buffer
		assert.NilError(t, r.WriteSVG(&out))
		decoder := xml.NewDecoder(&out)
		for {
			_, err := decoder.Token()
			if err == io.EOF {
				break
			}
			assert.NilError(t, err)
		}
	}
}

func TestTextShowsLatencyAndOutcomes(t *testing.T) {
	r := exampleReport(t)
	var out bytes.Buffer
	r.WriteText(&out)
	assert.Check(t, strings.Contains(out.String(), "p50    1.499"), out.String())
	assert.Check(t, strings.Contains(out.String(), "answered=1000"), out.String())
}

func TestRatiosTakeTheMedianOfRounds(t *testing.T) {
	run := func(name string, p50 float64) Run {
		return Run{Name: name, Kinds: []Kind{{Name: "tally", Latency: Quantiles{P50: p50}}}}
	}
	ratios := Ratios([]Run{run("A", 1), run("B", 2), run("A", 2), run("B", 2), run("A", 1), run("B", 9)})
	assert.Equal(t, len(ratios), 1)
	assert.Equal(t, ratios[0].Median, 2.0)
	assert.Equal(t, ratios[0].AddedMS, 1.0)
	assert.DeepEqual(t, ratios[0].Rounds, []float64{2, 1, 9})
}
