package proxy

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/targetreport"
)

// Guards against nodes that lose a report between them, or take what they can't read for one.
func TestTargetReportBetweenNodes(t *testing.T) {
	limited := targetreport.Report{Limited: true, Limit: 9.6}
	for _, test := range []struct {
		desc string
		text string
		want targetreport.Report
		// written is set if nodes write the text as it stands.
		written bool
	}{
		{"nothing", "", targetreport.Report{}, true},
		{"a limit", "limit=9.6", limited, true},
		{"a limit of zero", "limit=0", targetreport.Report{Limited: true}, true},
		{"a departure", "leaving", targetreport.Report{Leaving: true}, true},
		{"both", "limit=9.6;leaving", targetreport.Report{Limited: true, Limit: 9.6, Leaving: true}, true},
		{"a field of a newer version", "color=red;limit=9.6", limited, false},
		{"no number", "limit=many", targetreport.Report{}, false},
		{"a negative limit", "limit=-1", targetreport.Report{}, false},
		{"not a number", "limit=NaN", targetreport.Report{}, false},
		{"an infinite limit", "limit=+Inf", targetreport.Report{}, false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			assert.DeepEqual(t, parseTargetReport(test.text), test.want)
			if test.written {
				header := http.Header{}
				writeTargetReport(header, test.want)
				assert.Equal(t, header.Get(headerTargetReport), test.text)
			}
		})
	}
}
