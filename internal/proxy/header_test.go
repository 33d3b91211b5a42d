package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/metrics"
	"tamarackquay/internal/port"
)

// A target sends bytes without an end in place of a response, while it runs other requests.
// Guards against a node that holds them, against telling the caller that the request didn't run
// or succeeded, and against ending the target's other requests.
func TestEndlessHeaderFailsOneRequest(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t0"].BackOff(time.Now())
	started, release := make(chan struct{}), make(chan struct{})
	f.targets[1].serve = func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			close(started)
			<-release
			f.targets[1].respond(w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if !assert.Check(t, err) {
			return
		}
		defer conn.Close()
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: ")
		for err == nil {
			_, err = conn.Write(bytes.Repeat([]byte("x"), 16<<10))
		}
	}
	slow := make(chan string, 1)
	go func() { slow <- f.send(0, "POST", "/once/slow", "").Body.String() }()
	<-started
	f.proxies[0].stats["t0"].BackOff(time.Now())
	w := f.send(0, "POST", "/once/x", "filing")
	assert.Equal(t, w.Code, http.StatusBadGateway)
	close(release)
	assert.Equal(t, <-slow, "t1 ran /once/slow ")
	var text bytes.Buffer
	f.proxies[1].ports.Meter.(*metrics.Meter).Write(&text)
	assert.Assert(t, strings.Contains(text.String(), string(port.MetricHeadersRejected)), "not counted")
}
