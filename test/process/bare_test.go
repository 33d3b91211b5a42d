package process

import (
	"io"
	"net/http"
	"os"
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"
)

// Environment variables of a baseline proxy, which is the test binary started as a
// process of its own.
const (
	baselineListen = "TAMARACK_BARE_LISTEN"
	baselineNext   = "TAMARACK_BARE_NEXT"
)

// serveBaseline is the baseline for the cost of the request path: a plain net/http
// proxy that only copies headers and bodies.
func serveBaseline(listen, next string) error {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	return http.ListenAndServe(listen, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+next+r.URL.RequestURI(), r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		request.Header = r.Header
		request.ContentLength = r.ContentLength
		response, err := transport.RoundTrip(request)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}))
}

// startBaseline starts a baseline proxy in front of next and returns its address.
func (f *fleet) startBaseline(t *testing.T, next string) (string, *process) {
	t.Helper()
	program, err := os.Executable()
	assert.NilError(t, err)
	listen := freeAddress(t)
	command := exec.Command(program)
	command.Env = append(os.Environ(), baselineListen+"="+listen, baselineNext+"="+next)
	hop := startCommand(t, "baseline proxy", command)
	f.waitHTTP(listen, "/load")
	return listen, hop
}
