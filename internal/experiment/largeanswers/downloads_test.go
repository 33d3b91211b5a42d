package largeanswers

import (
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/link"
)

// Guards against an admission or an order by which downloads at full links are late or wait
// until their callers have given up: the policy in use must have more in time than the one
// that orders by due time alone, no more refused, and lose none.
func TestLateDownloadsLastHasMoreInTime(t *testing.T) {
	for _, rate := range downloadRates {
		load := SixLinks
		load.Rate = rate
		results := make([]DownloadResult, len(DownloadPolicies))
		for i, policy := range DownloadPolicies {
			results[i] = load.Run(1, policy)
			t.Logf("%.0f/s, %s: %+v", rate, policy.Name, results[i])
			total := results[i].InTime + results[i].Late + results[i].Lost + results[i].Refused
			assert.Equal(t, total, load.Arrivals)
		}
		before, chosen := results[0], results[1]
		assert.Assert(t, chosen.InTime >= before.InTime)
		assert.Assert(t, chosen.Late <= before.Late)
		assert.Equal(t, chosen.Lost, 0)
		assert.Assert(t, chosen.Refused <= before.Refused+load.Arrivals/200)
		// Only what the links can't carry may be refused.
		carried := float64(load.Links) * link.NewPacer(load.LinkRate).Rate() / load.Size
		assert.Assert(t, float64(chosen.Refused) <= max(0, float64(load.Arrivals)*(1-carried/rate)))
		for _, byTimeout := range results[2:] {
			assert.Assert(t, byTimeout.Late+byTimeout.Lost >= chosen.Late+chosen.Lost)
		}
	}
}
