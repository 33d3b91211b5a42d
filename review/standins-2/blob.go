package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case. A value has at most 1,048,576 bytes; the pages set no limit on the number of
// entries of other writers.
const (
	blobEntries = 16
	blobBytes   = 1 << 20
	blobWork    = 290 * time.Millisecond
	// blobLead is how long after the other writer's entries the operator changes the configuration.
	blobLead = 5 * time.Second
)

// playBlob lets another writer write entries that can't be read. Then the operator moves a route to
// another service.
func playBlob(f *fleet, trouble bool) (bool, error) {
	routes := func(service string) []route {
		return []route{{"r-cert", "/xapu221/", "unsafe", service, 1500 * time.Millisecond, 800 * time.Millisecond}}
	}
	services := []string{"certdesk", "logbook"}
	if err := f.publish(routes("certdesk"), services); err != nil {
		return false, err
	}
	places := []place{
		{"alm-a", "certdesk"}, {"ast-a", "certdesk"}, {"kar-a", "certdesk"},
		{"alm-a", "logbook"}, {"ast-a", "logbook"}, {"kar-a", "logbook"},
	}
	work := func(*upstream, *http.Request) time.Duration { return blobWork }
	if err := f.start(places, work); err != nil {
		return false, err
	}
	if trouble {
		value := bytes.Repeat([]byte{0xb1}, blobBytes)
		for i := range blobEntries {
			f.store.Put(fmt.Sprintf("servers/y-%04x", i), value, 0)
		}
		f.record.add("store", "another writer has written %d entries of %d bytes that can't be read", blobEntries, blobBytes)
	}
	time.Sleep(blobLead)
	if err := f.publish(routes("logbook"), services); err != nil {
		return false, err
	}
	changedAt := f.record.add("store", "version %d moves /xapu221/ from certdesk to logbook; the store confirms it", f.version)
	var clients sync.WaitGroup
	end := time.Now().Add(watchedTime)
	for i := 0; time.Now().Before(end); i++ {
		m := f.machines[i%len(f.machines)]
		clients.Go(func() { f.post(m, fmt.Sprintf("%016x", 0x8000000+i)) })
		time.Sleep(foreignEvery)
	}
	clients.Wait()
	return f.judgeForeign(changedAt)
}
