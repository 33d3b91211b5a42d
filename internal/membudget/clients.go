package membudget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headerDivisor is the part of a listener's limit that the headers of requests may take. The rest is
	// left for connections, so that clients with small headers are still served.
	headerDivisor = 2
	// endingDivisor is the part of a limit by which connections that are being ended may exceed it.
	endingDivisor = 4
)

// ClientLimits limits what the clients of a listener may make a node hold. Zero means no limit.
type ClientLimits struct {
	// Bytes limits the memory of connections and headers together.
	Bytes int64
	// Conns limits the number of connections.
	Conns int
	// ConnBytes is the memory of a connection without the headers that it sends.
	ConnBytes int64
}

// Clients decides which connections a listener keeps. It addresses clients that open connections without
// end, or send headers that they don't end: the connections that have kept most memory waiting for
// the longest time end first, and a client that just comes is served. All bytes are in the account.
//
// It is safe for concurrent use.
type Clients struct {
	mu      sync.Locker
	account *Account
	limits  ClientLimits
	list    []*Client
	// kept is what the connections hold in total, and ending the part that those hold that were
	// chosen to end.
	kept, ending clientUse
	// removed is closed when a connection is removed; nil if nobody waits for that.
	removed chan struct{}
}

// clientUse is what connections hold.
type clientUse struct {
	conns         int
	bytes, header int64
}

func (u *clientUse) add(conns int, bytes, header int64) {
	u.conns += conns
	u.bytes += bytes
	u.header += header
}

// Client is a connection of a client. Its zero value is ready for Admit, once.
type Client struct {
	// Owner is for the caller of Admit, who sets it before.
	Owner any

	holder Holder
	// waitingSince is when the client began to keep the node waiting, in nanoseconds of Unix time; 0
	// while its request is handled.
	waitingSince atomic.Int64
	// ending is true if the connection was chosen to end. It is written with the lock held.
	ending   atomic.Bool
	index    int
	admitted bool
}

// NewClients returns the clients of a listener, without any. The lock is the one that guards the account.
func NewClients(account *Account, lock sync.Locker, limits ClientLimits) *Clients {
	if limits.Bytes == 0 {
		limits.Bytes = math.MaxInt64 / 2
	}
	if limits.Conns == 0 {
		limits.Conns = math.MaxInt / 2
	}
	return &Clients{mu: lock, account: account, limits: limits}
}

// Admission is the decision on a connection.
type Admission struct {
	Admitted bool
	// End are the connections that must be ended for it.
	End []*Client
	// Retry is set if there will be room once connections are removed that are being ended. It is closed
	// with the next of them.
	Retry <-chan struct{}
}

// Admit adds a connection that waits for its first request, if there is room.
func (c *Clients) Admit(client *Client, now time.Time) Admission {
	c.mu.Lock()
	defer c.mu.Unlock()
	need := c.limits.ConnBytes
	var admission Admission
	for c.kept.conns-c.ending.conns >= c.limits.Conns || c.kept.bytes-c.ending.bytes > c.limits.Bytes-need {
		worst := c.worst(now, func(other *Client) int64 { return other.holder.total })
		if worst == nil {
			return admission
		}
		admission.End = append(admission.End, c.choose(worst))
	}
	if c.kept.conns >= withEnding(c.limits.Conns) || c.kept.bytes > withEnding(c.limits.Bytes)-need {
		if c.removed == nil {
			c.removed = make(chan struct{})
		}
		admission.Retry = c.removed
		return admission
	}
	client.Wait(now)
	client.index, client.admitted = len(c.list), true
	c.list = append(c.list, client)
	c.account.Open(&client.holder)
	// A connection exists already, so the account counts it also if bodies leave no room.
	c.account.add(&client.holder, Connection, need)
	c.kept.add(1, need, 0)
	admission.Admitted = true
	return admission
}

// Crowded reports whether more than half of a limit is used.
func (c *Clients) Crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kept.conns > c.limits.Conns/2 || c.kept.bytes > c.limits.Bytes/2
}

// GrowHeader adds bytes to the header that a connection sends. It reports whether there is room, and
// returns the connections that must be ended for it. A connection that gets no room must end.
func (c *Clients) GrowHeader(client *Client, bytes int64, now time.Time) (granted bool, end []*Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.limits.Bytes / headerDivisor
	for c.kept.header-c.ending.header > limit-bytes {
		worst := c.worst(now, func(other *Client) int64 { return other.header() })
		if worst == nil || worst == client {
			return false, end
		}
		end = append(end, c.choose(worst))
	}
	if c.kept.header > withEnding(limit)-bytes || !c.account.Reserve(&client.holder, RequestHeader, bytes) {
		return false, end
	}
	c.count(client, 0, bytes, bytes)
	return true, end
}

// Wait records that the client keeps the node waiting since a time: for a request, or for the rest of its
// header.
func (client *Client) Wait(since time.Time) { client.waitingSince.Store(since.UnixNano()) }

// Serve records that the client's request is handled. The connection stays, even if it was chosen to end.
func (c *Clients) Serve(client *Client) {
	client.waitingSince.Store(0)
	if !client.ending.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if client.ending.Swap(false) {
		c.ending.add(-1, -client.holder.total, -client.header())
	}
}

// ReturnHeader returns the memory of a header whose request is over.
func (c *Clients) ReturnHeader(client *Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes := client.header()
	c.account.Return(&client.holder, RequestHeader, bytes)
	c.count(client, 0, -bytes, -bytes)
}

// Remove removes a connection that is closed. Further calls have no effect.
func (c *Clients) Remove(client *Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !client.admitted {
		return
	}
	c.count(client, -1, -client.holder.total, -client.header())
	c.account.Close(&client.holder)
	last := c.list[len(c.list)-1]
	c.list[client.index], last.index = last, client.index
	c.list[len(c.list)-1] = nil
	c.list = c.list[:len(c.list)-1]
	client.admitted = false
	if c.removed != nil {
		close(c.removed)
		c.removed = nil
	}
}

// header returns the memory of the client's header.
func (client *Client) header() int64 { return client.holder.held[RequestHeader] }

// count adds to what a client holds.
func (c *Clients) count(client *Client, conns int, bytes, header int64) {
	c.kept.add(conns, bytes, header)
	if client.ending.Load() {
		c.ending.add(conns, bytes, header)
	}
}

// choose marks a connection that must end.
func (c *Clients) choose(client *Client) *Client {
	client.ending.Store(true)
	c.ending.add(1, client.holder.total, client.header())
	return client
}

// worst returns the waiting connection with the highest product of bytes and time, or nil if none waits
// that holds any.
func (c *Clients) worst(now time.Time, bytes func(*Client) int64) *Client {
	var worst *Client
	most := 0.0
	for _, client := range c.list {
		since := client.waitingSince.Load()
		if since == 0 || client.ending.Load() {
			continue
		}
		waited := max(now.UnixNano()-since, 1)
		if cost := float64(bytes(client)) * float64(waited); cost > most {
			worst, most = client, cost
		}
	}
	return worst
}

// withEnding returns a limit that includes connections that are being ended.
func withEnding[T int | int64](limit T) T { return limit + limit/endingDivisor }
