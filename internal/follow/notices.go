package follow

import (
	"context"

	"tamarackquay/internal/quarantine"
)

// Notices are what nodes tell each other of crashes. They go both ways on each feed, so that
// they reach every node from any.
type Notices interface {
	// Open returns the name of a new feed.
	NewFeed() quarantine.Feed
	// Since returns what the neighbour on a feed lacks that was told everything up to a
	// position, its position after that, and a channel that is closed when there is more.
	Since(position uint64, to quarantine.Feed) (notice *quarantine.Notice, next uint64, changed <-chan struct{})
	// Merge takes what comes by a feed.
	Merge(from quarantine.Feed, notice *quarantine.Notice)
}

// SendNotices sends the neighbour on a feed the notices that it lacks, all at first, until ctx
// ends or send fails.
func SendNotices(ctx context.Context, notices Notices, to quarantine.Feed, send func(*quarantine.Notice) error) error {
	var position uint64
	for {
		notice, next, changed := notices.Since(position, to)
		position = next
		if !notice.Empty() {
			if err := send(notice); err != nil {
				return err
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
