package callhttp

import (
	"net/http"
	"strings"

	"tamarackquay/internal/admission"
)

// chainSeparator stands between the services of HeaderChain.
const chainSeparator = ","

// ParseChain reads the services of the open calls above a request. What is
// deeper than any chain is dropped, so that a caller can't make the header grow
// from hop to hop.
func ParseChain(header http.Header) []string {
	text := header.Get(HeaderChain)
	if text == "" {
		return nil
	}
	chain := strings.SplitN(text, chainSeparator, admission.MaxDepth+1)
	return chain[:min(len(chain), admission.MaxDepth)]
}

// SetChain writes the chain; an empty one needs no header.
func SetChain(header http.Header, chain []string) {
	if len(chain) > 0 {
		header[HeaderChain] = []string{strings.Join(chain, chainSeparator)}
	}
}
