// Package logout writes log lines without blocking the caller. Otherwise, if the reader of the
// process's output stopped reading, the requests that write log lines would block.
package logout

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

// bufferedLines is the number of lines buffered for a slow reader: about a megabyte at 400 bytes
// a line.
const bufferedLines = 2048

// Writer writes log lines asynchronously. It implements log.Writer. Lines are dropped and counted
// while the buffer is full.
type Writer struct {
	async   log.AsyncWriter
	dropped atomic.Int64
}

var _ log.Writer = (*Writer)(nil)

// New returns a Writer that writes to w.
func New(w io.Writer) *Writer {
	return &Writer{async: log.AsyncWriter{Writer: &log.IOWriter{Writer: w}, ChannelSize: bufferedLines, DiscardOnFull: true}}
}

// WriteEntry implements log.Writer.
func (w *Writer) WriteEntry(entry *log.Entry) (int, error) {
	n, err := w.async.WriteEntry(entry)
	if err != nil {
		w.dropped.Add(1)
	}
	return n, err
}

// TakeDropped returns the number of lines dropped since the last call, and resets it.
func (w *Writer) TakeDropped() int64 { return w.dropped.Swap(0) }

// Close writes the buffered lines and closes the writer. Nothing may be logged afterwards.
func (w *Writer) Close() error { return w.async.Close() }
