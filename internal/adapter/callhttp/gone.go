package callhttp

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type connKey struct{}

// ConnContext is for http.Server.ConnContext. It lets RoundTrip see whether the
// one who sent a request still waits for its answer.
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

// tcpEstablished is the state of a connection that neither side has closed
// (Linux, include/net/tcp_states.h).
const tcpEstablished = 1

// senderGone reports whether the sender of the request that ctx belongs to has
// closed its connection.
//
// A process that was paused finds requests in its sockets when it wakes. Their
// senders gave up and closed long ago, but the budget that a request carries
// only starts to count when it is read, so it would be started seconds after
// its deadline. The server learns of the close too, but at some time after the
// handler has started. The kernel knows it at once.
func senderGone(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		gone = err == nil && info.State != tcpEstablished
	})
	return gone || err != nil
}
