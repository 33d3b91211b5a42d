package responsehead

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// Guards against a head that is accepted or refused by the place at which it is split into reads.
func TestScan(t *testing.T) {
	for _, test := range []struct {
		desc, head string
		want       error
	}{
		{"sound", "HTTP/1.1 200 OK\r\nX-Y: z\r\nContent-Length: 2\r\n\r\n", nil},
		{"no reason, no fields", "HTTP/1.1 204\r\n\r\n", nil},
		{"empty reason", "HTTP/1.0 404 \n\n", nil},
		{"reason and value of all bytes", "HTTP/1.1 599 a\tb \xff\r\nX: a\tb \xff!\r\n\r\n", nil},
		{"continued value", "HTTP/1.1 200 OK\r\nX: a\r\n b : c\r\n\tTransfer-Encoding: d\r\n\r\n", nil},
		{"coding of HTTP/1.1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", nil},
		{"longer name in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding2: x\r\nTransfer-Encodin: x\r\n\r\n", nil},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", nil},
		{"change of protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n\x01\x02", nil},
		{"body of any bytes", "HTTP/1.1 200 OK\r\n\r\n\x00\r\n : x\r\nHTTP/9 000", nil},
		{"status 000", "HTTP/1.1 000 OK\r\n\r\n", ErrStatusLine},
		{"status 600", "HTTP/1.1 600 OK\r\n\r\n", ErrStatusLine},
		{"signed status", "HTTP/1.1 +20 OK\r\n\r\n", ErrStatusLine},
		{"four digits", "HTTP/1.1 2000 OK\r\n\r\n", ErrStatusLine},
		{"version 2", "HTTP/2.0 200 OK\r\n\r\n", ErrStatusLine},
		{"no response", "nonsense\r\n\r\n", ErrStatusLine},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n\r\n", ErrStatusLine},
		{"return in the status line", "HTTP/1.1 200 O\rK\r\n\r\n", ErrField},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n", ErrField},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", ErrField},
		{"no name", "HTTP/1.1 200 OK\r\n: z\r\n\r\n", ErrField},
		{"no colon", "HTTP/1.1 200 OK\r\nXY\r\n\r\n", ErrField},
		{"continuation of no field", "HTTP/1.1 200 OK\r\n X: y\r\n\r\n", ErrField},
		{"DEL in a name", "HTTP/1.1 200 OK\r\nX\x7f: z\r\n\r\n", ErrField},
		{"NUL in a value", "HTTP/1.1 200 OK\r\nX: a\x00b\r\n\r\n", ErrField},
		{"return in a value", "HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n", ErrField},
		{"return before an empty line", "HTTP/1.1 200 OK\r\n\r\r\n", ErrField},
		{"coding of HTTP/1.0", "HTTP/1.0 200 OK\r\ntransfer-ENCODING: chunked\r\n\r\n", ErrCoding},
		{"spoilt interim response", "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", ErrField},
		{"spoilt after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 099 OK\r\n\r\n", ErrStatusLine},
	} {
		t.Run(test.desc, func(t *testing.T) {
			for split := range len(test.head) + 1 {
				var s Scanner
				err := s.Scan([]byte(test.head[:split]))
				if err == nil {
					err = s.Scan([]byte(test.head[split:]))
				}
				assert.Assert(t, errors.Is(err, test.want), "split at %d: %v", split, err)
			}
		})
	}
}

// Guards against a head that costs memory.
func TestScanAllocatesNothing(t *testing.T) {
	head := []byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Y: z\r\n", 20) + "\r\n")
	var s Scanner
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		s.Reset()
		assert.NilError(t, s.Scan(head))
	}), 0.0)
}
