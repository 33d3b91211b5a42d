package status

import (
	"context"
	"fmt"
	"time"

	"tamarackquay/internal/command/nodes"
	"tamarackquay/internal/node"
	"tamarackquay/internal/snapshot"
)

// pollInterval is the pause between two rounds of requests.
const pollInterval = 50 * time.Millisecond

// waitResult is the result of waiting for a version.
type waitResult struct {
	Version snapshot.Version `json:"version"`
	Nodes   int              `json:"nodes"`
	Missing int              `json:"missing"`
	MS      int64            `json:"ms"`
}

// String formats the result as a line of text.
func (w *waitResult) String() string {
	if w.Missing > 0 {
		return fmt.Sprintf("version %s is not in force on %d of %d nodes after %d ms", w.Version, w.Missing, w.Nodes, w.MS)
	}
	return fmt.Sprintf("version %s is in force on all %d nodes after %d ms of waiting", w.Version, w.Nodes, w.MS)
}

// waitFor polls the nodes until all of them serve with the version or a newer one,
// or the timeout passes.
func waitFor(ctx context.Context, version snapshot.Version, timeout time.Duration, fetch func() []nodes.Response[node.Status]) report {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		responses := fetch()
		missing := countMissing(version, responses)
		if missing == 0 || ctx.Err() != nil {
			r := newReport(responses, time.Now())
			r.Findings += missing
			r.Waited = &waitResult{Version: version, Nodes: len(responses), Missing: missing, MS: time.Since(start).Milliseconds()}
			return r
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// countMissing counts the nodes that don't serve with the version or a newer one.
func countMissing(version snapshot.Version, responses []nodes.Response[node.Status]) int {
	missing := 0
	for _, response := range responses {
		if response.Problem != "" || version.NewerThan(response.Value.Applied) || !response.Value.Health.Serving() {
			missing++
		}
	}
	return missing
}
