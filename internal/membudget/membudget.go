// Package membudget decides how many bytes a node may hold for its clients, for whom, and whose
// connection ends first when there is no room.
//
// It addresses a load of many callers that read large responses slowly, or not at all, and
// of clients that send requests without end, on VMs with little memory. The package has no clock
// and does no I/O; callers provide the time. Its types are not safe for concurrent use, except
// Clients.
package membudget

import "time"

// Purpose is what bytes are held for.
type Purpose uint8

// The purposes.
const (
	// RequestBody: the body of a caller's request.
	RequestBody Purpose = iota
	// BufferedResponse: the beginning of a response, held until its end is known.
	BufferedResponse
	// WrittenResponse: the parts of a response that are read ahead of its receiver.
	WrittenResponse
	// Connection: the connection of a client, with its buffers.
	Connection
	// RequestHeader: the header of a client's request, as sent and as parsed.
	RequestHeader
	NumPurposes
)

// String returns the name of the purpose in logs and metrics.
func (p Purpose) String() string {
	return [NumPurposes]string{"request-body", "buffered-response", "written-response", "connection", "request-header"}[p]
}

const (
	// shareDivisor limits what one connection holds to this part of the room that is left.
	// Grants thus shrink as the account fills, and later connections get some as well: n
	// connections that take all that they get leave (1-1/shareDivisor)^n of the room.
	shareDivisor = 32
	// reserveDivisor is the part of the limit that is kept for reservations, so that
	// buffers stop growing before a request is refused.
	reserveDivisor = 4
	// slowBytesDivisor is the part of the limit that slow readers may hold together.
	slowBytesDivisor = 2
	// MaxSlowReaders is how many slow readers are tolerated at once.
	MaxSlowReaders = 128
	// SlowAfter is the time without progress after which a reader counts as slow. A
	// target waits a few seconds for its reader, so a slow reader's response is soon lost
	// in any case.
	SlowAfter = 2 * time.Second
	// maxTickGap is the longest time between two calls of Tick in a process that runs.
	// After a longer one, the process was paused, and its readers could not be served.
	maxTickGap = 500 * time.Millisecond
)

// Account holds the bytes of all connections against a limit.
type Account struct {
	limit     int64
	total     int64
	ending    int64
	byPurpose [NumPurposes]int64
	holders   []*Holder
	// lastTick is the time of the last Tick. No reader counts as slow for time before
	// resumedAt.
	lastTick, resumedAt time.Time
}

// Holder is a connection that holds bytes. Its zero value is ready for Open.
type Holder struct {
	held  [NumPurposes]int64
	total int64
	// progressAt is when the receiver of the response last took bytes or could begin to;
	// zero while nothing is written.
	progressAt time.Time
	open       bool
	ended      bool
	index      int
}

// New returns an empty account with a limit in bytes.
func New(limit int64) *Account { return &Account{limit: limit} }

// Limit returns the limit in bytes.
func (a *Account) Limit() int64 { return a.limit }

// Total returns the bytes held by all connections.
func (a *Account) Total() int64 { return a.total }

// Held returns the bytes held for a purpose.
func (a *Account) Held(purpose Purpose) int64 { return a.byPurpose[purpose] }

// Held returns the bytes held by the connection.
func (h *Holder) Held() int64 { return h.total }

// Ended reports whether the connection was chosen to end.
func (h *Holder) Ended() bool { return h.ended }

// Open adds a connection that holds nothing yet.
func (a *Account) Open(h *Holder) {
	*h = Holder{open: true, index: len(a.holders)}
	a.holders = append(a.holders, h)
}

// Close returns all that the connection holds and removes it. It reports whether the
// connection was chosen to end. Further calls have no effect.
func (a *Account) Close(h *Holder) bool {
	if !h.open {
		return h.ended
	}
	for purpose := range NumPurposes {
		a.Return(h, purpose, h.held[purpose])
	}
	last := a.holders[len(a.holders)-1]
	a.holders[h.index], last.index = last, h.index
	a.holders[len(a.holders)-1] = nil
	a.holders = a.holders[:len(a.holders)-1]
	h.open = false
	return h.ended
}

// Reserve grants all of the bytes, or none. A connection that is closed or was chosen to
// end gets none.
func (a *Account) Reserve(h *Holder, purpose Purpose, bytes int64) bool {
	if bytes < 0 || bytes > a.limit-a.total || !h.open || h.ended {
		return false
	}
	a.add(h, purpose, bytes)
	return true
}

// Grow grants as many of the wanted bytes as the connection may hold in addition, from 0
// to wanted. It grants less the fuller the account is, and leaves the reserve untouched.
func (a *Account) Grow(h *Holder, purpose Purpose, wanted int64) int64 {
	if !h.open || h.ended {
		return 0
	}
	room := a.limit - a.limit/reserveDivisor - a.total
	share := (room+h.total)/shareDivisor - h.total
	granted := max(0, min(wanted, room, share))
	a.add(h, purpose, granted)
	return granted
}

// Return takes back bytes that were granted, at most those that the connection holds for
// the purpose.
func (a *Account) Return(h *Holder, purpose Purpose, bytes int64) {
	if !h.open || bytes < 0 {
		return
	}
	a.add(h, purpose, -min(bytes, h.held[purpose]))
}

func (a *Account) add(h *Holder, purpose Purpose, bytes int64) {
	h.held[purpose] += bytes
	h.total += bytes
	a.byPurpose[purpose] += bytes
	a.total += bytes
	if h.ended {
		a.ending += bytes
	}
}

// Progress records that the receiver of the connection's response took bytes, or that
// writing to it begins.
func (a *Account) Progress(h *Holder, now time.Time) { h.progressAt = now }

// Wait records that nothing can be written to the receiver at the moment, because the rest
// of the response or its turn on the link is awaited. Progress ends it.
func (a *Account) Wait(h *Holder) { h.progressAt = time.Time{} }

// Stalled returns the time for which the receiver of the connection's response could have
// read and did not. It is 0 while nothing is written.
func (a *Account) Stalled(h *Holder, now time.Time) time.Duration {
	if h.progressAt.IsZero() {
		return 0
	}
	since := h.progressAt
	if a.resumedAt.After(since) {
		since = a.resumedAt
	}
	return max(0, now.Sub(since))
}

// Tick must be called at least every 250 ms. It returns the connections to be ended because
// there are too many slow readers, or they hold too many bytes together.
func (a *Account) Tick(now time.Time) []*Holder {
	a.observe(now)
	a.lastTick = now
	count, bytes := 0, int64(0)
	for _, h := range a.holders {
		if a.isSlow(h, now) {
			count++
			bytes += h.total
		}
	}
	var ended []*Holder
	for count > MaxSlowReaders || bytes > a.limit/slowBytesDivisor {
		h := a.endFirst(now)
		count--
		bytes -= h.total
		ended = append(ended, h)
	}
	return ended
}

// MakeRoom returns the connections to be ended so that the wanted bytes fit once they are
// closed. It returns none if the bytes fit already, if the connections chosen before make
// room for them, or if ending all slow readers would not.
func (a *Account) MakeRoom(now time.Time, wanted int64) []*Holder {
	a.observe(now)
	missing := wanted - (a.limit - a.total) - a.ending
	if missing <= 0 {
		return nil
	}
	available := int64(0)
	for _, h := range a.holders {
		if a.isSlow(h, now) {
			available += h.total
		}
	}
	if available < missing {
		return nil
	}
	var ended []*Holder
	for missing > 0 {
		h := a.endFirst(now)
		missing -= h.total
		ended = append(ended, h)
	}
	return ended
}

// FreesSoon reports whether the wanted bytes fit once the connections chosen to end are
// closed.
func (a *Account) FreesSoon(wanted int64) bool { return wanted <= a.limit-a.total+a.ending }

// observe notices that the process was paused before now.
func (a *Account) observe(now time.Time) {
	if a.lastTick.IsZero() || now.Sub(a.lastTick) > maxTickGap {
		a.resumedAt = now
		a.lastTick = now
	}
}

func (a *Account) isSlow(h *Holder, now time.Time) bool {
	return !h.ended && h.total > 0 && a.Stalled(h, now) >= SlowAfter
}

// endFirst chooses the slow reader with the highest product of bytes and time without
// progress, that is, the one that has kept most memory from others. There must be one.
func (a *Account) endFirst(now time.Time) *Holder {
	var first *Holder
	most := 0.0
	for _, h := range a.holders {
		if !a.isSlow(h, now) {
			continue
		}
		if cost := float64(h.total) * a.Stalled(h, now).Seconds(); cost > most {
			first, most = h, cost
		}
	}
	first.ended = true
	a.ending += first.total
	return first
}
