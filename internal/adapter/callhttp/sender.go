package callhttp

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type connKey struct{}

// ConnContext is to be used as http.Server.ConnContext. It stores the connection in the
// context, so that RoundTrip can check whether the sender of a request has closed it.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	for {
		if raw, ok := conn.(syscall.Conn); ok {
			return context.WithValue(ctx, connKey{}, raw)
		}
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		conn = wrapped.NetConn()
	}
}

// tcpEstablished is the TCP state of a connection that neither side has closed (Linux,
// include/net/tcp_states.h).
const tcpEstablished = 1

// senderClosed reports whether the sender of the request in ctx has closed its
// connection.
//
// When a paused process resumes, its socket buffers may contain requests whose senders
// have timed out and closed their connections. The time budget in a request's headers
// only starts to count when the request is read, so without this check such a request
// would be started seconds after its deadline. http.Server detects the close as well,
// but only some time after the handler was started. The kernel reports it immediately.
func senderClosed(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State != tcpEstablished
	})
	return closed || err != nil
}
