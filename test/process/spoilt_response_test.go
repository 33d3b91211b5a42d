package process

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/standin/usertarget"
)

// rawTarget is a target that responds with bytes of its own. respond gets each request after its head
// has been read; the connection is closed after it.
type rawTarget struct {
	id      string
	respond func(conn *net.TCPConn, r *http.Request, head string)
}

func (c *rawTarget) serve(t *testing.T, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serveConn(conn.(*net.TCPConn))
		}
	}()
}

func (c *rawTarget) serveConn(conn *net.TCPConn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if r.URL.Path == "/health" {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return
	}
	id := r.Header.Get(usertarget.HeaderRequestID)
	c.respond(conn, r, fmt.Sprintf("%s: %s\r\n%s: %s\r\n", usertarget.HeaderRequestID, id, usertarget.HeaderSignature, usertarget.Signature(c.id, id)))
}

// newRawTargetFleet starts two nodes and one target beside the first of them.
func newRawTargetFleet(t *testing.T, respond func(conn *net.TCPConn, r *http.Request, head string)) *sidecarFleet {
	t.Helper()
	f := newEmptySidecarFleet(t)
	for range 2 {
		f.addVM()
	}
	first := f.vms[0]
	target := &rawTarget{id: "i-0", respond: respond}
	target.serve(t, first.address(portTarget))
	f.store.Put(usertarget.Key(target.id), (&sidecarTarget{vm: first, id: target.id}).entry("ready", time.Now()), 0)
	for _, vm := range f.vms {
		vm.startNode()
	}
	for _, vm := range f.vms {
		vm.waitReady()
	}
	return f
}

// newRawNodeFleet starts a node and, on another VM, the raw target in the place of a node.
func newRawNodeFleet(t *testing.T, respond func(conn *net.TCPConn, r *http.Request, head string)) *sidecarFleet {
	t.Helper()
	f := newEmptySidecarFleet(t)
	entry, owner := f.addVM(), f.addVM()
	node := &rawTarget{id: "i-0", respond: respond}
	node.serve(t, owner.address(portPeers))
	f.store.Put(usertarget.Key(node.id), (&sidecarTarget{vm: owner, id: node.id}).entry("ready", time.Now()), 0)
	entry.startNode()
	entry.waitReady()
	return f
}

// uploadBytes is more than the buffers of a connection hold, so that the upload is being written when
// the target responds.
const uploadBytes = 600_000

// Guards against a part of a response that looks complete: a target responds at once to a long upload,
// without a length, and resets the connection after a part of the body.
func TestResponseResetDuringUploadIsNotComplete(t *testing.T) {
	t.Parallel()
	f := newRawTargetFleet(t, respondPart)
	f.assertNoPartIsComplete(t, f.vms)
}

// Guards against the same of a response that another node sends.
func TestResponseOfNodeResetDuringUploadIsNotComplete(t *testing.T) {
	t.Parallel()
	f := newRawNodeFleet(t, respondPart)
	f.assertNoPartIsComplete(t, f.vms[:1])
}

// respondPart sends a response without a length, and resets the connection after a part of its body.
func respondPart(conn *net.TCPConn, r *http.Request, head string) {
	const partBytes = 5000
	version := r.URL.Query().Get("version")
	_, _ = io.WriteString(conn, "HTTP/"+version+" 200 OK\r\n"+head+"Connection: close\r\n\r\n"+strings.Repeat("b", partBytes))
	_ = conn.SetLinger(0)
}

// assertNoPartIsComplete sends uploads to nodes and checks that no response looks complete.
func (f *sidecarFleet) assertNoPartIsComplete(t *testing.T, entries []*sidecarVM) {
	t.Helper()
	const tries = 12
	upload := bytes.Repeat([]byte("u"), uploadBytes)
	for _, vm := range entries {
		for _, version := range []string{"1.0", "1.1"} {
			for _, path := range []string{"/once/x", "/x"} {
				complete := 0
				for range tries {
					status := f.statusOf(vm.newRequest(http.MethodPost, path+"?version="+version, bytes.NewReader(upload)))
					if status == http.StatusOK {
						complete++
					}
				}
				assert.Check(t, complete == 0, "%s, HTTP/%s, %s: %d of %d responses look complete", vm.name, version, path, complete, tries)
			}
		}
	}
}

// spoiltHeads are responses whose head is invalid. %s stands for the fields of a sound one.
var spoiltHeads = []struct{ desc, response string }{
	{"status 000", "HTTP/1.1 000 OK\r\n%sContent-Length: 2\r\n\r\nok"},
	{"status 099", "HTTP/1.1 099 OK\r\n%sContent-Length: 2\r\n\r\nok"},
	{"signed status", "HTTP/1.1 +20 OK\r\n%sContent-Length: 2\r\n\r\nok"},
	{"status 600", "HTTP/1.1 600 OK\r\n%sContent-Length: 2\r\n\r\nok"},
	{"status 999", "HTTP/1.1 999 OK\r\n%sContent-Length: 2\r\n\r\nok"},
	{"two digits", "HTTP/1.1 20 OK\r\n%sContent-Length: 2\r\n\r\nok"},
	{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n%sContent-Length: 2\r\n\r\nok"},
	{"another major version", "HTTP/2.0 200 OK\r\n%sContent-Length: 2\r\n\r\nok"},
	{"blank in a name", "HTTP/1.1 200 OK\r\n%sX Y: z\r\nContent-Length: 2\r\n\r\nok"},
	{"blank before the colon", "HTTP/1.1 200 OK\r\n%sX-Y : z\r\nContent-Length: 2\r\n\r\nok"},
	{"blank before the colon of the length", "HTTP/1.1 200 OK\r\n%sContent-Length : 2\r\n\r\nokok"},
	{"blank before the colon of the coding", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\nok"},
	{"tab in a name", "HTTP/1.1 200 OK\r\n%sX\tY: z\r\nContent-Length: 2\r\n\r\nok"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\n%sX\x01Y: z\r\nContent-Length: 2\r\n\r\nok"},
	{"DEL in a name", "HTTP/1.1 200 OK\r\n%sX\x7fY: z\r\nContent-Length: 2\r\n\r\nok"},
	{"no name", "HTTP/1.1 200 OK\r\n%s: z\r\nContent-Length: 2\r\n\r\nok"},
	{"NUL in a value", "HTTP/1.1 200 OK\r\n%sX-Y: a\x00b\r\nContent-Length: 2\r\n\r\nok"},
	{"carriage return in a value", "HTTP/1.1 200 OK\r\n%sX-Y: a\rb\r\nContent-Length: 2\r\n\r\nok"},
	{"coding of HTTP/1.0", "HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"coding of HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nok"},
	{"change of protocol that nobody asked for", "HTTP/1.1 101 Switching Protocols\r\n%sConnection: Upgrade\r\nUpgrade: x\r\n\r\n"},
	{"two lengths", "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nContent-Length: 4\r\n\r\nokok"},
	{"coding that is unknown", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"coding without an end", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: identity\r\nContent-Length: 2\r\n\r\nok"},
	{"length that is no number", "HTTP/1.1 200 OK\r\n%sContent-Length: +2\r\n\r\nok"},
	{"blank in a name of an interim response", "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok"},
	{"blank in a name, chunks", "HTTP/1.1 200 OK\r\n%sX Y: z\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"blank in a name of a large response", "HTTP/1.1 200 OK\r\n%sX Y: z\r\nContent-Length: 3000000\r\n\r\n" + strings.Repeat("b", 3_000_000)},
}

// Guards against a response that isn't valid HTTP and yet reaches a caller as a response, through the
// node beside the target and through another.
func TestSpoiltHeadIsNoResponse(t *testing.T) {
	t.Parallel()
	f := newRawTargetFleet(t, func(conn *net.TCPConn, r *http.Request, head string) {
		var index int
		_, _ = fmt.Sscan(r.URL.Query().Get("spoilt"), &index)
		_, _ = fmt.Fprintf(conn, spoiltHeads[index].response, head)
	})
	for index, spoilt := range spoiltHeads {
		for _, vm := range f.vms {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				path := map[string]string{http.MethodGet: "/x", http.MethodPost: "/once/x"}[method]
				status := f.statusOf(vm.newRequest(method, fmt.Sprintf("%s?spoilt=%d", path, index), nil))
				assert.Check(t, status == http.StatusBadGateway, "%s, %s %s: answered %d", spoilt.desc, vm.name, method, status)
			}
		}
	}
}

// Guards against the same of a response that another node sends.
func TestSpoiltHeadOfNodeIsNoResponse(t *testing.T) {
	t.Parallel()
	f := newRawNodeFleet(t, func(conn *net.TCPConn, r *http.Request, head string) {
		response := "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok"
		var index int
		if _, err := fmt.Sscan(r.URL.Query().Get("spoilt"), &index); err == nil {
			response = spoiltHeads[index].response
		}
		_, _ = fmt.Fprintf(conn, response, head)
	})
	entry := f.vms[0]
	entry.awaitServed(t)
	for index, spoilt := range spoiltHeads {
		for _, path := range []string{"/x", "/once/x"} {
			status := f.statusOf(entry.newRequest(http.MethodPost, fmt.Sprintf("%s?spoilt=%d", path, index), nil))
			assert.Check(t, status == http.StatusBadGateway, "%s, %s: answered %d", spoilt.desc, path, status)
		}
	}
}

// Guards against the same on the path by contracts, where an answer of an unknown outcome is 502.
func TestSpoiltHeadIsNoResponseOfContracts(t *testing.T) {
	f := newIdleFleet(t, spec{"a-tally", "a-1", "a", "tally"}, spec{"b-returns", "b-1", "b", "returns"})
	target := &rawTarget{id: "a-tally", respond: func(conn *net.TCPConn, r *http.Request, _ string) {
		var index int
		_, _ = fmt.Sscan(r.URL.Query().Get("spoilt"), &index)
		head := callhttp.HeaderRequestID + ": " + r.Header.Get(callhttp.HeaderRequestID) + "\r\n"
		_, _ = fmt.Fprintf(conn, spoiltHeads[index].response, head)
	}}
	target.serve(t, f.nodes["a-tally"].target)
	for _, id := range f.order {
		f.startNode(id)
	}
	f.publish(testContracts("5s"))
	f.waitVersion()
	f.waitMembers("b-returns", 2)
	for index, spoilt := range spoiltHeads {
		for _, entry := range f.order {
			got := f.call(entry, http.MethodGet, fmt.Sprintf("/tallies/x?spoilt=%d", index), "")
			assert.Check(t, got.status == http.StatusBadGateway, "%s, %s: answered %d, %v", spoilt.desc, entry, got.status, got.err)
		}
	}
}

// Guards against a part of a response that looks complete to a caller that knows no chunks: the end of
// its connection is the end of the response.
func TestBrokenResponseIsNotCompleteForHTTP10(t *testing.T) {
	t.Parallel()
	const announced, sent = 3_000_000, 2_000_000
	f := newRawTargetFleet(t, func(conn *net.TCPConn, r *http.Request, head string) {
		if r.URL.Query().Get("length") != "" {
			head += fmt.Sprintf("Content-Length: %d\r\n\r\n", announced)
		} else {
			head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", announced)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+strings.Repeat("b", sent))
	})
	for _, vm := range f.vms {
		for _, query := range []string{"", "?length=1"} {
			request := vm.newRequest(http.MethodGet, "/x"+query, nil)
			conn, err := net.Dial("tcp", vm.address(portCallers))
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET /x%s HTTP/1.0\r\nHost: %s\r\n%s: %s\r\n\r\n", query, request.Host,
				usertarget.HeaderRequestID, request.Header.Get(usertarget.HeaderRequestID))
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), request)
			assert.NilError(t, err)
			if response.StatusCode != http.StatusOK {
				continue
			}
			size, err := io.Copy(io.Discard, response.Body)
			assert.Check(t, err != nil, "%s%s: %d bytes look complete", vm.name, query, size)
		}
	}
}
