package follow

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tamarackquay/internal/quarantine"
	"tamarackquay/internal/wait"
)

// feedEnd is one end of a feed.
type feedEnd struct {
	node    string
	crashes *quarantine.SharedLedger
	feed    quarantine.Feed
}

// sendNotices sends the notices of one node to another over the link of the first.
func (w *world) sendNotices(ctx context.Context, from, to feedEnd) {
	_ = SendNotices(ctx, from.crashes, from.feed, func(notice *quarantine.Notice) error {
		raw, err := cbor.Marshal(notice)
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.noticeBytes[from.node] += len(raw)
		w.mu.Unlock()
		if !wait.Sleep(ctx, time.Until(w.transmitBytes(from.node, len(raw)))) {
			return ctx.Err()
		}
		if !w.isCut(from.node, to.node) {
			to.crashes.Merge(to.feed, notice)
		}
		return nil
	})
}

// notQuarantining returns the nodes that would still forward a request to targets.
func (w *world) notQuarantining(request quarantine.Fingerprint) []string {
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

// reportCrash makes a node report a crash.
func (w *world) reportCrash(node string, id uint64, suspects ...quarantine.Fingerprint) {
	w.mu.Lock()
	crashes := w.crashes[node]
	w.mu.Unlock()
	crashes.RecordCrash(quarantine.Crash{ID: id, Answered: true, Suspects: suspects})
}
