package main

import (
	"net"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/feedws"
	"tamarackquay/internal/adapter/httpserver"
	"tamarackquay/internal/follow"
	"tamarackquay/internal/proxy"
)

// newPeerServer returns the server for other nodes: feeds, and requests for the
// local target. Those have any path that a caller chose, so they are told apart by a header that
// callers can't set.
func (c *sidecar) newPeerServer(peerAddress func(host string) string) *httpserver.Server {
	e := callhttp.NewRouter()
	hint := func(r *http.Request) { c.follower.AddHint(peerAddress(follow.HostOf(r.RemoteAddr))) }
	servePeer := func(context echo.Context) error {
		hint(context.Request())
		c.proxy.ServePeer(context.Response(), context.Request())
		return nil
	}
	e.Pre(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(context echo.Context) error {
			if proxy.IsForwarded(context.Request()) {
				return servePeer(context)
			}
			return next(context)
		}
	})
	feeds := feedws.Limit{Feeds: c.shareOf(clientLimits).MaxConns() / feedDivisor, Ended: c.newListenerClients("feeds").end}
	e.GET(feedws.Path, echo.WrapHandler(feedws.NewHandler(c.follower, c.crashes, c.proxy.CountSent, feeds)))
	e.GET(proxy.PingPath, func(context echo.Context) error {
		hint(context.Request())
		return context.NoContent(http.StatusNoContent)
	})
	e.Any("/*", servePeer)
	server := httpserver.New(e, maxPeerHeaderBytes)
	c.limitClients(server, "peers", clientLimits)
	return server
}

// newQueryServer returns a server for readiness or metrics.
func (c *sidecar) newQueryServer(handler http.Handler, listener string) *httpserver.Server {
	server := httpserver.NewQuery(handler, maxQueryHeaderBytes)
	c.limitClients(server, listener, queryLimits)
	return server
}

func (c *sidecar) listen(options sidecarOptions, failed chan<- error) error {
	s := c.settings
	readiness := callhttp.NewRouter()
	readiness.GET("/ready", c.ready)
	servers := []struct {
		name, address string
		run           func(net.Listener) error
	}{
		{"callers listener", s.CallerAddress, c.callers.Run},
		{"peers listener", net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)), c.peerServer.Run},
		{"readiness listener", s.ReadinessAddress, c.newQueryServer(readiness, "readiness").Run},
	}
	for _, server := range servers {
		listener, err := net.Listen("tcp", server.address)
		if err != nil {
			return errors.Wrap(err, server.name)
		}
		go serve(server.run, listener, failed)
	}
	if options.metricsPort > 0 {
		return c.listenMetrics(options.metricsPort, failed)
	}
	return nil
}

func (c *sidecar) listenMetrics(port int, failed chan<- error) error {
	e := callhttp.NewRouter()
	e.GET("/metrics", func(context echo.Context) error {
		c.meter.Write(context.Response())
		return nil
	})
	listener, err := net.Listen("tcp", net.JoinHostPort(c.settings.IP, strconv.Itoa(port)))
	if err != nil {
		return errors.Wrap(err, "metrics listener")
	}
	go serve(c.newQueryServer(e, "metrics").Run, listener, failed)
	return nil
}

func (c *sidecar) ready(context echo.Context) error {
	if c.proxy.Ready() {
		return context.NoContent(http.StatusOK)
	}
	return context.NoContent(http.StatusServiceUnavailable)
}
