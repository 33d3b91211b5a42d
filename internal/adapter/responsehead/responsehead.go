// Package responsehead checks the heads of HTTP/1 responses while they are read. net/http accepts some
// that RFC 9112 forbids: it takes a field whose name ends in a blank for another field, so that a body
// may get another end than its sender gave it, and statuses that no caller can be told.
package responsehead

import (
	"net/http"

	"github.com/pkg/errors"
)

// The errors of Scan.
var (
	// ErrStatusLine is the error of a status line that is not valid (RFC 9112, section 4), or whose
	// status is outside 100 to 599 (RFC 9110, section 15).
	ErrStatusLine = errors.New("the status line of the response is not valid")
	// ErrField is the error of a line that is no field (RFC 9110, sections 5.1 and 5.5).
	ErrField = errors.New("the response has a header line that is not valid")
	// ErrCoding is the error of a response of HTTP/1.0 with a transfer coding, whose end is not known
	// (RFC 9112, section 6.1).
	ErrCoding = errors.New("the response has a transfer coding, which HTTP/1.0 does not know")
)

// state is what the next byte belongs to.
type state uint8

const (
	inStatusLine state = iota
	inReason
	atLineStart
	inName
	inValue
	// afterReturn expects the line feed after a carriage return, afterLastReturn that of the empty line.
	afterReturn
	afterLastReturn
	// done ignores all bytes, and so does upgraded, after which no other response follows.
	done
	upgraded
)

// statusLineForm is the status line up to the reason: 0 stands for a digit. RFC 9112 has a blank before
// an empty reason; many senders omit it.
const statusLineForm = "HTTP/1.0 000"

const transferEncoding = "transfer-encoding"

// Scanner checks the head of one response, with the interim responses (1xx) before it. The zero value
// expects a head.
type Scanner struct {
	state state
	// position is the number of bytes read of the status line or of a name.
	position int
	status   int
	// oldVersion is true for HTTP/1.0.
	oldVersion bool
	// coding is true while a name may become that of the transfer coding.
	coding bool
	// hasField is true after the first field, which a line that begins with a blank may continue.
	hasField bool
	err      error
}

// Reset expects the head of another response.
func (s *Scanner) Reset() { *s = Scanner{} }

// Scan checks the next bytes of the response. It ignores those after its head. An error is final: the
// bytes up to it are no response.
func (s *Scanner) Scan(p []byte) error {
	for _, b := range p {
		if s.state >= done || s.err != nil {
			break
		}
		s.err = s.next(b)
	}
	return s.err
}

func (s *Scanner) next(b byte) error {
	switch s.state {
	case inStatusLine:
		return s.nextOfStatusLine(b)
	case inReason:
		return s.nextOfText(b, ErrStatusLine)
	case atLineStart:
		return s.beginLine(b)
	case inName:
		return s.nextOfName(b)
	case inValue:
		return s.nextOfText(b, ErrField)
	case afterReturn, afterLastReturn:
		if b != '\n' {
			return ErrField
		}
		if s.state == afterLastReturn {
			s.endHead()
		} else {
			s.state = atLineStart
		}
	}
	return nil
}

func (s *Scanner) nextOfStatusLine(b byte) error {
	position := s.position
	s.position++
	if position == len(statusLineForm) {
		return s.endStatus(b)
	}
	expected := statusLineForm[position]
	if expected != '0' {
		if b != expected {
			return ErrStatusLine
		}
		return nil
	}
	if b < '0' || b > '9' {
		return ErrStatusLine
	}
	if position < len("HTTP/1.0") {
		s.oldVersion = b == '0'
	} else {
		s.status = 10*s.status + int(b-'0')
	}
	return nil
}

// maxStatus is the highest status (RFC 9110, section 15).
const maxStatus = 599

// endStatus handles the byte after the status.
func (s *Scanner) endStatus(b byte) error {
	if s.status < http.StatusContinue || s.status > maxStatus {
		return ErrStatusLine
	}
	switch b {
	case ' ':
		s.state = inReason
	case '\r':
		s.state = afterReturn
	case '\n':
		s.state = atLineStart
	default:
		return ErrStatusLine
	}
	return nil
}

// nextOfText handles a byte of a reason or a value.
func (s *Scanner) nextOfText(b byte, invalid error) error {
	switch {
	case b == '\r':
		s.state = afterReturn
	case b == '\n':
		s.state = atLineStart
	case b != '\t' && (b < ' ' || b == 0x7f):
		return invalid
	}
	return nil
}

func (s *Scanner) beginLine(b byte) error {
	switch {
	case b == '\r':
		s.state = afterLastReturn
	case b == '\n':
		s.endHead()
	case b == ' ' || b == '\t':
		if !s.hasField {
			return ErrField
		}
		s.state = inValue
	case b == ':':
		return ErrField
	default:
		s.state, s.position, s.coding, s.hasField = inName, 0, true, true
		return s.nextOfName(b)
	}
	return nil
}

func (s *Scanner) nextOfName(b byte) error {
	if b == ':' {
		if s.oldVersion && s.coding && s.position == len(transferEncoding) {
			return ErrCoding
		}
		s.state = inValue
		return nil
	}
	if !isTokenByte[b] {
		return ErrField
	}
	s.coding = s.coding && s.position < len(transferEncoding) && b|0x20 == transferEncoding[s.position]|0x20
	s.position++
	return nil
}

// endHead ends a head. Another one follows an interim response.
func (s *Scanner) endHead() {
	status := s.status
	s.Reset()
	switch {
	case status == http.StatusSwitchingProtocols:
		s.state = upgraded
	case status >= http.StatusOK:
		s.state = done
	}
}

// isTokenByte holds the bytes of which names consist (RFC 9110, section 5.6.2).
var isTokenByte = func() (set [256]bool) {
	for b := range set {
		letter := b|0x20 >= 'a' && b|0x20 <= 'z'
		set[b] = letter || b >= '0' && b <= '9'
	}
	for _, b := range []byte("!#$%&'*+-.^_`|~") {
		set[b] = true
	}
	return set
}()
