package process

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/standin/usertarget"
)

// cuttingTarget breaks off each response after as many bytes as the request's query asks for.
type cuttingTarget struct {
	id string
	// reached holds the ids of the requests that the target has got.
	reached sync.Map
}

func (c *cuttingTarget) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go c.serveConn(conn.(*net.TCPConn))
	}
}

func (c *cuttingTarget) serveConn(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(usertarget.HeaderRequestID)
	c.reached.Store(id, true)
	response := c.response(r.URL.Query().Get("form"), id)
	cut, err := strconv.Atoi(r.URL.Query().Get("cut"))
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, response[:min(cut, len(response))])
	if r.URL.Query().Get("end") == "reset" {
		_ = conn.SetLinger(0)
	}
}

// response returns a complete response in one of responseForms.
func (c *cuttingTarget) response(form, id string) string {
	head := fmt.Sprintf("%s: %s\r\n%s: %s\r\n", usertarget.HeaderRequestID, id, usertarget.HeaderSignature, usertarget.Signature(c.id, id))
	switch form {
	case "length":
		return "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 12\r\n\r\nwhole answer"
	case "chunks":
		return "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n"
	case "empty":
		return "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n"
	case "refused":
		return "HTTP/1.1 503 Service Unavailable\r\n" + head + usertarget.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	panic(form)
}

var responseForms = []string{"length", "chunks", "empty", "refused"}

// Guards against a response that looks complete, or promises something, although its target broke it
// off, in its header or in its body.
func TestCutResponseIsNeverComplete(t *testing.T) {
	t.Parallel()
	f := newEmptySidecarFleet(t)
	var targets []*cuttingTarget
	for i := range 2 {
		vm := f.addVM()
		listener, err := net.Listen("tcp", vm.address(portTarget))
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		target := &cuttingTarget{id: fmt.Sprint("i-", i)}
		targets = append(targets, target)
		go target.serve(listener)
		f.store.Put(usertarget.Key(target.id), (&sidecarTarget{vm: vm, id: target.id}).entry("ready", time.Now()), 0)
		vm.startNode()
	}
	for _, vm := range f.vms {
		vm.waitReady()
	}
	var running sync.WaitGroup
	var sent, reached atomic.Int64
	for _, vm := range f.vms {
		for _, form := range responseForms {
			for _, end := range []string{"close", "reset"} {
				running.Go(func() {
					size := len(targets[0].response(form, strings.Repeat("0", 16)))
					for cut := range size {
						sent.Add(1)
						if f.checkCut(vm, targets, form, end, cut) {
							reached.Add(1)
						}
					}
				})
			}
		}
	}
	running.Wait()
	assert.Check(t, reached.Load() > sent.Load()/2, "%d of %d requests reached a target", reached.Load(), sent.Load())
	for _, vm := range f.vms {
		response := vm.call(t, http.MethodPost, "/once/x?form=length&cut=1000", "")
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
}

// checkCut sends a request whose response is cut, and checks what its caller gets. It reports whether
// the request has reached a target.
func (f *sidecarFleet) checkCut(vm *sidecarVM, targets []*cuttingTarget, form, end string, cut int) (reached bool) {
	request := vm.newRequest(http.MethodPost, fmt.Sprintf("/once/%s/%s?form=%s&end=%s&cut=%d", form, end, form, end, cut), strings.NewReader("certificate"))
	status := f.statusOf(request)
	for _, target := range targets {
		_, ok := target.reached.Load(request.Header.Get(usertarget.HeaderRequestID))
		reached = reached || ok
	}
	sound := status == 0 || status == http.StatusBadGateway || callhttp.PromisesNotRun(status) && !reached
	assert.Check(f.t, sound, "%s, %s after %d bytes: answered %d", form, end, cut, status)
	return reached
}

// statusOf returns the status of a complete response, or 0 if the caller gets none.
func (f *sidecarFleet) statusOf(request *http.Request) int {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
