package proxy

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pattern returns bytes of which no two aligned blocks of eight are equal.
func pattern(length int) []byte {
	var b []byte
	for i := uint64(0); len(b) < length; i++ {
		b = binary.BigEndian.AppendUint64(b, i)
	}
	return b[:length]
}

// uploadPiece is how many bytes of an upload a caller sends at once.
const uploadPiece = 4 << 10

// startUpload sends the header of an upload, and its body slowly, in chunks or with a length.
func startUpload(t *testing.T, address string, body []byte, chunked bool) (*bufio.Reader, <-chan error) {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s\r\n\r\n", headers.RequestID, nextRequestID(), framing)
	assert.NilError(t, err)
	sent := make(chan error, 1)
	go func() { sent <- sendSlowly(conn, body, chunked) }()
	return bufio.NewReader(conn), sent
}

func sendSlowly(conn io.Writer, body []byte, chunked bool) error {
	for piece := range slices.Chunk(body, uploadPiece) {
		if chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(piece); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	if !chunked {
		return nil
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// received is what a target has read of an upload after its response.
type received struct {
	body []byte
	err  error
}

// await returns what a target has read, once it has ended reading.
func await(t *testing.T, reads <-chan received) received {
	t.Helper()
	select {
	case got := <-reads:
		return got
	case <-time.After(10 * time.Second):
		t.Fatal("the target still reads")
		return received{}
	}
}

// respondEarly makes a target write its complete response before it reads the request's body.
func (f *fleet) respondEarly(target, status int, response []byte) <-chan received {
	reads := make(chan received, 1)
	f.targets[target].serve = func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		w.Header().Set(headers.Signature, "proof")
		w.Header().Set("Content-Length", strconv.Itoa(len(response)))
		w.WriteHeader(status)
		_, _ = w.Write(response)
		_ = control.Flush()
		body, err := io.ReadAll(r.Body)
		reads <- received{body, err}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	return reads
}

// respondEarlyInChunks is like respondEarly for a response without a length. The request must
// have one.
func (f *fleet) respondEarlyInChunks(t *testing.T, target, status int, response []byte) <-chan received {
	reads := make(chan received, 1)
	f.targets[target].serve = func(w http.ResponseWriter, r *http.Request) {
		conn, stream, err := http.NewResponseController(w).Hijack()
		if !assert.Check(t, err) {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 %d Early\r\n%s: %s\r\n%s: proof\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			status, headers.RequestID, r.Header.Get(headers.RequestID), headers.Signature, len(response), response)
		body := make([]byte, r.ContentLength)
		n, err := io.ReadFull(stream, body)
		reads <- received{body[:n], err}
	}
	return reads
}

// A target responds before it has read a long body, and reads on. Guards against other bytes
// in the place of the rest of the body, and against an upload that is cut off although its
// caller is told that it succeeded.
func TestEarlyResponseLeavesUploadIntact(t *testing.T) {
	large, small := 1_700_000, 100
	for _, test := range []struct {
		desc            string
		status          int
		upload          int
		response        int
		chunkedRequest  bool
		chunkedResponse bool
		memory          int64
		whole           bool
	}{
		{desc: "large response", status: 200, upload: 240_000, response: large, whole: true},
		{desc: "large response, request in chunks", status: 200, upload: 240_000, response: large, chunkedRequest: true, whole: true},
		{desc: "large response in chunks", status: 200, upload: 240_000, response: large, chunkedResponse: true},
		{desc: "upload longer than net/http discards", status: 200, upload: 700_000, response: large, whole: true},
		{desc: "small response", status: 200, upload: 240_000, response: small, whole: true},
		{desc: "small response, request in chunks", status: 200, upload: 240_000, response: small, chunkedRequest: true, whole: true},
		{desc: "small response in chunks", status: 200, upload: 240_000, response: small, chunkedResponse: true},
		{desc: "body that the entry node buffers", status: 200, upload: 60_000, response: large, whole: true},
		{desc: "little memory", status: 200, upload: 240_000, response: 300_000, memory: 200 << 10, whole: true},
		{desc: "large failure", status: 500, upload: 240_000, response: large},
		{desc: "small failure", status: 413, upload: 240_000, response: small, chunkedRequest: true},
	} {
		for _, target := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s, target of node %d", test.desc, target), func(t *testing.T) {
				f := newFleet(t, 2)
				f.setTimeouts(time.Minute)
				t.Cleanup(func() {
					if t.Failed() {
						t.Log(f.logs.String())
					}
				})
				if test.memory > 0 {
					f.limitMemory(0, test.memory)
					f.limitMemory(1, test.memory)
				}
				response, upload := pattern(test.response), pattern(test.upload)
				reads := f.respondEarly(target, test.status, response)
				if test.chunkedResponse {
					reads = f.respondEarlyInChunks(t, target, test.status, response)
				}
				f.proxies[0].stats[fmt.Sprint("t", 1-target)].BackOff(time.Now().Add(time.Minute))
				reader, sent := startUpload(t, f.callerAddress(t, 0), upload, test.chunkedRequest)
				answer, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(answer.Body)
				assert.NilError(t, err)
				assert.Equal(t, answer.StatusCode, test.status)
				assert.Assert(t, bytes.Equal(body, response), "%d bytes of the response", len(body))
				if test.whole {
					assert.NilError(t, <-sent)
				}
				got := await(t, reads)
				assert.Assert(t, bytes.HasPrefix(upload, got.body), "other bytes within %d", len(got.body))
				if test.whole || got.err == nil {
					assert.NilError(t, got.err)
					assert.Equal(t, len(got.body), len(upload))
				}
			})
		}
	}
}

// A caller uploads on a connection on which a target has responded early. Guards against the
// rest of the body being taken for the next request.
func TestConnectionClosesAfterEarlyResponse(t *testing.T) {
	f := newFleet(t, 1)
	reads := f.respondEarly(0, http.StatusOK, nil)
	reader, sent := startUpload(t, f.callerAddress(t, 0), pattern(240_000), false)
	answer, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Assert(t, answer.Close)
	assert.NilError(t, <-sent)
	assert.NilError(t, await(t, reads).err)
	_, err = reader.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// A caller leaves while its upload is passed on after the response. Guards against a target
// that waits for the rest, and against a node that takes the cut for the end of the body.
func TestUploadEndsWithItsCaller(t *testing.T) {
	f := newFleet(t, 2)
	f.proxies[0].stats["t0"].BackOff(time.Now())
	reads := f.respondEarly(1, http.StatusOK, nil)
	conn, err := net.Dial("tcp", f.callerAddress(t, 0))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	body := pattern(100_000)
	_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		headers.RequestID, nextRequestID(), 2*len(body), body)
	assert.NilError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	got := await(t, reads)
	assert.Assert(t, got.err != nil)
	assert.Assert(t, bytes.HasPrefix(body, got.body))
	waitFor(t, "idle nodes", func() bool { return f.proxies[0].inFlight.Load() == 0 && f.proxies[1].inFlight.Load() == 0 })
}

// A caller stops sending after an early response. Guards against requests that never end, and
// that a stopping node then waits for.
func TestUploadEndsAtItsDeadline(t *testing.T) {
	f := newFleet(t, 1)
	reads := f.respondEarly(0, http.StatusOK, nil)
	conn, err := net.Dial("tcp", f.callerAddress(t, 0))
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 300\r\nContent-Length: 200000\r\n\r\n%s",
		headers.RequestID, nextRequestID(), headers.Deadline, pattern(100_000))
	assert.NilError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Assert(t, await(t, reads).err != nil)
	waitFor(t, "an idle node", func() bool { return f.proxies[0].inFlight.Load() == 0 })
}
