package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// workFunc returns how long an upstream works on a request.
type workFunc func(u *upstream, r *http.Request) time.Duration

// upstream is a stand-in for an application upstream.
type upstream struct {
	fleet   *fleet
	machine *machine
	id      string
	work    workFunc
	born    int64

	mu       sync.Mutex
	running  int
	sequence int
}

func newUpstream(f *fleet, m *machine, id string, work workFunc) *upstream {
	return &upstream{fleet: f, machine: m, id: id, work: work, born: time.Now().UnixMilli()}
}

func (u *upstream) key() string { return "servers/" + u.id }

func (u *upstream) listen() error {
	listener, err := net.Listen("tcp", hostPort(u.machine.ip, portApp))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, u) }()
	return nil
}

// entry returns the next entry of the upstream, in the given state.
func (u *upstream) entry(state string) []byte {
	u.mu.Lock()
	u.sequence++
	sequence := u.sequence
	u.mu.Unlock()
	raw, err := json.Marshal(object{
		"Address": hostPort(u.machine.ip, portApp),
		"Info":    object{"Service": u.machine.service, "Version": "v1", "Zone": u.machine.zone, "Slots": slotsPerTarget},
		"Status":  object{"State": state, "Sequence": sequence, "ColdRemaining": "0ms"},
		"born":    u.born,
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// report writes the entry once per heartbeat.
func (u *upstream) report() {
	for {
		u.fleet.heartbeat(u.key(), u.entry("ready"))
		time.Sleep(heartbeat)
	}
}

// heartbeat writes an entry. The entry changes only when more than Sequence changes: the stand-ins change
// nothing else while they run, so that an existing entry only gets a longer lease.
func (f *fleet) heartbeat(key string, value []byte) {
	if !f.store.Renew(key, leaseTime) {
		f.store.Put(key, value, leaseTime)
	}
}

// ServeHTTP runs a request as the pages say, and records each arrival and each end.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Tamarackquay-Request-Id")
	header := w.Header()
	if r.URL.Path == "/health" {
		header.Set("Tamarackquay-Instance-Id", u.id)
		return
	}
	if expected := r.Header.Get("Tamarackquay-Expected-Instance"); expected != "" && expected != u.id {
		u.fleet.record.add("reject", "%s request %s at %s: 421", r.Method, id, u.id)
		header.Set("Tamarackquay-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		u.fleet.record.add("cut", "%s request %s at %s: its body broke off", r.Method, id, u.id)
		return
	}
	header.Set("Tamarackquay-Request-Id", id)
	u.mu.Lock()
	full := u.running >= slotsPerTarget
	if !full {
		u.running++
	}
	header.Set("Tamarackquay-Server-Load", fmt.Sprintf("%d,0,%d", u.running, slotsPerTarget))
	u.mu.Unlock()
	if full {
		header.Set("Tamarackquay-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	u.fleet.record.add("run", "%s %s request %s at %s, caller service %s", r.Method, r.URL.Path, id, u.id, r.Header.Get("Tamarackquay-Caller-Service"))
	select {
	case <-time.After(u.work(u, r)):
	case <-r.Context().Done():
		u.fleet.record.add("drop", "request %s at %s: its connection closed", id, u.id)
		return
	}
	body := []byte("done " + id)
	header.Set("Tamarackquay-Server-Signature", u.id+"."+id)
	header.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
	u.fleet.record.add("ran", "request %s at %s: 200", id, u.id)
}
