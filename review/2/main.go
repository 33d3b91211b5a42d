// Command 2 removes the entry of a target while the node that the target's own node follows
// restarts, and checks when the target gets its last request.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"tamarackquay/review/harness"
)

const (
	// drain is the bound of the settings. The target serves on for that time and some seconds
	// more, and then ends.
	drain     = 2500 * time.Millisecond
	afterTime = 6 * time.Second
	// restartDelay is the time from the end of a node's process to its next start.
	restartDelay = 400 * time.Millisecond
	// removalDelay is the time from the kill to the removal of the entry.
	removalDelay = 200 * time.Millisecond
	// callInterval is the time between two requests of the clients on the VM.
	callInterval = 50 * time.Millisecond
	work         = 400 * time.Millisecond
)

// target is a target that records when requests arrive.
type target struct {
	instance string
	listener net.Listener

	mu       sync.Mutex
	arrivals []arrival
	conns    map[net.Conn]bool
	ended    bool
}

type arrival struct {
	id string
	at time.Time
}

func (t *target) serve() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.mu.Unlock()
		go t.serveConn(conn)
	}
}

func (t *target) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(harness.HeaderRequestID)
		switch {
		case r.URL.Path == "/health":
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", harness.HeaderInstance, t.instance)
		case r.Header.Get(harness.HeaderExpected) != t.instance:
			_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", harness.HeaderRequestID, id, harness.HeaderNotExecuted)
		default:
			t.mu.Lock()
			t.arrivals = append(t.arrivals, arrival{id, time.Now()})
			t.mu.Unlock()
			time.Sleep(work)
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok",
				harness.HeaderRequestID, id, harness.HeaderSignature, harness.Signature(t.instance, id))
		}
		if err != nil {
			return
		}
	}
}

// end ends the target as its process's exit does.
func (t *target) end() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	for conn := range t.conns {
		_ = conn.Close()
	}
}

// callers sends unsafe requests to a node until stop is closed.
type callers struct {
	address string
	stop    chan struct{}
	wait    sync.WaitGroup

	mu      sync.Mutex
	answers map[string]string
	sent    map[string]time.Time
}

func (c *callers) run() {
	client := &http.Client{Timeout: 4 * time.Second}
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			c.wait.Go(func() { c.call(client) })
		}
	}
}

func (c *callers) call(client *http.Client) {
	id := harness.NewID()
	r, err := http.NewRequest(http.MethodPost, "http://"+c.address+"/submit/"+id, nil)
	if err != nil {
		panic(err)
	}
	r.Host = harness.Host
	r.Header.Set(harness.HeaderRequestID, id)
	r.Header.Set(harness.HeaderDeadline, "4000")
	c.mu.Lock()
	c.sent[id] = time.Now()
	c.mu.Unlock()
	response, err := client.Do(r)
	result := ""
	if err != nil {
		result = err.Error()
	} else {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		result = response.Status + " " + response.Header.Get(harness.HeaderSignature)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[id] = result
}

func newTarget(vm *harness.VM) (*target, error) {
	listener, err := net.Listen("tcp", vm.TargetAddress())
	if err != nil {
		return nil, err
	}
	t := &target{instance: "i-" + harness.NewID(), listener: listener, conns: map[net.Conn]bool{}}
	go t.serve()
	return t, nil
}

func run() int {
	record, err := harness.NewRecord("review/2/record.txt")
	if err != nil {
		return harness.Fail(err)
	}
	defer record.Close()
	fleet, err := harness.NewFleet(record, harness.Bounds{ConfigApply: "2500ms", Drain: drain.String(), Grace: "6s"}, map[string]string{"lm-a": "lower-mainland"})
	if err != nil {
		return harness.Fail(err)
	}
	defer fleet.Close()
	var vms []*harness.VM
	var targets []*target
	for i := range 2 {
		vm, err := fleet.AddVM(fmt.Sprintf("sidecar-lm-a-%d", i+1), "lm-a", "returns")
		if err != nil {
			return harness.Fail(err)
		}
		t, err := newTarget(vm)
		if err != nil {
			return harness.Fail(err)
		}
		fleet.Entry(vm, t.instance, "ready", time.Now())
		vms, targets = append(vms, vm), append(targets, t)
	}
	routes := []harness.Route{{Name: "submit", Prefix: "/submit/", Kind: "unsafe", Service: "returns", Timeout: "2000ms", MaxAttempts: 2}}
	fleet.Publish(1, routes, "returns")
	for _, vm := range vms {
		if err := vm.Start(); err != nil {
			return harness.Fail(err)
		}
	}
	if err := fleet.AwaitReady(); err != nil {
		return harness.Fail(err)
	}
	// One of the nodes reads the store, the other one follows it.
	time.Sleep(3 * time.Second)
	before := []int64{vms[0].StoreReads(), vms[1].StoreReads()}
	time.Sleep(4 * time.Second)
	reader, follower := 0, 1
	if vms[1].StoreReads()-before[1] > vms[0].StoreReads()-before[0] {
		reader, follower = 1, 0
	}
	record.Printf("%s reads the store (%d calls in 4 s), %s follows it (%d calls)", vms[reader].Name, vms[reader].StoreReads()-before[reader],
		vms[follower].Name, vms[follower].StoreReads()-before[follower])
	leaving := targets[follower]
	c := &callers{address: vms[follower].CallerAddress(), stop: make(chan struct{}), answers: map[string]string{}, sent: map[string]time.Time{}}
	go c.run()
	time.Sleep(time.Second)
	fleet.Publish(2, append(routes, harness.Route{Name: "more", Prefix: "/more/", Kind: "safe", Service: "returns", Timeout: "2000ms", MaxAttempts: 2}), "returns")
	record.Printf("the store confirms version 2")
	time.Sleep(30 * time.Millisecond)
	if harness.Trouble() {
		vms[reader].Signal(syscall.SIGKILL)
		vms[reader].Kill()
		record.Printf("%s is killed", vms[reader].Name)
	}
	time.Sleep(removalDelay)
	fleet.RemoveEntry(leaving.instance)
	removed := time.Now()
	record.Printf("the store confirms that target %s of %s is gone; it serves on", leaving.instance, vms[follower].Name)
	time.Sleep(restartDelay - removalDelay)
	if harness.Trouble() {
		if err := vms[reader].Start(); err != nil {
			return harness.Fail(err)
		}
		record.Printf("%s is started again", vms[reader].Name)
	}
	time.Sleep(time.Until(removed.Add(drain + afterTime)))
	leaving.end()
	ended := time.Now()
	record.Printf("target %s ends", leaving.instance)
	vms[follower].Signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	close(c.stop)
	c.wait.Wait()
	return judge(record, leaving, c, removed, ended)
}

// judge counts the requests that reached the target later than the bound, and those of them that
// its end broke off.
func judge(record *harness.Record, leaving *target, c *callers, removed, ended time.Time) int {
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	inTime, late, lost := 0, 0, 0
	var last time.Duration
	for _, a := range leaving.arrivals {
		after := a.at.Sub(removed)
		if after > 0 {
			record.Printf("request %s reached the target %.3f s after its removal and got: %s", a.id, after.Seconds(), c.answers[a.id])
			last = after
		}
		if after <= drain {
			inTime++
			continue
		}
		late++
		if a.at.Add(work).After(ended) {
			lost++
		}
	}
	if len(leaving.arrivals) < 10 {
		return harness.Fail(fmt.Errorf("only %d requests reached the target", len(leaving.arrivals)))
	}
	return harness.Finish(record, late > 0, "%d requests sent; the target got %d until Drain (%s) after its removal and %d later, the last %.1f s after it; its end broke off %d of these",
		len(c.sent), inTime, drain, late, last.Seconds(), lost)
}

func main() { os.Exit(run()) }
