package callhttp

import "net/http"

// lineBytes is what a header line has besides its name and value.
const lineBytes = len(": \r\n")

// HeaderBytes is the size of the request line and headers as they came, to a few
// bytes.
func HeaderBytes(r *http.Request) int {
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineBytes
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + lineBytes
		}
	}
	return total
}
