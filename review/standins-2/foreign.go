package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the case. The pages set no limit on the number of entries of other writers; the deployments
// of the pages have up to 295 upstreams.
const (
	foreignEntries = 150
	foreignSettle  = 8 * time.Second
	foreignWork    = 290 * time.Millisecond
	postDeadline   = 3 * time.Second
	foreignEvery   = 100 * time.Millisecond
	configBound    = 2500 * time.Millisecond
	// watchedTime is how long the requests after each change are watched.
	watchedTime = 8 * time.Second
)

// playForeign lets another writer register upstreams of a service that the configuration doesn't name.
// Then the operator moves a route to another service.
func playForeign(f *fleet, trouble bool) (bool, error) {
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
	work := func(*upstream, *http.Request) time.Duration { return foreignWork }
	if err := f.start(places, work); err != nil {
		return false, err
	}
	if trouble {
		f.record.add("store", "another writer registers %d upstreams of the service %q", foreignEntries, foreignService)
		for i := range foreignEntries {
			go f.keepForeign(i)
		}
	}
	time.Sleep(foreignSettle)
	if err := f.publish(routes("logbook"), services); err != nil {
		return false, err
	}
	changedAt := f.record.add("store", "version %d moves /xapu221/ from certdesk to logbook; the store confirms it", f.version)
	var clients sync.WaitGroup
	end := time.Now().Add(watchedTime)
	for i := 0; time.Now().Before(end); i++ {
		m := f.machines[i%len(f.machines)]
		clients.Go(func() { f.post(m, fmt.Sprintf("%016x", 0x7000000+i)) })
		time.Sleep(foreignEvery)
	}
	clients.Wait()
	return f.judgeForeign(changedAt)
}

const foreignService = "ledger9"

// keepForeign writes one entry of the other writer once per heartbeat. Nothing listens at its address.
func (f *fleet) keepForeign(i int) {
	zones := []string{"alm-a", "ast-a", "kar-a"}
	for sequence := 1; ; sequence++ {
		raw, err := json.Marshal(object{
			"Address": hostPort(f.address(5, i+1), portApp),
			"Info":    object{"Service": foreignService, "Version": "v1", "Zone": zones[i%len(zones)], "Slots": slotsPerTarget},
			"Status":  object{"State": "ready", "Sequence": sequence, "ColdRemaining": "0ms"},
		})
		if err != nil {
			panic(err)
		}
		f.heartbeat(fmt.Sprintf("servers/x-%04x", i), raw)
		time.Sleep(heartbeat)
	}
}

// judgeForeign counts the requests that were sent later than the bound after the confirmation and run
// by the old service.
func (f *fleet) judgeForeign(changedAt time.Duration) (bool, error) {
	sent := map[string]time.Duration{}
	stale, fresh, last := 0, 0, time.Duration(0)
	for _, e := range f.record.snapshot() {
		var path, request, at string
		switch e.kind {
		case "send":
			if _, err := fmt.Sscanf(e.text, "POST %s request %s to", &path, &request); err != nil {
				return false, err
			}
			sent[request] = e.at
		case "run":
			if _, err := fmt.Sscanf(e.text, "POST %s request %s at %s", &path, &request, &at); err != nil {
				return false, err
			}
			if sent[request] <= changedAt+configBound {
				continue
			}
			if f.serviceOf(at) == "certdesk" {
				stale++
				last = sent[request]
			} else {
				fresh++
			}
		}
	}
	f.record.add("count", "of the requests sent later than %s after the confirmation, the old service ran %d, the last one sent %.2f s after it; the new one ran %d",
		configBound, stale, max(0, last-changedAt).Seconds(), fresh)
	if stale+fresh == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return stale > 0, nil
}

// serviceOf returns the service of the upstream that a line of the record names.
func (f *fleet) serviceOf(name string) string {
	for _, m := range f.machines {
		if m.upstream.id+"," == name {
			return m.service
		}
	}
	return ""
}

// post sends one request and returns the status of its answer.
func (f *fleet) post(m *machine, id string) string {
	conn, err := net.DialTimeout("tcp", m.outbound(), time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(postDeadline))
	f.record.add("send", "POST /xapu221/%s request %s to node %d", id, id, m.number)
	if _, err := fmt.Fprintf(conn, "POST /xapu221/%s HTTP/1.1\r\nHost: %s\r\nTamarackquay-Request-Id: %s\r\nTamarackquay-Deadline-Ms: %d\r\nContent-Length: 4\r\n\r\nbody", id, host, id, postDeadline.Milliseconds()); err != nil {
		return "not sent"
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		f.record.add("answer", "request %s: none", id)
		return "none"
	}
	_, _ = io.Copy(io.Discard, response.Body)
	f.record.add("answer", "request %s: status %d", id, response.StatusCode)
	return fmt.Sprint(response.StatusCode)
}
