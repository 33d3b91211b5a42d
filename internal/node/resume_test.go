package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
)

// brokenBody returns the first bytes of a text and then an error, or hangs.
func brokenBody(text string, count int, hang bool) io.ReadCloser {
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, text[:count])
		if !hang {
			writer.CloseWithError(io.ErrUnexpectedEOF)
		}
	}()
	return reader
}

// archiveResponse returns an owner's response to a call for text, or for a part
// of it if the call has a Range.
func archiveResponse(text, etag string, call *port.Call) *port.Response {
	var first, last int
	header := http.Header{"Etag": {etag}}
	if _, err := fmt.Sscanf(call.Header.Get("Range"), "bytes=%d-%d", &first, &last); err != nil {
		return newResponse(http.StatusOK, header, strings.NewReader(text), int64(len(text)))
	}
	header.Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", first, last, len(text)))
	part := text[first : last+1]
	return newResponse(http.StatusPartialContent, header, strings.NewReader(part), int64(len(part)))
}

// fetch requests an archive from the node over HTTP.
func fetch(t *testing.T, n *Node, byteRange string) (string, int, error) {
	server := httptest.NewServer(http.HandlerFunc(n.ServeCaller))
	defer server.Close()
	request, err := http.NewRequest(http.MethodGet, server.URL+"/tallies", nil)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer token")
	if byteRange != "" {
		request.Header.Set("Range", byteRange)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), response.StatusCode, err
}

// The download of an archive breaks or stalls halfway. If another target has the
// same strong ETag and therefore the same bytes, the caller must get one complete
// body; otherwise its body must visibly break, and never end early without an
// error.
func TestInterruptedArchiveResumesOrFails(t *testing.T) {
	text := strings.Repeat("0123456789", 5000)
	cases := []struct {
		desc, firstTag, nextTag, byteRange string
		hang, complete, chunked            bool
	}{
		{"breaks and is resumed", `"a"`, `"a"`, "", false, true, false},
		{"stalls and is resumed", `"a"`, `"a"`, "", true, true, false},
		{"the caller's own range is resumed", `"a"`, `"a"`, "bytes=100-29999", false, true, false},
		{"weak tag", `W/"a"`, `W/"a"`, "", false, false, false},
		{"the other target has other bytes", `"a"`, `"b"`, "", false, false, false},
		{"no tag", "", "", "", true, false, false},
		{"no length", "", "", "", false, false, true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			owners := &fakeOwners{respond: func(_ context.Context, number int, _ membership.VM, call *port.Call) (*port.Response, error) {
				if number > 0 {
					return archiveResponse(text, c.nextTag, call), nil
				}
				first := archiveResponse(text, c.firstTag, call)
				content, _ := io.ReadAll(first.Body)
				first.Body = brokenBody(string(content), 20_000, c.hang)
				if c.chunked {
					first.ContentLength = -1
				}
				return first, nil
			}}
			n := newEntry(t, owners)
			content, _, err := fetch(t, n, c.byteRange)
			for target := range n.targets.service("tally").pool.Load().all {
				assert.Equal(t, target.stats.InFlight(), 0, "a slot of %s is not released", target.vm.ID)
			}
			if !c.complete {
				assert.Assert(t, err != nil, "%d bytes were accepted as complete", len(content))
				return
			}
			assert.NilError(t, err)
			want := text
			if c.byteRange != "" {
				want = text[100:30000]
			}
			assert.Assert(t, content == want, "got %d bytes, want %d", len(content), len(want))
			assert.Assert(t, owners.to[0] != owners.to[1])
		})
	}
}

// A service has one target, and its response breaks halfway. The rest is had from the same
// target, since there is no other.
func TestLoneTargetResumesItsOwnBody(t *testing.T) {
	text := strings.Repeat("0123456789", 5000)
	owners := &fakeOwners{respond: func(_ context.Context, number int, _ membership.VM, call *port.Call) (*port.Response, error) {
		response := archiveResponse(text, `"a"`, call)
		if number == 0 {
			response.Body = brokenBody(text, 20_000, false)
		}
		return response, nil
	}}
	n := newEntry(t, owners)
	view := viewOf(1)
	view.Targets["tally"] = view.Targets["tally"][:1]
	n.view.Store(view)
	content, _, err := fetch(t, n, "")
	assert.NilError(t, err)
	assert.Assert(t, content == text, "got %d bytes, want %d", len(content), len(text))
	assert.DeepEqual(t, len(owners.to), 2)
}

// A caller requests an archive and stops reading. Its connection must be aborted
// after the stall timeout, and the target's slot released.
func TestSlowReaderFreesItsSlot(t *testing.T) {
	released := make(chan struct{})
	owners := &fakeOwners{respond: func(context.Context, int, membership.VM, *port.Call) (*port.Response, error) {
		const endless = 1 << 40
		response := newResponse(http.StatusOK, nil, zeros{}, endless)
		response.Body = &closeNotifier{Reader: response.Body, closed: released}
		return response, nil
	}}
	server := httptest.NewServer(http.HandlerFunc(newEntry(t, owners).ServeCaller))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /tallies HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token\r\n\r\n")
	assert.NilError(t, err)
	select {
	case <-released:
	case <-time.After(10 * time.Second):
		t.Fatal("the slot was not released")
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

type closeNotifier struct {
	io.Reader
	closed chan struct{}
}

func (c *closeNotifier) Close() error {
	close(c.closed)
	return nil
}

// Responses to HEAD and those without a body may carry the Content-Length of
// content that they don't send; it must be passed on unchanged.
func TestBodilessResponsesKeepTheirHeader(t *testing.T) {
	for _, c := range []struct {
		method string
		status int
		length string
	}{{http.MethodHead, 200, "1234"}, {http.MethodGet, 304, ""}, {http.MethodGet, 204, ""}} {
		owners := &fakeOwners{respond: func(context.Context, int, membership.VM, *port.Call) (*port.Response, error) {
			header := http.Header{}
			if c.length != "" {
				header.Set("Content-Length", c.length)
			}
			return newResponse(c.status, header, http.NoBody, 0), nil
		}}
		server := httptest.NewServer(http.HandlerFunc(newEntry(t, owners).ServeCaller))
		request, err := http.NewRequest(c.method, server.URL+"/tallies", nil)
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer token")
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, response.StatusCode, c.status)
		assert.Equal(t, response.Header.Get("Content-Length"), c.length)
		server.Close()
	}
}

// If the connection breaks while the caller sends the body, no target may get the
// request.
func TestInterruptedUploadReachesNoTarget(t *testing.T) {
	owners := &fakeOwners{}
	n := newEntry(t, owners)
	for _, body := range []io.Reader{failingReader{}, io.MultiReader(strings.NewReader("half"), failingReader{})} {
		request := httptest.NewRequest(http.MethodPost, "/returns", body)
		request.Header.Set("Authorization", "Bearer token")
		request.ContentLength = 100
		recorder := httptest.NewRecorder()
		n.ServeCaller(recorder, request)
		assert.Equal(t, recorder.Code, http.StatusBadRequest)
	}
	assert.Equal(t, len(owners.calls), 0)
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }
