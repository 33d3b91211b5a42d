package follow

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tamarackquay/internal/quarantine"
	"tamarackquay/internal/wait"
)

// end is one end of a feed.
type end struct {
	node    string
	crashes *quarantine.SharedLedger
	feed    quarantine.Feed
}

// passNotices sends one node's notices to another, over the link of the first.
func (w *world) passNotices(ctx context.Context, from, to end) {
	_ = SendNotices(ctx, from.crashes, from.feed, func(notice *quarantine.Notice) error {
		raw, err := cbor.Marshal(notice)
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.noticed[from.node] += len(raw)
		w.mu.Unlock()
		if !wait.Sleep(ctx, time.Until(w.carryBytes(from.node, len(raw)))) {
			return ctx.Err()
		}
		if !w.isCut(from.node, to.node) {
			to.crashes.Merge(to.feed, notice)
		}
		return nil
	})
}

// unaware returns the nodes that would let a request reach targets.
func (w *world) unaware(request quarantine.Fingerprint) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for id, crashes := range w.crashes {
		if !w.cut[id] && crashes.BlockRemaining(request) == 0 {
			found = append(found, id)
		}
	}
	return found
}

// crash lets a node tell of a crash.
func (w *world) crash(node string, id uint64, suspects ...quarantine.Fingerprint) {
	w.mu.Lock()
	crashes := w.crashes[node]
	w.mu.Unlock()
	crashes.RecordCrash(quarantine.Crash{ID: id, Answered: true, Suspects: suspects})
}
