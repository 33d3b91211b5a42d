package mesh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLongestTimeout(t *testing.T) {
	const unset = 30 * time.Second
	for _, test := range []struct {
		desc     string
		timeouts []time.Duration
		want     time.Duration
	}{
		{"no routes", nil, unset},
		{"all set", []time.Duration{2 * time.Second, 5 * time.Second, time.Second}, 5 * time.Second},
		{"one not set", []time.Duration{2 * time.Second, 0}, unset},
		{"one not set, one longer", []time.Duration{0, time.Minute}, time.Minute},
	} {
		t.Run(test.desc, func(t *testing.T) {
			config := &Config{}
			for _, timeout := range test.timeouts {
				config.Routes = append(config.Routes, Route{Timeout: timeout})
			}
			assert.Equal(t, NewTable(config).LongestTimeout(unset), test.want)
		})
	}
	assert.Equal(t, (*Table)(nil).LongestTimeout(unset), unset)
}
