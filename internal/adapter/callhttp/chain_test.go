package callhttp

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/admission"
)

func TestChainRoundTrip(t *testing.T) {
	header := http.Header{}
	SetChain(header, nil)
	assert.Equal(t, len(header), 0)
	assert.Equal(t, len(ParseChain(header)), 0)
	SetChain(header, []string{"tally", "returns"})
	assert.DeepEqual(t, ParseChain(header), []string{"tally", "returns"})
}

// Guards against a header that grows from hop to hop: a caller sends a chain of a
// thousand services, and it must be cut to the maximum depth.
func TestCallerChainIsBounded(t *testing.T) {
	header := http.Header{HeaderChain: {strings.Repeat("tally,", 1000)}}
	assert.Equal(t, len(ParseChain(header)), admission.MaxDepth)
}
