package main

import (
	"context"
	"net/http"
	"time"

	"tamarackquay/internal/wait"
)

// Times of a planned stop.
const (
	// takeOut is how long after the order to stop callers may still come: the
	// platform asks once a second and takes a node out after two misses.
	takeOut = 2500 * time.Millisecond
	// killMargin is kept from the end of the grace time.
	killMargin = 700 * time.Millisecond
)

// stop is the graceful shutdown. The node says that it isn't ready, serves on
// until the platform sends no more callers, gives its target no more work then,
// and ends connections politely once their last answer is out.
func (c *sidecar) stop() {
	begin := time.Now()
	c.log.Info().Int64("open", c.proxy.InFlight()).Msg("stopping")
	endsBy := begin.Add(c.settings.Grace - killMargin)
	c.proxy.Stop(endsBy)
	wait.Sleep(context.Background(), takeOut)
	c.proxy.StopLocal()
	if err := c.callers.StopAccepting(); err != nil {
		c.log.Warn().Err(err).Msg("callers' listener")
	}
	ctx, cancel := context.WithDeadline(context.Background(), endsBy)
	defer cancel()
	for c.proxy.InFlight() > 0 && wait.Sleep(ctx, stopPoll) {
	}
	if err := c.callers.CloseIdle(); err != nil {
		c.log.Warn().Err(err).Msg("idle connections closed without an answer")
	}
	for _, server := range []*http.Server{c.callers.Server, c.peerSide} {
		if err := server.Shutdown(ctx); err != nil {
			c.log.Warn().Err(err).Msg("listener closed late")
		}
	}
}

// stopPoll is how often a stopping node looks whether requests still run.
const stopPoll = 20 * time.Millisecond
