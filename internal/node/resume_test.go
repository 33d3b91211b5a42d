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

// brokenAfter gives the first bytes of a text and then an error, or nothing.
func brokenAfter(text string, count int, hang bool) io.ReadCloser {
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, text[:count])
		if !hang {
			writer.CloseWithError(io.ErrUnexpectedEOF)
		}
	}()
	return reader
}

// archive is an owner's answer to a call for text, from where its Range says.
func archive(text, etag string, call *port.Call) *port.Response {
	var first, last int
	header := http.Header{"Etag": {etag}}
	if _, err := fmt.Sscanf(call.Header.Get("Range"), "bytes=%d-%d", &first, &last); err != nil {
		return answerOf(http.StatusOK, header, strings.NewReader(text), int64(len(text)))
	}
	header.Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", first, last, len(text)))
	part := text[first : last+1]
	return answerOf(http.StatusPartialContent, header, strings.NewReader(part), int64(len(part)))
}

// fetch asks a server of the node for an archive.
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

// A marshal's archive breaks or stalls halfway. Where another target proves by
// a strong ETag that it has the same bytes, the caller sees one whole body;
// elsewhere it sees a body that is visibly broken, never a short one.
func TestBrokenArchive(t *testing.T) {
	text := strings.Repeat("0123456789", 5000)
	cases := []struct {
		desc, firstTag, nextTag, byteRange string
		hang, whole, chunked               bool
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
			owners := &fakeOwners{answer: func(_ context.Context, number int, _ membership.VM, call *port.Call) (*port.Response, error) {
				if number > 0 {
					return archive(text, c.nextTag, call), nil
				}
				whole := archive(text, c.firstTag, call)
				content, _ := io.ReadAll(whole.Body)
				whole.Body = brokenAfter(string(content), 20_000, c.hang)
				if c.chunked {
					whole.ContentLength = -1
				}
				return whole, nil
			}}
			n := newEntry(t, owners)
			content, _, err := fetch(t, n, c.byteRange)
			for target := range n.targets.service("tally").pool.Load().all {
				assert.Equal(t, target.stats.InFlight(), 0, "a slot of %s is held for ever", target.vm.ID)
			}
			if !c.whole {
				assert.Assert(t, err != nil, "%d bytes passed for whole", len(content))
				return
			}
			assert.NilError(t, err)
			want := text
			if c.byteRange != "" {
				want = text[100:30000]
			}
			assert.Assert(t, content == want, "%d bytes in place of %d", len(content), len(want))
			assert.Assert(t, owners.to[0] != owners.to[1])
		})
	}
}

// A caller asks for an archive and stops reading. Its connection is cut after
// the stall time, and the target's slot is free again.
func TestSlowReaderFreesItsSlot(t *testing.T) {
	released := make(chan struct{})
	owners := &fakeOwners{answer: func(context.Context, int, membership.VM, *port.Call) (*port.Response, error) {
		const endless = 1 << 40
		answer := answerOf(http.StatusOK, nil, zeros{}, endless)
		answer.Body = &closing{Reader: answer.Body, closed: released}
		return answer, nil
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
		t.Fatal("the slot is still held")
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

type closing struct {
	io.Reader
	closed chan struct{}
}

func (c *closing) Close() error {
	close(c.closed)
	return nil
}

// HEAD and bodiless answers tell the length of what they don't send.
func TestBodilessAnswersKeepTheirHeader(t *testing.T) {
	for _, c := range []struct {
		method string
		status int
		length string
	}{{http.MethodHead, 200, "1234"}, {http.MethodGet, 304, ""}, {http.MethodGet, 204, ""}} {
		owners := &fakeOwners{answer: func(context.Context, int, membership.VM, *port.Call) (*port.Response, error) {
			header := http.Header{}
			if c.length != "" {
				header.Set("Content-Length", c.length)
			}
			return answerOf(c.status, header, http.NoBody, 0), nil
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

// A connection that breaks while the caller sends its filing reaches no target.
func TestBrokenUploadReachesNoTarget(t *testing.T) {
	owners := &fakeOwners{}
	n := newEntry(t, owners)
	for _, body := range []io.Reader{iotestErr{}, io.MultiReader(strings.NewReader("half"), iotestErr{})} {
		request := httptest.NewRequest(http.MethodPost, "/returns", body)
		request.Header.Set("Authorization", "Bearer token")
		request.ContentLength = 100
		recorder := httptest.NewRecorder()
		n.ServeCaller(recorder, request)
		assert.Equal(t, recorder.Code, http.StatusBadRequest)
	}
	assert.Equal(t, len(owners.calls), 0)
}

type iotestErr struct{}

func (iotestErr) Read([]byte) (int, error) { return 0, errors.New("connection reset") }
