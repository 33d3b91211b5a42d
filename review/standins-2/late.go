package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the case. The store loses answers for 4.5 s, and of the writes in that time one in nine:
// the pages name 4.5 s and a share of 0.35. The write whose answer is lost is done 6 s later; the pages
// name 1 to 6 s.
const (
	lostTime     = 4500 * time.Millisecond
	lateBy       = 6 * time.Second
	lateWork     = 290 * time.Millisecond
	lateEvery    = 60 * time.Millisecond
	lateDeadline = 3 * time.Second
	// leaveAfterLost is when the upstream leaves, after the end of the disturbance: the store is
	// stable again.
	leaveAfterLost = stabilityWindow + 50*time.Millisecond
	// servesOn is how long the upstream serves after its entry was removed.
	servesOn = 6 * time.Second
)

// playLateWrite lets an upstream leave that never reports draining: its entry is removed, and it serves
// on for a while. With the disturbance, the store does an earlier write of its entry after that.
func playLateWrite(f *fleet, trouble bool) (bool, error) {
	if err := f.publish([]route{
		{"r-cert", "/xapu221/", "unsafe", "certdesk", 1500 * time.Millisecond, 800 * time.Millisecond},
		{"r-log", "/lepu270/", "safe", "logbook", 1500 * time.Millisecond, 800 * time.Millisecond},
	}, []string{"certdesk", "logbook"}); err != nil {
		return false, err
	}
	// The machine of the second service stands in the zone of the upstream that leaves.
	places := []place{{"alm-a", "certdesk"}, {"ast-a", "certdesk"}, {"kar-a", "certdesk"}, {"kar-a", "logbook"}}
	work := func(*upstream, *http.Request) time.Duration { return lateWork }
	if err := f.start(places, work); err != nil {
		return false, err
	}
	clients := &lateClients{fleet: f, stop: make(chan struct{})}
	for _, m := range []*machine{f.machines[0], f.machines[3]} {
		clients.running.Go(func() { clients.run(m) })
	}
	leaving := f.machines[2].upstream
	removedAt := playDeparture(f, leaving, trouble)
	time.Sleep(servesOn)
	f.record.add("exit", "upstream %s ends", leaving.id)
	_ = leaving.server.Close()
	time.Sleep(3 * time.Second)
	close(clients.stop)
	clients.running.Wait()
	return clients.judge(leaving, removedAt)
}

// playDeparture plays the disturbance and the departure. It returns when the store confirmed the
// removal of the entry.
func playDeparture(f *fleet, leaving *upstream, trouble bool) time.Duration {
	// The third write after this one falls at the end of the disturbance.
	written := make(chan struct{}, 1)
	leaving.interceptWrites(func(value []byte) {
		leaving.put(value)
		select {
		case written <- struct{}{}:
		default:
		}
	})
	<-written
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	count := 0
	if trouble {
		f.record.add("store", "answers are lost from now on")
		leaving.interceptWrites(func(value []byte) {
			if count++; count != 3 {
				leaving.put(value)
				return
			}
			f.record.add("store", "the answer to a write of the entry of %s is lost; the write is done later", leaving.id)
			time.AfterFunc(lateBy, func() {
				leaving.put(value)
				f.record.add("store", "the late write of the entry of %s is done; it says ready", leaving.id)
			})
		})
	}
	time.Sleep(time.Until(began.Add(lostTime)))
	f.record.add("store", "no more answers are lost")
	time.Sleep(time.Until(began.Add(lostTime + leaveAfterLost)))
	leaving.stopReporting()
	f.store.Delete(leaving.key())
	return f.record.add("leave", "the entry of %s is removed, and the store confirms it", leaving.id)
}

// lateClients are the clients of the machines that stay.
type lateClients struct {
	fleet   *fleet
	stop    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	sent     int
	statuses map[string]int
}

func (c *lateClients) run(m *machine) {
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(lateEvery):
		}
		id := fmt.Sprintf("%02x%014x", m.number, i)
		c.running.Go(func() {
			status := c.fleet.post(m, id)
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.statuses == nil {
				c.statuses = map[string]int{}
			}
			c.sent++
			c.statuses[status]++
		})
	}
}

// post sends one request and returns the status of its answer.
func (f *fleet) post(m *machine, id string) string {
	conn, err := net.DialTimeout("tcp", m.outbound(), time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(lateDeadline))
	f.record.add("send", "POST /xapu221/%s request %s to node %d", id, id, m.number)
	if _, err := fmt.Fprintf(conn, "POST /xapu221/%s HTTP/1.1\r\nHost: %s\r\nTamarackquay-Request-Id: %s\r\nTamarackquay-Deadline-Ms: %d\r\nContent-Length: 4\r\n\r\nbody", id, host, id, lateDeadline.Milliseconds()); err != nil {
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

// judge counts the runs at the upstream that left, later than the bound after the confirmation.
func (c *lateClients) judge(leaving *upstream, removedAt time.Duration) (bool, error) {
	late, cut, last := 0, 0, time.Duration(0)
	for _, e := range c.fleet.record.snapshot() {
		var method, path, request, at string
		if e.kind == "run" && e.at > removedAt+drainBound {
			if _, err := fmt.Sscanf(e.text, "%s %s request %s at %s", &method, &path, &request, &at); err != nil {
				return false, err
			}
			if at == leaving.id+"," {
				late++
				last = e.at
			}
		}
		if e.kind == "drop" && e.at > removedAt+drainBound {
			cut++
		}
	}
	c.fleet.record.add("count", "%d requests sent, answers %v", c.sent, c.statuses)
	c.fleet.record.add("count", "%d runs at %s later than %s after the confirmation, the last one %.2f s after it; %d runs were cut off when it ended",
		late, leaving.id, drainBound, max(0, last-removedAt).Seconds(), cut)
	if c.statuses["200"] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return late > 0, nil
}
