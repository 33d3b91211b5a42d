package requestframe

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func post(fields, body string) string {
	return "POST /x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body
}

const chunked = "Transfer-Encoding: chunked\r\n"

// Guards against an end of a request that other receivers may not see there, whatever the sizes of the
// reads are.
func TestScan(t *testing.T) {
	long := strings.Repeat("a", 1<<10)
	for _, test := range []struct {
		desc, text string
		requests   int
		err        error
	}{
		{"length", post("Content-Length: 4\r\n", "body"), 1, nil},
		{"several requests", post("Content-Length: 4\r\n", "body") + post(chunked, "4\r\nbody\r\n0\r\n\r\n") + "GET / HTTP/1.0\r\n\r\n", 3, nil},
		{"equal lengths", post("Content-Length: 4\r\ncontent-length:4 \r\n", "body"), 1, nil},
		{"lines that end in a line feed", "POST /x HTTP/1.1\nHost: h\nContent-Length: 4\n\nbody" + post("", ""), 2, nil},
		{"empty line between requests", post("", "") + "\r\n" + post("", ""), 2, nil},
		{"long lines", "POST /" + long + " HTTP/1.1\r\nX: " + long + "\r\n" + chunked + "\r\n0\r\n\r\n", 1, nil},
		{"extension and trailers", post(chunked, "a;e=\"v\"\r\n0123456789\r\n00\r\nT: t\r\nU: u\r\n\r\n") + post("", ""), 2, nil},
		{"coding of another field", post("X-Transfer-Encoding: gzip\r\n", ""), 1, nil},
		{"folded line of another field", post("X: y\r\n z\r\nContent-Length: 1\r\n", "b"), 1, nil},
		{"coding of HTTP/1.0", "POST /x HTTP/1.0\r\n" + chunked + "\r\n", 1, ErrOldCoding},
		{"coding of HTTP/1.0 after a long target", "POST /" + long + " HTTP/1.0\r\n" + chunked + "\r\n", 1, ErrOldCoding},
		{"length and coding", post("Content-Length: 4\r\n"+chunked, ""), 1, ErrCodingAndLength},
		{"coding and length", post(chunked+"Content-Length: 0\r\n", ""), 1, ErrCodingAndLength},
		{"two codings", post(chunked+chunked, ""), 1, ErrCoding},
		{"coding in a list", post("Transfer-Encoding: gzip, chunked\r\n", ""), 1, ErrCoding},
		{"lengths that differ", post("Content-Length: 4\r\nContent-Length: 5\r\n", ""), 1, ErrLength},
		{"signed length", post("Content-Length: +4\r\n", ""), 1, ErrLength},
		{"length of 64 bits", post("Content-Length: 9223372036854775808\r\n", ""), 1, ErrLength},
		{"folded length", post("Content-Length: 4\r\n 2\r\n", ""), 1, ErrFolded},
		{"second request", post(chunked, "0\r\n\r\n") + post("Content-Length: 4\r\n"+chunked, ""), 2, ErrCodingAndLength},
		{"chunk without a size", post(chunked, "\r\n"), 1, ErrChunk},
		{"size of 64 bits", post(chunked, "7fffffffffffffff\r\n"), 1, ErrChunk},
		{"line feed after a size", post(chunked, "4\nbody\r\n"), 1, ErrChunk},
		{"data after a chunk", post(chunked, "3\r\nbody\r\n"), 1, ErrChunk},
		{"control byte in an extension", post(chunked, "3;\x00\r\n"), 1, ErrChunk},
		{"long extension", post(chunked, "3;"+long+long+long+"\r\n"), 1, ErrChunk},
		{"long trailers", post(chunked, "0\r\n"+strings.Repeat("T: t\r\n", 1<<10)+"\r\n"), 1, ErrChunk},
		{"line feed after a trailer", post(chunked, "0\r\nT: t\n\r\n"), 1, ErrChunk},
	} {
		t.Run(test.desc, func(t *testing.T) {
			for _, size := range []int{1, 7, len(test.text)} {
				var s Scanner
				passed, err := 0, error(nil)
				for rest := []byte(test.text); len(rest) > 0 && err == nil; {
					part := rest[:min(size, len(rest))]
					var count int
					count, err = s.Scan(part)
					passed += count
					rest = rest[len(part):]
				}
				assert.Assert(t, errors.Is(err, test.err) && errors.Is(test.err, err), "%v", err)
				assert.Equal(t, s.Requests(), test.requests)
				if test.err == nil {
					assert.Equal(t, passed, len(test.text))
					assert.Equal(t, s.state, inRequestLine)
				} else if test.err != ErrChunk {
					assert.Assert(t, strings.HasSuffix(test.text[:passed], "\r\n\r\n"), "the header is passed on")
				}
				count, again := s.Scan([]byte("x"))
				assert.Assert(t, test.err == nil || count == 0 && errors.Is(again, test.err))
			}
		})
	}
}

// readAll returns the requests that net/http reads from a connection, and whether it reached the end of
// the last one.
func readAll(text []byte) (requests []string, complete bool) {
	reader := bufio.NewReader(bytes.NewReader(text))
	for {
		if _, err := reader.Peek(1); err != nil {
			return requests, true
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return requests, false
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return requests, false
		}
		requests = append(requests, fmt.Sprintf("%s %s %q", request.Method, request.RequestURI, body))
	}
}

// FuzzScan compares with net/http what the scanner lets through: both must see the same number of requests
// in it, and the end of the last one at the same place.
func FuzzScan(f *testing.F) {
	for _, seed := range []string{
		post("Content-Length: 4\r\n", "body") + post(chunked, "4;e\r\nbody\r\n0\r\nT: t\r\n\r\n") + "GET / HTTP/1.0\r\n\r\n",
		post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
		post("Transfer-Encoding :chunked\r\n", "0\r\n\r\n"),
		post("X: y\r\n\tTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
		"GET /\r HTTP/1.1\nHost:h\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var s Scanner
		passed, err := s.Scan(text)
		if err != nil {
			return
		}
		assert.Equal(t, passed, len(text))
		requests, complete := readAll(text)
		if !complete {
			// net/http ends the connection, so nothing that follows is read as a request.
			assert.Assert(t, len(requests) <= s.Requests())
			return
		}
		assert.Equal(t, len(requests), s.Requests(), "%q", requests)
		assert.Equal(t, s.state, inRequestLine)
	})
}
