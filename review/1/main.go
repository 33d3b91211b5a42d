// Command 1 sends uploads to a target that answers before it has read them, and checks the bytes
// that the target then reads.
package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"tamarackquay/review/harness"
)

const (
	uploads = 12
	// uploadBytes is the length of a request's body, and answerBytes that of an answer: the
	// longest answer of the sheet of the site.
	uploadBytes = 240_000
	answerBytes = 1_700_000
	// uploadRate is how fast a client sends, in bytes a second: 64 KB in each round trip of 16 ms.
	uploadRate = 4_000_000
	uploadPart = 8_000
)

// content returns the bytes of a body that belongs to a request.
func content(id, purpose string, length int) []byte {
	b := make([]byte, 0, length+sha256.Size)
	for i := 0; len(b) < length; i++ {
		sum := sha256.Sum256([]byte(id + purpose + strconv.Itoa(i)))
		b = append(b, sum[:]...)
	}
	return b[:length]
}

// target is a target that reads each upload after its answer if early is set, and before it
// otherwise.
type target struct {
	record   *harness.Record
	instance string
	early    bool

	mu     sync.Mutex
	ran    int
	broken int
	runs   map[string]int
}

func (t *target) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
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
		id := r.Header.Get(harness.HeaderRequestID)
		switch {
		case r.URL.Path == "/health":
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0,0,12\r\nContent-Length: 0\r\n\r\n", harness.HeaderInstance, t.instance, harness.HeaderLoad)
		case r.Header.Get(harness.HeaderExpected) != t.instance:
			_, _ = io.Copy(io.Discard, r.Body)
			_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", harness.HeaderRequestID, id, harness.HeaderNotExecuted)
		default:
			err = t.run(conn, r, id)
		}
		if err != nil {
			return
		}
	}
}

// run runs an upload. The connection is kept, as the answer announces.
func (t *target) run(conn net.Conn, r *http.Request, id string) error {
	t.mu.Lock()
	t.ran++
	t.runs[id]++
	t.mu.Unlock()
	if !t.early {
		t.check(id, r)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: 1,0,12\r\nContent-Length: %d\r\n\r\n",
		harness.HeaderRequestID, id, harness.HeaderSignature, harness.Signature(t.instance, id), harness.HeaderLoad, answerBytes)
	if err == nil {
		_, err = conn.Write(content(id, "answer", answerBytes))
	}
	if t.early {
		t.check(id, r)
	}
	return err
}

// check reads the body and compares it with what the client sends. A body that ends early, with
// its connection, is not counted: only other bytes are.
func (t *target) check(id string, r *http.Request) {
	got, err := io.ReadAll(r.Body)
	want := content(id, "upload", uploadBytes)
	same := 0
	for same < len(got) && same < len(want) && got[same] == want[same] {
		same++
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if same == len(got) {
		t.record.Printf("target: request %s: read %d of %d bytes, all as sent (end: %v)", id, len(got), uploadBytes, err)
		return
	}
	t.broken++
	at := bytes.Index(want, got[same:min(same+64, len(got))])
	t.record.Printf("target: request %s: read %d of %d bytes; from byte %d on they are other bytes: those that the client sent from byte %d on (end: %v)",
		id, len(got), uploadBytes, same, at, err)
}

// upload sends one upload over a connection of its own and reads the answer meanwhile.
func upload(address, id string) (string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /submit/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 4000\r\nContent-Length: %d\r\n\r\n",
		id, harness.Host, harness.HeaderRequestID, id, harness.HeaderDeadline, uploadBytes)
	if err != nil {
		return "", err
	}
	sent := make(chan error, 1)
	go func() {
		body := content(id, "upload", uploadBytes)
		for len(body) > 0 {
			n := min(uploadPart, len(body))
			if _, err := conn.Write(body[:n]); err != nil {
				sent <- err
				return
			}
			body = body[n:]
			time.Sleep(time.Duration(n) * time.Second / uploadRate)
		}
		sent <- nil
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	answer, err := io.ReadAll(response.Body)
	whole := bytes.Equal(answer, content(id, "answer", answerBytes))
	return fmt.Sprintf("status %d, signature %q, %d bytes, whole: %v, error: %v; upload: %v",
		response.StatusCode, response.Header.Get(harness.HeaderSignature), len(answer), whole, err, <-sent), nil
}

func run() int {
	record, err := harness.NewRecord("review/1/record.txt")
	if err != nil {
		return harness.Fail(err)
	}
	defer record.Close()
	fleet, err := harness.NewFleet(record, harness.Bounds{ConfigApply: "2500ms", Drain: "2500ms", Grace: "6s"}, map[string]string{"alm-a": "almaty"})
	if err != nil {
		return harness.Fail(err)
	}
	defer fleet.Close()
	fleet.MemoryMb = 134
	front, err := fleet.AddVM("sidecar-alm-a-1", "alm-a", "logbook")
	if err != nil {
		return harness.Fail(err)
	}
	back, err := fleet.AddVM("sidecar-alm-a-2", "alm-a", "certdesk")
	if err != nil {
		return harness.Fail(err)
	}
	t := &target{record: record, instance: "i-" + harness.NewID(), early: harness.Trouble(), runs: map[string]int{}}
	listener, err := net.Listen("tcp", back.TargetAddress())
	if err != nil {
		return harness.Fail(err)
	}
	defer listener.Close()
	go t.serve(listener)
	fleet.Entry(back, t.instance, "ready", time.Now())
	fleet.Publish(1, []harness.Route{{Name: "submit", Prefix: "/submit/", Kind: "unsafe", Service: "certdesk", Timeout: "2000ms", MaxAttempts: 2}}, "logbook", "certdesk")
	for _, vm := range []*harness.VM{front, back} {
		if err := vm.Start(); err != nil {
			return harness.Fail(err)
		}
	}
	if err := fleet.AwaitReady(); err != nil {
		return harness.Fail(err)
	}
	time.Sleep(2 * time.Second)
	record.Printf("the nodes are ready; the target answers before it reads: %v", t.early)
	served := 0
	for range uploads {
		id := harness.NewID()
		record.Printf("client: request %s: sends %d bytes", id, uploadBytes)
		result, err := upload(front.CallerAddress(), id)
		if err != nil {
			record.Printf("client: request %s: no answer: %v", id, err)
			continue
		}
		served++
		record.Printf("client: request %s: %s", id, result)
	}
	time.Sleep(time.Second)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ran < uploads/2 {
		return harness.Fail(fmt.Errorf("only %d of %d uploads reached the target", t.ran, uploads))
	}
	return harness.Finish(record, t.broken > 0, "%d uploads sent, %d run, %d answered; the target read other bytes than were sent in %d", uploads, t.ran, served, t.broken)
}

func main() { os.Exit(run()) }
