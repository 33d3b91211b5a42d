package proxy

import (
	"bytes"
	"io"
	"sync"
	"time"

	"tamarackquay/internal/membudget"
)

const (
	// aheadChunk is how many bytes of a response are read ahead at once.
	aheadChunk = 16 << 10
	// minAheadChunk is the smallest grant for which a chunk is read.
	minAheadChunk = 4 << 10
	// aheadRetry is how often a response that is not granted more memory asks again.
	aheadRetry = 100 * time.Millisecond
)

// readAhead reads the rest of a response while its beginning is written to a receiver, as
// far as the account grants memory, and beyond that as fast as the receiver reads. A target
// cuts off a response that it can't send for some seconds.
type readAhead struct {
	hold   *memoryHold
	source io.ReadCloser
	// cancel ends a pending read of the source.
	cancel func()

	mu     sync.Mutex
	chunks []aheadPart
	// err is set after the last chunk: io.EOF if the source ended as announced.
	err error
	// pushed and popped tell the other side that a chunk was added or written.
	pushed, popped chan struct{}
	stopped        chan struct{}
	stopOnce       sync.Once
	finished       chan struct{}
}

// aheadPart is a part of the response with the grant under which it is held.
type aheadPart struct {
	data    []byte
	granted int64
	floor   bool
}

// startReadAhead begins to read the rest of a response ahead, if memory is accounted. stop
// must be called.
func (resp *bufferedResponse) startReadAhead() {
	if resp.rest == nil || resp.hold == nil {
		return
	}
	resp.ahead = &readAhead{
		hold: resp.hold, source: resp.rest, cancel: resp.cancel,
		pushed: make(chan struct{}, 1), popped: make(chan struct{}, 1), stopped: make(chan struct{}), finished: make(chan struct{}),
	}
	go resp.ahead.run()
}

// closeRest ends reading the rest of the response, whether it was read completely or not.
func (resp *bufferedResponse) closeRest() {
	if resp.ahead != nil {
		resp.ahead.stop()
	} else if resp.rest != nil {
		_ = resp.rest.Close()
	}
}

// run reads the source until it ends or stop is called.
func (r *readAhead) run() {
	defer close(r.finished)
	defer r.source.Close()
	for {
		part, ok := r.awaitGrant()
		if !ok {
			return
		}
		n, err := r.source.Read(part.data)
		r.push(r.trim(part, n), err)
		if err != nil {
			return
		}
	}
}

// awaitGrant waits for memory for the next chunk. It returns false after stop.
func (r *readAhead) awaitGrant() (aheadPart, bool) {
	for {
		select {
		case <-r.stopped:
			return aheadPart{}, false
		default:
		}
		granted := r.hold.grow(membudget.WrittenResponse, aheadChunk)
		if granted >= minAheadChunk {
			return aheadPart{data: make([]byte, granted), granted: granted}, true
		}
		r.hold.giveBack(membudget.WrittenResponse, granted)
		if size := r.hold.useFloor(); size > 0 {
			return aheadPart{data: make([]byte, size), floor: true}, true
		}
		timer := time.NewTimer(aheadRetry)
		select {
		case <-r.popped:
		case <-r.stopped:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// trim cuts a part to the n bytes that were read. The memory of a part that was filled by
// less than half is returned.
func (r *readAhead) trim(part aheadPart, n int) aheadPart {
	if part.floor || n >= len(part.data)/2 {
		part.data = part.data[:n]
		return part
	}
	part.data = bytes.Clone(part.data[:n])
	r.hold.giveBack(membudget.WrittenResponse, part.granted-int64(n))
	part.granted = int64(n)
	return part
}

func (r *readAhead) push(part aheadPart, err error) {
	r.mu.Lock()
	r.chunks = append(r.chunks, part)
	r.err = err
	r.mu.Unlock()
	signal(r.pushed)
}

// pop returns the next part, or the end of the source after the last one.
func (r *readAhead) pop() (aheadPart, error) {
	for {
		r.mu.Lock()
		if len(r.chunks) > 0 {
			part := r.chunks[0]
			r.chunks[0] = aheadPart{}
			r.chunks = r.chunks[1:]
			r.mu.Unlock()
			return part, nil
		}
		err := r.err
		r.mu.Unlock()
		if err != nil {
			return aheadPart{}, err
		}
		r.hold.wait()
		<-r.pushed
		r.hold.recordProgress()
	}
}

// copyTo writes all parts to w.
func (r *readAhead) copyTo(w io.Writer) error {
	signal(r.popped)
	for {
		part, err := r.pop()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := r.hold.write(w, part.data); err != nil {
			return err
		}
		r.release(part)
	}
}

func (r *readAhead) release(part aheadPart) {
	if part.floor {
		r.hold.freeFloor()
	}
	r.hold.giveBack(membudget.WrittenResponse, part.granted)
	signal(r.popped)
}

// stop ends reading and returns when nothing of the source is read any more. It may be called
// more than once.
func (r *readAhead) stop() {
	r.stopOnce.Do(func() { close(r.stopped) })
	r.cancel()
	<-r.finished
}

// signal notifies the other side without waiting for it.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
