// Package requestframe follows where the requests on an HTTP/1 connection begin and end while they are
// read. net/http accepts some whose end two receivers may see at different places, and doesn't tell their
// handler: a transfer coding of HTTP/1.0, or one beside a length.
package requestframe

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// The errors of Scan.
var (
	// ErrOldCoding is the error of a request of HTTP/1.0 with a transfer coding (RFC 9112, section 6.1).
	ErrOldCoding = errors.New("the request has a transfer coding, which HTTP/1.0 does not know")
	// ErrCodingAndLength is the error of a request with a transfer coding and a length (RFC 9112,
	// sections 6.1 and 6.3).
	ErrCodingAndLength = errors.New("the request has a transfer coding and a length")
	// ErrCoding is the error of a transfer coding other than chunked (RFC 9112, sections 6.1 and 6.3).
	ErrCoding = errors.New("the transfer coding of the request is not chunked alone")
	// ErrLength is the error of a length that is no number, or that differs from another one (RFC 9110,
	// section 8.6, and RFC 9112, section 6.3).
	ErrLength = errors.New("the length of the request is not valid")
	// ErrFolded is the error of a length or a coding that another line continues (RFC 9112, section 5.2).
	ErrFolded = errors.New("the length or the transfer coding of the request is folded")
	// ErrChunk is the error of a chunk or a trailer that is not valid (RFC 9112, section 7.1).
	ErrChunk = errors.New("a chunk of the request's body is not valid")
)

const (
	// maxLengthDigits and maxChunkDigits keep sizes within 63 bits.
	maxLengthDigits = 18
	maxChunkDigits  = 15
	// maxChunkText limits an extension of a chunk, and all trailers.
	maxChunkText = 2 << 10
	// maxFieldBytes limits what is kept of a field, maxVersionBytes of the end of the request line.
	maxFieldBytes   = 64
	maxVersionBytes = 16
)

// state is what the next byte belongs to.
type state uint8

const (
	inRequestLine state = iota
	inField
	inBody
	inChunkSize
	inChunkExtension
	afterChunkSize
	inChunk
	afterChunk
	afterChunkReturn
	inTrailer
	afterTrailerReturn
)

// Scanner follows the requests of one connection. The zero value expects a request.
type Scanner struct {
	state state
	// line holds the part of the current line that matters, and length is the number of all its bytes.
	line     []byte
	length   int
	header   header
	requests int
	// remaining is the number of bytes left of a body or a chunk, and digits that of the chunk's size.
	remaining int64
	digits    int
	// text is the number of bytes read of an extension or of the trailers.
	text int
	err  error
}

// Requests returns the number of headers that have ended. An error of Scan belongs to the last of them.
func (s *Scanner) Requests() int { return s.requests }

// Scan returns how many of the next bytes of the connection belong to requests that can be told apart. If
// it returns an error, no byte after them does. The error of a header is returned with its last byte, so
// that the request can be answered.
func (s *Scanner) Scan(p []byte) (int, error) {
	done := 0
	for done < len(p) && s.err == nil {
		done += s.next(p[done:])
	}
	return done, s.err
}

// next reads some bytes, and returns their number.
func (s *Scanner) next(p []byte) int {
	switch s.state {
	case inRequestLine, inField:
		return s.readLine(p)
	case inBody, inChunk:
		count := min(s.remaining, int64(len(p)))
		s.skip(count)
		return int(count)
	}
	if s.err = s.nextOfChunk(p[0]); s.err != nil {
		return 0
	}
	return 1
}

// readLine reads to the end of a line of a header.
func (s *Scanner) readLine(p []byte) int {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		s.keep(p)
		return len(p)
	}
	s.keep(p[:end])
	line, length := s.line, s.length
	s.line, s.length = s.line[:0], 0
	if last := len(line) - 1; last >= 0 && line[last] == '\r' {
		line = line[:last]
		length--
	}
	switch {
	case length == 0 && s.state == inRequestLine:
		// net/http ignores empty lines after a POST, and rejects others.
	case s.state == inRequestLine:
		s.header = header{old: bytes.HasSuffix(line, []byte("HTTP/1.0")), length: -1}
		s.state = inField
	case length == 0:
		s.endHeader()
	default:
		s.header.add(line, length)
	}
	return end + 1
}

// keep keeps the beginning of a field or the end of a request line.
func (s *Scanner) keep(p []byte) {
	s.length += len(p)
	if s.state == inRequestLine {
		s.line = append(s.line, p[max(0, len(p)-maxVersionBytes):]...)
		if excess := len(s.line) - maxVersionBytes; excess > 0 {
			s.line = s.line[:copy(s.line, s.line[excess:])]
		}
		return
	}
	s.line = append(s.line, p[:min(len(p), max(0, maxFieldBytes-len(s.line)))]...)
}

// endHeader begins the body.
func (s *Scanner) endHeader() {
	s.requests++
	s.err = s.header.check()
	s.line = nil
	switch {
	case s.header.coded:
		s.beginChunkSize()
	case s.header.length > 0:
		s.state, s.remaining = inBody, s.header.length
	default:
		s.state = inRequestLine
	}
}

// skip passes bytes of a body or a chunk.
func (s *Scanner) skip(count int64) {
	s.remaining -= count
	switch {
	case s.remaining > 0:
	case s.state == inChunk:
		s.state = afterChunk
	default:
		s.state = inRequestLine
	}
}

func (s *Scanner) beginChunkSize() {
	s.state, s.remaining, s.digits, s.text = inChunkSize, 0, 0, 0
}

// nextOfChunk reads a byte of the chunked coding that is not one of a chunk's data.
func (s *Scanner) nextOfChunk(b byte) error {
	switch s.state {
	case inChunkSize:
		return s.nextOfSize(b)
	case inChunkExtension:
		return s.nextOfText(b, afterChunkSize)
	case afterChunkSize:
		if b != '\n' {
			return ErrChunk
		}
		s.state = inChunk
		if s.remaining == 0 {
			s.state, s.length, s.text = inTrailer, 0, 0
		}
	case afterChunk:
		return s.expect(b, '\r', afterChunkReturn)
	case afterChunkReturn:
		s.beginChunkSize()
		return s.expect(b, '\n', inChunkSize)
	case inTrailer:
		return s.nextOfText(b, afterTrailerReturn)
	case afterTrailerReturn:
		next := inTrailer
		if s.length == 0 {
			next = inRequestLine
		}
		s.length = 0
		return s.expect(b, '\n', next)
	}
	return nil
}

func (s *Scanner) expect(b, expected byte, next state) error {
	if b != expected {
		return ErrChunk
	}
	s.state = next
	return nil
}

// nextOfSize reads a byte of a chunk's size.
func (s *Scanner) nextOfSize(b byte) error {
	digit, err := strconv.ParseUint(string(rune(b)), 16, 4)
	if err == nil {
		s.remaining = s.remaining<<4 | int64(digit)
		s.digits++
		if s.digits > maxChunkDigits {
			return ErrChunk
		}
		return nil
	}
	switch {
	case s.digits == 0:
		return ErrChunk
	case b == '\r':
		s.state = afterChunkSize
	case b == ';' || b == ' ' || b == '\t':
		s.state = inChunkExtension
	default:
		return ErrChunk
	}
	return nil
}

// nextOfText reads a byte of a chunk's extension or a trailer, which end in a carriage return.
func (s *Scanner) nextOfText(b byte, next state) error {
	switch {
	case b == '\r':
		s.state = next
	case b < ' ' && b != '\t' || b == 0x7f || s.text >= maxChunkText:
		return ErrChunk
	default:
		s.length++
		s.text++
	}
	return nil
}

// header is what a header says about the body.
type header struct {
	// old is true for HTTP/1.0, coded if there is a transfer coding.
	old, coded bool
	// framing is true after a line with a length or a coding.
	framing bool
	// length is -1 without one.
	length int64
	err    error
}

// add reads a line, of which the beginning is given, and the number of all its bytes.
func (h *header) add(line []byte, length int) {
	if line[0] == ' ' || line[0] == '\t' {
		if h.framing {
			h.fail(ErrFolded)
		}
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	isLength, isCoding := bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding"))
	h.framing = isLength || isCoding
	value = bytes.Trim(value, " \t")
	switch {
	case isLength:
		h.addLength(value, length > maxFieldBytes)
	case isCoding:
		if h.coded || length > maxFieldBytes || !bytes.EqualFold(value, []byte("chunked")) {
			h.fail(ErrCoding)
		}
		h.coded = true
	}
}

func (h *header) addLength(value []byte, tooLong bool) {
	length, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil || tooLong || len(value) > maxLengthDigits || h.length >= 0 && h.length != int64(length) {
		h.fail(ErrLength)
		return
	}
	h.length = int64(length)
}

// fail records the first error.
func (h *header) fail(err error) {
	if h.err == nil {
		h.err = err
	}
}

// check returns the error of a complete header.
func (h *header) check() error {
	switch {
	case h.coded && h.old:
		return ErrOldCoding
	case h.coded && h.length >= 0:
		return ErrCodingAndLength
	}
	return h.err
}
