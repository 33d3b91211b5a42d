// Package logout writes log lines without ever holding up whoever logs. A reader
// of the process's output that stops reading would otherwise stop the requests
// behind the lines.
package logout

import (
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

// buffered is how many lines wait for a slow reader: at some 400 bytes a line
// about a megabyte.
const buffered = 2048

// Writer implements log.Writer. Lines that find the buffer full are dropped and
// counted.
type Writer struct {
	async   log.AsyncWriter
	dropped atomic.Int64
}

var _ log.Writer = (*Writer)(nil)

// New returns a writer to w.
func New(w io.Writer) *Writer {
	return &Writer{async: log.AsyncWriter{Writer: &log.IOWriter{Writer: w}, ChannelSize: buffered, DiscardOnFull: true}}
}

// WriteEntry implements log.Writer.
func (w *Writer) WriteEntry(entry *log.Entry) (int, error) {
	n, err := w.async.WriteEntry(entry)
	if err != nil {
		w.dropped.Add(1)
	}
	return n, err
}

// TakeDropped returns how many lines were dropped since it was last called.
func (w *Writer) TakeDropped() int64 { return w.dropped.Swap(0) }

// Close writes what is buffered. Nothing may be logged after it.
func (w *Writer) Close() error { return w.async.Close() }
