package main

import (
	"context"
	"time"

	"tamarackquay/internal/adapter/httpserver"
	"tamarackquay/internal/wait"
)

// Times of a planned stop.
const (
	// removalDelay is how long callers may still arrive after the signal to stop:
	// the platform checks readiness once a second and removes a node after two
	// failed checks.
	removalDelay = 2500 * time.Millisecond
	// killMargin is the part of the platform's grace period that is left unused, so
	// that the process ends before it is killed.
	killMargin = 700 * time.Millisecond
)

// stop shuts the process down gracefully. The node reports that it isn't ready and
// continues to serve until the platform sends no more callers. Then it gives the
// local target no more work, and closes each connection after its final response.
func (c *sidecar) stop() {
	begin := time.Now()
	c.log.Info().Int64("open", c.proxy.InFlight()).Msg("stopping")
	deadline := begin.Add(c.settings.StopGrace - killMargin)
	c.proxy.Stop(deadline)
	wait.Sleep(context.Background(), removalDelay)
	c.proxy.StopLocal()
	if err := c.callers.StopAccepting(); err != nil {
		c.log.Warn().Err(err).Msg("failed to close callers listener")
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for c.proxy.InFlight() > 0 && wait.Sleep(ctx, drainPollInterval) {
	}
	if err := c.callers.CloseIdle(); err != nil {
		c.log.Warn().Err(err).Msg("idle caller connections closed without a response")
	}
	for _, server := range []*httpserver.Server{c.callers, c.peerServer} {
		if err := server.Shutdown(ctx); err != nil {
			c.log.Warn().Err(err).Msg("server did not shut down in time")
		}
	}
}

// drainPollInterval is how often a stopping node checks for requests that still run.
const drainPollInterval = 20 * time.Millisecond
