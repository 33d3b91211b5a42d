package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rawExchange is what came back for bytes that were written to a node's listener for callers.
type rawExchange struct {
	statuses []int
	headers  []http.Header
	// closed is true if the node ended the connection.
	closed bool
}

// keptOpen is for how long a connection that the node must not end is read on.
const keptOpen = 200 * time.Millisecond

// sendRaw writes bytes to an address and reads that number of responses, and all that follow.
func sendRaw(t *testing.T, address, method, text string, responses int, closed bool) rawExchange {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	var got rawExchange
	for {
		wait := 10 * time.Second
		if len(got.statuses) >= responses && !closed {
			wait = keptOpen
		}
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
		if _, err := reader.Peek(1); err != nil {
			timeout, ok := err.(net.Error)
			got.closed = !ok || !timeout.Timeout()
			return got
		}
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		got.statuses = append(got.statuses, response.StatusCode)
		got.headers = append(got.headers, response.Header)
	}
}

// runLog records the requests that targets run.
type runLog struct {
	mu   sync.Mutex
	runs []string
}

func (l *runLog) add(run string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
}

// logRuns makes all targets record their requests with ids and bodies.
func (f *fleet) logRuns() *runLog {
	runs := &runLog{}
	for _, target := range f.targets {
		target.serve = func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			runs.add(fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Header.Get(headers.RequestID), " ", string(body)))
			w.Header().Set(headers.Signature, "proof")
			_, _ = io.WriteString(w, "ran")
		}
	}
	return runs
}

// eachHop runs a test with a target on the entry node's VM and with one on another VM.
func eachHop(t *testing.T, run func(t *testing.T, f *fleet)) {
	t.Run("own target", func(t *testing.T) {
		f := newFleet(t, 1)
		f.setTimeouts(time.Minute)
		run(t, f)
	})
	t.Run("target of another node", func(t *testing.T) {
		f := newFleet(t, 2)
		f.setTimeouts(time.Minute)
		f.proxies[0].stats["t0"].RecordFailure(time.Now())
		run(t, f)
	})
}

// rawForm is a form of requests, the statuses that answer them and what targets run of them.
type rawForm struct {
	desc, text string
	statuses   []int
	runs       []string
	closed     bool
}

// rawRequest returns the header of a request of HTTP/1.1 with an id.
func rawRequest(method, target, id string, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\n%s\r\n", method, target, id, strings.Join(fields, ""))
}

func checkRaw(t *testing.T, forms []rawForm) {
	eachHop(t, func(t *testing.T, f *fleet) {
		address := f.callerAddress(t, 0)
		for _, form := range forms {
			t.Run(form.desc, func(t *testing.T) {
				runs := f.logRuns()
				method, _, _ := strings.Cut(form.text, " ")
				got := sendRaw(t, address, method, form.text, len(form.statuses), form.closed)
				assert.DeepEqual(t, got.statuses, form.statuses)
				assert.DeepEqual(t, runs.runs, form.runs)
				assert.Equal(t, got.closed, form.closed)
			})
		}
	})
}

const (
	coded    = "Transfer-Encoding: chunked\r\n"
	smuggled = "POST /once/smuggled HTTP/1.1\r\nHost: h\r\nX-Id: s\r\nContent-Length: 0\r\n\r\n"
)

// Guards against a request of which two receivers may see the end at different places, and against a body
// that is read as a further request.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	old := func(fields string) string {
		return "POST /once/x HTTP/1.0\r\nHost: h\r\nX-Id: a\r\n" + fields + "\r\n"
	}
	refused := []int{http.StatusBadRequest}
	checkRaw(t, []rawForm{
		{"HTTP/1.0, coded", old(coded) + "4\r\nbody\r\n0\r\n\r\n", refused, nil, true},
		{"HTTP/1.0, coded and kept alive", old("Connection: keep-alive\r\n"+coded) + smuggled, refused, nil, true},
		{"HTTP/1.0 with a length", old("Connection: keep-alive\r\nContent-Length: 4\r\n") + "body", []int{200}, []string{"POST /once/x a body"}, false},
		{"coded with a length", rawRequest("POST", "/once/x", "a", coded, "Content-Length: 4\r\n") + "0\r\n\r\n" + smuggled, refused, nil, true},
		{"a length and coded", rawRequest("POST", "/once/x", "a", "Content-Length: 4\r\n", coded) + "0\r\n\r\n" + smuggled, refused, nil, true},
		{"coded, folded", rawRequest("POST", "/once/x", "a", "Transfer-Encoding:\r\n chunked\r\n") + "0\r\n\r\n", refused, nil, true},
		{"another coding", rawRequest("POST", "/once/x", "a", "Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n" + smuggled, []int{501}, nil, true},
		{"lengths that differ", rawRequest("POST", "/once/x", "a", "Content-Length: 4\r\nContent-Length: 0\r\n") + "body" + smuggled, refused, nil, true},
		{"length of 19 digits", rawRequest("POST", "/once/x", "a", "Content-Length: 0000000000000000000\r\n") + smuggled, refused, nil, true},
		{"blank in a name", rawRequest("POST", "/once/x", "a", "Transfer-Encoding : chunked\r\n") + "0\r\n\r\n", refused, nil, true},
		{"empty line before the request", "\r\n" + smuggled, refused, nil, true},
		{"no host", "POST /once/x HTTP/1.1\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n" + smuggled, refused, nil, true},
		{"after a sound request", rawRequest("POST", "/once/x", "a", coded) + "4\r\nbody\r\n0\r\n\r\n" + rawRequest("POST", "/once/y", "b", coded, "Content-Length: 4\r\n") + "0\r\n\r\n" + smuggled,
			[]int{200, 400}, []string{"POST /once/x a body"}, true},
		{"sound requests in one write", rawRequest("POST", "/once/x", "a", coded) + "4;e=\"v\"\r\nbody\r\n0\r\nTrailer: t\r\n\r\n" +
			rawRequest("POST", "/once/y", "b", "Content-Length: 3\r\nContent-Length: 3\r\n") + "two" + rawRequest("GET", "/idempotent/z", "c"),
			[]int{200, 200, 200}, []string{"POST /once/x a body", "POST /once/y b two", "GET /idempotent/z c "}, false},
	})
}

// Guards against an unknown outcome of a request of which no byte has been sent to a target.
func TestMalformedChunksAreRefused(t *testing.T) {
	var forms []rawForm
	for _, chunks := range []struct{ desc, text string }{
		{"bare line feed after the size", "4\nbody\r\n0\r\n\r\n"},
		{"bare line feed after the data", "4\r\nbody\n0\r\n\r\n"},
		{"no digits", "\r\nbody\r\n0\r\n\r\n"},
		{"size of 64 bits", "ffffffffffffffff\r\nbody\r\n0\r\n\r\n"},
		{"size over 64 bits", "10000000000000004\r\nbody\r\n0\r\n\r\n"},
		{"signed size", "+4\r\nbody\r\n0\r\n\r\n"},
		{"prefix of hexadecimal numbers", "0x4\r\nbody\r\n0\r\n\r\n"},
		{"more data than the size says", "3\r\nbody\r\n0\r\n\r\n"},
		{"control byte in an extension", "4;a\x00\r\nbody\r\n0\r\n\r\n"},
		{"long extension", "4;" + strings.Repeat("e", 8<<10) + "\r\nbody\r\n0\r\n\r\n"},
		{"long trailers", "4\r\nbody\r\n0\r\n" + strings.Repeat("Trailer: t\r\n", 1<<10) + "\r\n"},
		{"bare line feed in the trailers", "4\r\nbody\r\n0\r\nTrailer: t\n\r\n"},
	} {
		forms = append(forms, rawForm{chunks.desc, rawRequest("POST", "/once/x", "a", coded) + chunks.text + smuggled, []int{http.StatusBadRequest}, nil, true})
	}
	checkRaw(t, forms)
}

// Guards against a request without the headers that the mesh needs: its sender names them as belonging to
// the connection.
func TestConnectionOptionsKeepHeadersOfMesh(t *testing.T) {
	checkRaw(t, []rawForm{
		{"id", rawRequest("GET", "/idempotent/x", "a", "Connection: X-Id\r\n"), []int{400}, nil, false},
		{"id among others", rawRequest("GET", "/idempotent/x", "a", "Connection: keep-alive, x-id\r\n"), []int{400}, nil, false},
		{"deadline", rawRequest("GET", "/idempotent/x", "a", "Connection: X-Deadline-Ms\r\n"), []int{400}, nil, false},
		{"another header", rawRequest("GET", "/idempotent/x", "a", "Connection: X-Other\r\n"), []int{200}, []string{"GET /idempotent/x a "}, false},
	})
}

// Guards against an answer of a target that loses its id or its proof on the way.
func TestConnectionOptionsOfTarget(t *testing.T) {
	eachHop(t, func(t *testing.T, f *fleet) {
		address := f.callerAddress(t, 0)
		for option, status := range map[string]int{headers.Signature: 502, "keep-alive, " + headers.RequestID: 502, "X-Other, keep-alive": 200} {
			for _, target := range f.targets {
				target.serve = func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Connection", option)
					target.respond(w, r)
				}
			}
			got := sendRaw(t, address, "POST", rawRequest("POST", "/once/x", "a", "Content-Length: 0\r\n"), 1, false)
			assert.Equal(t, got.statuses[0], status, option)
		}
	})
}

// Guards against answers of the node's own in place of the target's: success for a request that no target
// ran, and refusals of methods that routes don't restrict.
func TestMethodsReachTarget(t *testing.T) {
	var forms []rawForm
	for _, method := range []string{"PURGE", "QUERY", "MKCOL", "OPTIONS", "TRACE", "X-1"} {
		forms = append(forms, rawForm{method, rawRequest(method, "/idempotent/x", "a"), []int{200}, []string{method + " /idempotent/x a "}, false})
	}
	checkRaw(t, append(forms,
		rawForm{"OPTIONS *", rawRequest("OPTIONS", "*", "a"), []int{404}, nil, false},
		rawForm{"CONNECT", rawRequest("CONNECT", "h:80", "a"), []int{404}, nil, false},
	))
}

// Guards against a length of a response to HEAD that a GET would not get (RFC 9110, section 8.6).
func TestLengthOfHead(t *testing.T) {
	eachHop(t, func(t *testing.T, f *fleet) {
		address := f.callerAddress(t, 0)
		for _, length := range []string{"12345", "0", "99999999999", ""} {
			for _, target := range f.targets {
				target.serve = func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(headers.Signature, "proof")
					if length != "" {
						w.Header().Set("Content-Length", length)
					}
				}
			}
			got := sendRaw(t, address, "HEAD", rawRequest("HEAD", "/idempotent/x", "a"), 1, false)
			assert.DeepEqual(t, got.statuses, []int{200})
			assert.Equal(t, got.headers[0].Get("Content-Length"), length)
		}
	})
}
