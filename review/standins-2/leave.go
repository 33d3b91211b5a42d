package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case. Of the clients, three in ten leave, 300 ms after they have sent their request:
// the pages name a share of 0.3 that leaves within half of the objective of 800 ms.
const (
	leaveRequests = 60
	leaveEvery    = 10
	leaveCount    = 3
	leaveAfter    = 300 * time.Millisecond
	leaveWork     = 600 * time.Millisecond
	leaveWait     = 3 * time.Second
)

// playLeave lets clients leave while an upstream works on their request. A client leaves by closing
// its side of the connection, and reads what the node still sends until the node closes its side.
func playLeave(f *fleet, trouble bool) (bool, error) {
	if err := f.publish([]route{
		{"r-cert", "/xapu221/", "unsafe", "certdesk", 1500 * time.Millisecond, 800 * time.Millisecond},
	}, []string{"certdesk"}); err != nil {
		return false, err
	}
	places := []place{{"alm-a", "certdesk"}, {"ast-a", "certdesk"}, {"kar-a", "certdesk"}}
	work := func(*upstream, *http.Request) time.Duration { return leaveWork }
	if err := f.start(places, work); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	broken, answered := 0, 0
	for i := range leaveRequests {
		m := f.machines[i%len(f.machines)]
		leaves := trouble && i%leaveEvery < leaveCount
		clients.Go(func() {
			status, signed, err := f.ask(m, fmt.Sprintf("%016x", 0x9c41000+i), leaves)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				answered++
			}
			if err == nil && status/100 == 2 && !signed {
				broken++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	f.record.add("count", "%d requests, %d answers, %d successes without the upstream's signature", leaveRequests, answered, broken)
	if !trouble && answered != leaveRequests {
		return false, fmt.Errorf("only %d of %d requests were answered", answered, leaveRequests)
	}
	return broken > 0, nil
}

// ask sends one request on a new connection and reads its answer.
func (f *fleet) ask(m *machine, id string, leaves bool) (status int, signed bool, err error) {
	conn, err := net.DialTimeout("tcp", m.outbound(), time.Second)
	if err != nil {
		return 0, false, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(leaveWait))
	body := "certificate " + id
	f.record.add("send", "POST /xapu221/%s request %s to node %d", id, id, m.number)
	_, err = fmt.Fprintf(conn, "POST /xapu221/%s HTTP/1.1\r\nHost: %s\r\nTamarackquay-Request-Id: %s\r\nTamarackquay-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", id, host, id, len(body), body)
	if err != nil {
		return 0, false, err
	}
	if leaves {
		time.Sleep(leaveAfter)
		f.record.add("leave", "the client of request %s closes its side of the connection", id)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return 0, false, err
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		f.record.add("answer", "request %s: none (%s)", id, strings.ReplaceAll(err.Error(), conn.LocalAddr().String(), "client"))
		return 0, false, err
	}
	raw, err := io.ReadAll(response.Body)
	signature := response.Header.Get("Tamarackquay-Server-Signature")
	f.record.add("answer", "request %s: status %d, signature %q, body %q, %v", id, response.StatusCode, signature, raw, err)
	return response.StatusCode, signature != "", nil
}
