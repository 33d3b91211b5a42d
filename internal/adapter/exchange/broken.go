package exchange

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/pkg/errors"
)

// tcpClosed is the TCP state of a connection that was reset, or that both sides have closed (Linux,
// include/net/tcp_states.h).
const tcpClosed = 7

// connReader reads from a connection and tells a reset from its end. Linux reports a reset once, to a
// read or to a write. If a write gets it, all further reads report a clean end, and a response whose
// end is that of its connection would look complete.
type connReader struct {
	net.Conn
	writes *writeTracker
}

// Read implements io.Reader.
func (r connReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if err == io.EOF {
		if broken := r.writes.broken(r.Conn); broken != nil {
			return n, broken
		}
	}
	return n, err
}

// broken returns the error that a write got in place of a read that reported the end of the connection;
// nil if the receiver has closed it.
func (w *writeTracker) broken(conn net.Conn) error {
	if !isClosed(conn) {
		return nil
	}
	// A write to a closed connection doesn't block, so this waits only until its error is recorded.
	w.mu.Lock()
	defer w.mu.Unlock()
	if errors.Is(w.err, syscall.EPIPE) {
		// The receiver closed the connection before it reset it.
		return nil
	}
	return w.err
}

// isClosed reports whether the kernel has closed the connection.
func isClosed(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpClosed
	})
	return err == nil && closed
}
