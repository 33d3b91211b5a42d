package callhttp

import "net/http"

// lineOverhead is the size of a header line without its name and value.
const lineOverhead = len(": \r\n")

// HeaderBytes returns the size of the request line and headers as received, accurate to a
// few bytes.
func HeaderBytes(r *http.Request) int {
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineOverhead
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + lineOverhead
		}
	}
	return total
}
