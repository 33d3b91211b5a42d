package follow

import (
	"context"

	"tamarackquay/internal/quarantine"
)

// Notices holds the crash notices that nodes exchange. They are sent in both directions on
// each feed, so that a notice from any node reaches all nodes.
type Notices interface {
	// NewFeed returns an identifier for a new feed.
	NewFeed() quarantine.Feed
	// Since returns the notices after a position that the neighbour on a feed lacks, its
	// position afterwards, and a channel that is closed when there are more.
	Since(position uint64, to quarantine.Feed) (notice *quarantine.Notice, next uint64, changed <-chan struct{})
	// Merge adds a notice received on a feed.
	Merge(from quarantine.Feed, notice *quarantine.Notice)
}

// SendNotices sends the neighbour on a feed the notices that it lacks, starting with all of
// them, until ctx ends or send fails.
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
