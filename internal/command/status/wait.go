package status

import (
	"context"
	"fmt"
	"time"

	"tamarackquay/internal/command/nodes"
	"tamarackquay/internal/node"
	"tamarackquay/internal/snapshot"
)

// askPause is the wait between two rounds of questions.
const askPause = 50 * time.Millisecond

// waited tells how a wait for a version ended.
type waited struct {
	Version snapshot.Version `json:"version"`
	Nodes   int              `json:"nodes"`
	Missing int              `json:"missing"`
	MS      int64            `json:"ms"`
}

// String renders the end of the wait for people.
func (w *waited) String() string {
	if w.Missing > 0 {
		return fmt.Sprintf("version %s is not in force on %d of %d nodes after %d ms", w.Version, w.Missing, w.Nodes, w.MS)
	}
	return fmt.Sprintf("version %s is in force on all %d nodes after %d ms of waiting", w.Version, w.Nodes, w.MS)
}

// waitFor asks until all nodes serve on the version or the time is over.
func waitFor(ctx context.Context, version snapshot.Version, timeout time.Duration, ask func() []nodes.Response[node.Status]) report {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		answers := ask()
		missing := missingOn(version, answers)
		if missing == 0 || ctx.Err() != nil {
			r := newReport(answers, time.Now())
			r.Findings += missing
			r.Waited = &waited{Version: version, Nodes: len(answers), Missing: missing, MS: time.Since(start).Milliseconds()}
			return r
		}
		select {
		case <-time.After(askPause):
		case <-ctx.Done():
		}
	}
}

// missingOn counts the nodes that don't serve on the version or a newer one.
func missingOn(version snapshot.Version, answers []nodes.Response[node.Status]) int {
	missing := 0
	for _, answer := range answers {
		if answer.Problem != "" || version.NewerThan(answer.Value.Applied) || !answer.Value.Health.Serving() {
			missing++
		}
	}
	return missing
}
