package proxy

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/membudget"
	"tamarackquay/internal/port"
)

const (
	// responseFloor is how many bytes are reserved for each request's response, so that
	// it can always be passed on, however full the account is.
	responseFloor = 16 << 10
	// relayBytes is the size of the buffer with which net/http passes on a request body.
	relayBytes = 32 << 10
	// writePiece is how many bytes are written to a receiver at once. Progress shows after
	// each piece.
	writePiece = 16 << 10
	// roomWait is how long a request waits for the memory of connections that are being
	// ended for it.
	roomWait = 100 * time.Millisecond
	// retryMemory is the Retry-After of a request refused for lack of memory.
	retryMemory = 250 * time.Millisecond
)

// longAgo is a deadline at which a pending write fails at once.
var longAgo = time.Unix(1, 0)

// errEndedForMemory is the error of a response that was ended to free its memory.
var errEndedForMemory = errors.New("ended to free memory: the receiver reads too slowly")

// memory connects the account of the bytes that the node holds with the requests. A nil
// *memory limits nothing, and its holds are nil.
type memory struct {
	clock port.Clock
	meter port.Meter
	log   *requestLog

	mu      sync.Mutex
	account *membudget.Account
	// writing holds the connections to which a response is written, or whose request's body is awaited.
	writing map[*membudget.Holder]*memoryHold
	// freed is closed when bytes are returned while a request waits for them; nil if none
	// waits.
	freed chan struct{}
}

// memoryHold is what one request holds. A nil *memoryHold has no limit.
type memoryHold struct {
	membudget.Holder
	memory *memory
	// floorUsed is true while the reserved floor is in use.
	floorUsed bool
	// writer receives the response once writing begins, request is the request's id.
	writer  http.ResponseWriter
	request string
	// receiving is true while the body of the request is awaited.
	receiving bool
}

// newMemory returns the account of a node; nil if limit is 0.
func newMemory(limit int64, ports Ports, log *requestLog) *memory {
	if limit == 0 {
		return nil
	}
	return &memory{clock: ports.Clock, meter: ports.Meter, log: log, account: membudget.New(limit), writing: map[*membudget.Holder]*memoryHold{}}
}

// NewClients returns the clients of a listener, in the account of the node's memory.
func (p *Proxy) NewClients(limits membudget.ClientLimits) *membudget.Clients {
	if p.memory == nil {
		return membudget.NewClients(membudget.New(math.MaxInt64), &sync.Mutex{}, limits)
	}
	return membudget.NewClients(p.memory.account, &p.memory.mu, limits)
}

// open returns a hold without bytes; close must be called.
func (m *memory) open(request string) *memoryHold {
	if m == nil {
		return nil
	}
	h := &memoryHold{memory: m, request: request}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Open(&h.Holder)
	return h
}

// close returns all bytes. It reports whether the connection was ended to free memory, in
// which case the response must not be taken for complete.
func (h *memoryHold) close() bool {
	if h == nil {
		return false
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	ended := m.account.Close(&h.Holder)
	delete(m.writing, &h.Holder)
	m.notifyFreed()
	return ended
}

// admit reserves the memory of a request and its response, or refuses the request. It ends
// slow readers if that makes enough room.
func (h *memoryHold) admit(ctx context.Context, node string, bodyBytes int64) *port.Refusal {
	if h == nil {
		return nil
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.reserve(bodyBytes) || m.awaitRoom(ctx, h, bodyBytes) {
		return nil
	}
	m.meter.Count(port.MetricMemoryRefused, node, 1)
	return port.Refuse(port.ReasonMemory, retryMemory, "the node holds %d of the %d bytes that it may hold", m.account.Total(), m.account.Limit())
}

// reserve must be called with the mutex held.
func (h *memoryHold) reserve(bodyBytes int64) bool {
	account := h.memory.account
	if !account.Reserve(&h.Holder, membudget.RequestBody, bodyBytes) {
		return false
	}
	if !account.Reserve(&h.Holder, membudget.BufferedResponse, responseFloor) {
		account.Return(&h.Holder, membudget.RequestBody, bodyBytes)
		return false
	}
	return true
}

// awaitRoom ends slow readers and waits until they have returned their memory. It reports
// whether the memory is reserved. It is called with the mutex held, and releases it while
// it waits.
func (m *memory) awaitRoom(ctx context.Context, h *memoryHold, bodyBytes int64) bool {
	wanted := bodyBytes + responseFloor
	m.end(m.account.MakeRoom(m.clock.Now(), wanted))
	timer := time.NewTimer(roomWait)
	defer timer.Stop()
	for m.account.FreesSoon(wanted) {
		if m.freed == nil {
			m.freed = make(chan struct{})
		}
		freed, over := m.freed, false
		m.mu.Unlock()
		select {
		case <-freed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			over = true
		}
		m.mu.Lock()
		if h.reserve(bodyBytes) {
			return true
		}
		if over {
			return false
		}
	}
	return false
}

// notifyFreed wakes the requests that wait for memory. It must be called with the mutex held.
func (m *memory) notifyFreed() {
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// end makes the pending and all later writes of connections fail. It must be called with the
// mutex held: a connection that is closed may already serve another request.
func (m *memory) end(holders []*membudget.Holder) {
	now := m.clock.Now()
	for _, holder := range holders {
		h := m.writing[holder]
		control := http.NewResponseController(h.writer)
		m.meter.Count(port.MetricMemoryEnded, "", 1)
		// Without support for deadlines, a response ends with its next write, and a body with its next read.
		end, message := control.SetWriteDeadline, "slow reader ended"
		if h.receiving {
			end, message = control.SetReadDeadline, "slow sender ended"
		}
		err := end(longAgo)
		m.log.slowClientEnded(now, message, h.request, holder.Held(), m.account.Stalled(holder, now), m.account.Total(), err)
	}
}

// tick ends readers if there are too many slow ones.
func (m *memory) tick() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.end(m.account.Tick(m.clock.Now()))
}

// measure sets the gauges.
func (m *memory) measure() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for purpose := range membudget.NumPurposes {
		m.meter.Set(port.MetricMemoryHeld, purpose.String(), float64(m.account.Held(purpose)))
	}
	m.meter.Set(port.MetricMemoryLimit, "", float64(m.account.Limit()))
}

// grow returns how many of the wanted bytes are granted for a purpose; without a limit, all.
func (h *memoryHold) grow(purpose membudget.Purpose, wanted int64) int64 {
	if h == nil {
		return wanted
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.memory.account.Grow(&h.Holder, purpose, wanted)
}

// reserveHeader reserves memory for the header of a response, until the request ends. It reports
// whether it was granted.
func (h *memoryHold) reserveHeader(bytes int64) bool {
	if h == nil {
		return true
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.memory.account.Reserve(&h.Holder, membudget.BufferedResponse, bytes)
}

// giveBack returns granted bytes.
func (h *memoryHold) giveBack(purpose membudget.Purpose, bytes int64) {
	if h == nil || bytes == 0 {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.account.Return(&h.Holder, purpose, bytes)
	h.memory.notifyFreed()
}

// useFloor returns the size of the reserved floor, or 0 if it is in use. Without a limit
// there is none.
func (h *memoryHold) useFloor() int64 {
	if h == nil {
		return 0
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if h.floorUsed {
		return 0
	}
	h.floorUsed = true
	return responseFloor
}

// freeFloor makes the floor available again.
func (h *memoryHold) freeFloor() {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.floorUsed = false
}

// startWriting marks the beginning of the response to w.
func (h *memoryHold) startWriting(w http.ResponseWriter) {
	if h == nil {
		return
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	h.writer = w
	m.writing[&h.Holder] = h
	m.account.Progress(&h.Holder, m.clock.Now())
}

// startReceiving marks the beginning of the wait for the body of the request that w answers.
func (h *memoryHold) startReceiving(w http.ResponseWriter) {
	h.startWriting(w)
	h.setReceiving(true)
}

// received records that bytes of the body came, if it is awaited.
func (h *memoryHold) received() {
	if h == nil {
		return
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.receiving {
		m.account.Progress(&h.Holder, m.clock.Now())
	}
}

// endReceiving marks the end of the wait. It reports whether the connection was ended.
func (h *memoryHold) endReceiving() bool {
	if h == nil {
		return false
	}
	h.setReceiving(false)
	h.wait()
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.writing, &h.Holder)
	return h.Ended()
}

func (h *memoryHold) setReceiving(receiving bool) {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.receiving = receiving
}

// write writes b to w in pieces and records the progress of the receiver.
func (h *memoryHold) write(w io.Writer, b []byte) error {
	if h == nil {
		_, err := w.Write(b)
		return err
	}
	for len(b) > 0 {
		n, err := w.Write(b[:min(len(b), writePiece)])
		if ended := h.recordProgress(); ended {
			return errEndedForMemory
		}
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// wait marks that the receiver gets nothing for the moment, through no fault of its own.
// recordProgress ends it.
func (h *memoryHold) wait() {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.account.Wait(&h.Holder)
}

// recordProgress records that the receiver took bytes, or can take them from now on. It
// reports whether the connection was ended.
func (h *memoryHold) recordProgress() bool {
	if h == nil {
		return false
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Progress(&h.Holder, m.clock.Now())
	return h.Ended()
}
