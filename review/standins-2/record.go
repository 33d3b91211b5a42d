package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// event is one line of the record.
type event struct {
	at         time.Duration
	kind, text string
}

// record is what was sent, answered and run, in order.
type record struct {
	start time.Time

	mu     sync.Mutex
	events []event
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) add(kind, format string, args ...any) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.start)
	r.events = append(r.events, event{at, kind, fmt.Sprintf(format, args...)})
	return at
}

func (r *record) snapshot() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

func (r *record) write(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	writer := bufio.NewWriter(file)
	for _, e := range r.snapshot() {
		fmt.Fprintf(writer, "%9.3f s  %-8s %s\n", e.at.Seconds(), e.kind, e.text)
	}
	return writer.Flush()
}
