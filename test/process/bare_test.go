package process

import (
	"io"
	"net/http"
	"os"
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"
)

// The environment of a bare forwarder: the test's own program, started anew.
const (
	bareListen = "TAMARACK_BARE_LISTEN"
	bareNext   = "TAMARACK_BARE_NEXT"
)

// serveBare is the baseline of the request path: one hop of net/http that
// copies headers and bodies and decides nothing.
func serveBare(listen, next string) error {
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

// startBare starts one bare hop to next and returns its address.
func (f *fleet) startBare(t *testing.T, next string) (string, *process) {
	t.Helper()
	program, err := os.Executable()
	assert.NilError(t, err)
	listen := freeAddress(t)
	command := exec.Command(program)
	command.Env = append(os.Environ(), bareListen+"="+listen, bareNext+"="+next)
	hop := startCommand(t, "bare hop", command)
	f.waitHTTP(listen, "/load")
	return listen, hop
}
