package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/callhttp"
)

// streamsVariable is the environment variable with the number of random streams.
const streamsVariable = "TAMARACKQUAY_STREAMS"

// streamPieces are what random streams are made of, besides sound requests.
var (
	streamFields = []string{
		"Transfer-Encoding: chunked\r\n", "transfer-encoding:chunked\r\n", "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding:\r\n chunked\r\n",
		"Transfer-Encoding : chunked\r\n", "Transfer-Encoding: \tchunked \r\n", "X: y\r\n Transfer-Encoding: chunked\r\n",
		"Content-Length: 0\r\n", "Content-Length: 5\r\n", "Content-Length: 05\r\n", "Content-Length: +5\r\n", "Content-Length: 5, 5\r\n", "Content-Length:5\n",
		"Connection: X-Id\r\n", "Connection: keep-alive\r\n", "Connection: close\r\n", "Expect: 100-continue\r\n", "X-Deadline-Ms: 900\r\n",
	}
	streamBytes = []string{"\r", "\n", "\r\n", " ", "\t", ":", ";", ",", "0", "5", "a", "\x00", "\x7f", "HTTP/1.0", "0\r\n\r\n"}
)

// randomStream returns some requests with a target and an id of their own, of which some are not valid.
func randomStream(random *rand.Rand, seed uint64) []byte {
	var stream bytes.Buffer
	for i := range 1 + random.IntN(4) {
		version := "1.1"
		if random.IntN(5) == 0 {
			version = "1.0"
		}
		fmt.Fprintf(&stream, "POST /once/%06d/%d HTTP/%s\r\nHost: h\r\nX-Id: id-%06d-%d\r\n", seed, i, version, seed, i)
		body := strings.Repeat(fmt.Sprint("body", i), random.IntN(4))
		isChunked := random.IntN(2) == 0
		if isChunked {
			stream.WriteString("Transfer-Encoding: chunked\r\n")
		} else {
			fmt.Fprintf(&stream, "Content-Length: %d\r\n", len(body))
		}
		for random.IntN(3) == 0 {
			stream.WriteString(streamFields[random.IntN(len(streamFields))])
		}
		stream.WriteString("\r\n")
		if !isChunked {
			stream.WriteString(body)
			continue
		}
		for rest := body; rest != ""; {
			size := 1 + random.IntN(len(rest))
			fmt.Fprintf(&stream, "%x%s\r\n%s\r\n", size, []string{"", ";e", ";e=\"v\""}[random.IntN(3)], rest[:size])
			rest = rest[size:]
		}
		stream.WriteString([]string{"0\r\n\r\n", "0\r\nT: t\r\n\r\n"}[random.IntN(2)])
	}
	text := stream.Bytes()
	for random.IntN(3) == 0 {
		at := random.IntN(len(text))
		piece := streamBytes[random.IntN(len(streamBytes))]
		end := min(len(text), at+random.IntN(3))
		text = slices.Concat(text[:at], []byte(piece), text[end:])
	}
	return text
}

var (
	requestLineForm = regexp.MustCompile(`^([!#$%&'*+.^_|~0-9A-Za-z-]+) ([!-~]+) HTTP/1\.([01])$`)
	fieldForm       = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*$")
	chunkSizeForm   = regexp.MustCompile("^([0-9a-fA-F]{1,15})[ \t]*(;[^\x00-\x08\x0a-\x1f\x7f]*)?$")
)

// strictRequest is a request as a strict reading of RFC 9112 gives it.
type strictRequest struct{ method, target, id, body string }

// run is how a runLog shows the request.
func (r strictRequest) run() string {
	return fmt.Sprint(r.method, " ", r.target, " ", r.id, " ", r.body)
}

// readStrict reads requests until one that is not valid or not complete. Only the lines of a header may end
// in a bare line feed.
func readStrict(text string) []strictRequest {
	var requests []strictRequest
	for {
		request, rest, ok := readStrictOne(text)
		if !ok {
			return requests
		}
		requests = append(requests, request)
		text = rest
	}
}

func headerLine(text string) (line, rest string, ok bool) {
	line, rest, ok = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest, ok
}

func readStrictOne(text string) (request strictRequest, rest string, ok bool) {
	rest = strings.TrimLeft(text, "\r\n")
	line, rest, ok := headerLine(rest)
	parts := requestLineForm.FindStringSubmatch(line)
	if !ok || parts == nil {
		return request, "", false
	}
	request.method, request.target = parts[1], parts[2]
	length, codings := -1, 0
	name := ""
	for {
		if line, rest, ok = headerLine(rest); !ok {
			return request, "", false
		}
		if line == "" {
			break
		}
		framing := name == "content-length" || name == "transfer-encoding"
		if (line[0] == ' ' || line[0] == '\t') && name != "" && !framing {
			if name == "x-id" {
				// A folded line continues the value after a blank (RFC 9112, section 5.2).
				request.id += " " + strings.Trim(line, " \t")
			}
			continue
		}
		field := fieldForm.FindStringSubmatch(line)
		if field == nil {
			return request, "", false
		}
		name = strings.ToLower(field[1])
		switch value := field[2]; name {
		case "x-id":
			request.id = value
		case "content-length":
			number, err := strconv.ParseUint(value, 10, 31)
			if err != nil || length >= 0 && length != int(number) {
				return request, "", false
			}
			length = int(number)
		case "transfer-encoding":
			if codings++; codings > 1 || !strings.EqualFold(value, "chunked") || length >= 0 || parts[3] == "0" {
				return request, "", false
			}
		}
	}
	if codings > 0 {
		if length >= 0 {
			return request, "", false
		}
		request.body, rest, ok = readStrictChunks(rest)
		return request, rest, ok
	}
	if length > len(rest) {
		return request, "", false
	}
	request.body, rest = rest[:max(length, 0)], rest[max(length, 0):]
	return request, rest, true
}

func readStrictChunks(text string) (body, rest string, ok bool) {
	for {
		line, after, found := strings.Cut(text, "\r\n")
		parts := chunkSizeForm.FindStringSubmatch(line)
		if !found || parts == nil {
			return "", "", false
		}
		size, _ := strconv.ParseUint(parts[1], 16, 63)
		if size == 0 {
			text = after
			break
		}
		if size > uint64(len(after)) || !strings.HasPrefix(after[size:], "\r\n") {
			return "", "", false
		}
		body += after[:size]
		text = after[size+2:]
	}
	for {
		line, after, found := strings.Cut(text, "\r\n")
		if !found || line != "" && fieldForm.FindString(line) == "" {
			return "", "", false
		}
		text = after
		if line == "" {
			return body, text, true
		}
	}
}

// writeSplit writes a stream in parts of random sizes.
func writeSplit(conn net.Conn, random *rand.Rand, stream []byte) {
	for len(stream) > 0 {
		size := len(stream)
		if random.IntN(2) == 0 {
			size = 1 + random.IntN(size)
		}
		// The node may have ended the connection.
		if _, err := conn.Write(stream[:size]); err != nil {
			return
		}
		stream = stream[size:]
	}
}

// readResponses reads the final responses of a connection until it ends or stays quiet.
func readResponses(conn net.Conn) []*http.Response {
	const quiet = 50 * time.Millisecond
	var responses []*http.Response
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(quiet))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return responses
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return responses
		}
		if response.StatusCode >= http.StatusOK {
			responses = append(responses, response)
		}
	}
}

// Guards against two requests that are made of one, a body that another request's bytes change, a success
// without a proof, and a refusal of what ran: whatever clients send, targets run what a strict reading of
// RFC 9112 gives, or less.
func TestRandomStreams(t *testing.T) {
	streams := 150
	if text := os.Getenv(streamsVariable); text != "" {
		var err error
		streams, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	eachHop(t, func(t *testing.T, f *fleet) {
		address := f.callerAddress(t, 0)
		runs := f.logRuns()
		expected := map[string]string{}
		refused := map[string]string{}
		responses := 0
		for seed := range uint64(streams) {
			random := rand.New(rand.NewPCG(seed, 2))
			stream := randomStream(random, seed)
			describe := fmt.Sprintf("seed %d, stream %q", seed, stream)
			requests := readStrict(string(stream))
			for _, request := range requests {
				expected[request.run()] = describe
			}
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			writeSplit(conn, random, stream)
			for i, response := range readResponses(conn) {
				responses++
				switch {
				case response.StatusCode < http.StatusMultipleChoices:
					assert.Assert(t, response.Header.Get(headers.Signature) != "", "%s", describe)
				case i < len(requests) && (response.Header.Get(callhttp.HeaderOutcome) == callhttp.OutcomeDidNotRun || callhttp.PromisesNotRun(response.StatusCode)):
					refused[requests[i].run()] = describe
				}
			}
			assert.NilError(t, conn.Close())
		}
		waitFor(t, "all requests end", func() bool { return f.proxies[0].InFlight() == 0 && f.proxies[len(f.proxies)-1].InFlight() == 0 })
		runs.mu.Lock()
		defer runs.mu.Unlock()
		for i, run := range runs.runs {
			describe, ok := expected[run]
			assert.Assert(t, ok, "%q is no request", run)
			assert.Assert(t, !slices.Contains(runs.runs[:i], run), "%q ran twice: %s", run, describe)
			assert.Assert(t, refused[run] == "", "%q was refused: %s", run, describe)
		}
		t.Logf("%d streams: %d responses, %d requests ran, %d valid ones were refused", streams, responses, len(runs.runs), len(refused))
	})
}
