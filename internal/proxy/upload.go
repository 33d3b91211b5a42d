package proxy

import (
	"context"
	"net/http"
	"time"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
)

// keepUpload is to be called before a response is written if the request's body is still being
// sent on. Node tells where: "entry" or "owner".
func (p *Proxy) keepUpload(w http.ResponseWriter, node string) {
	p.ports.Meter.Count(port.MetricEarlyResponses, node, 1)
	callhttp.KeepBody(w)
}

// awaitUpload waits, after a complete response, until the rest of the request's body has been
// sent on. A target that has responded early may read on, and the body can't be read any more
// when the handler has returned.
func (p *Proxy) awaitUpload(ctx context.Context, w http.ResponseWriter, resp *bufferedResponse, deadline time.Time) {
	if resp.response.ContentLength < 0 {
		// The receiver sees the end of the response only when the handler returns.
		return
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	resp.hold.wait()
	timer := time.NewTimer(deadline.Sub(p.ports.Clock.Now()))
	defer timer.Stop()
	select {
	case <-resp.response.BodySent:
	case <-timer.C:
	case <-ctx.Done():
	}
}
