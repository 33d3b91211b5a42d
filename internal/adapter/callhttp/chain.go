package callhttp

import (
	"net/http"
	"strings"

	"tamarackquay/internal/admission"
)

// chainSeparator separates the services in HeaderChain.
const chainSeparator = ","

// ParseChain returns the services of the calls in progress that led to a request.
// Services beyond the maximum depth of a chain are dropped, so that the header of a
// caller can't grow from hop to hop.
func ParseChain(header http.Header) []string {
	text := header.Get(HeaderChain)
	if text == "" {
		return nil
	}
	chain := strings.SplitN(text, chainSeparator, admission.MaxDepth+1)
	return chain[:min(len(chain), admission.MaxDepth)]
}

// SetChain sets the chain header. It sets no header if the chain is empty.
func SetChain(header http.Header, chain []string) {
	if len(chain) > 0 {
		header[HeaderChain] = []string{strings.Join(chain, chainSeparator)}
	}
}
