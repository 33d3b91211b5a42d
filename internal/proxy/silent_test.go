package proxy

import (
	"fmt"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unresponsiveAddress returns a loopback address at which connections to the port get no
// answer: its socket listens with a full backlog of one.
func unresponsiveAddress(t *testing.T, port int) string {
	t.Helper()
	const host = "127.0.0.99"
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	address := syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 99}}
	assert.NilError(t, syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	if err := syscall.Bind(fd, &address); err != nil {
		// Another node of the fleet uses the same address.
		return fmt.Sprint(host, ":1")
	}
	assert.NilError(t, syscall.Listen(fd, 0))
	for {
		conn, err := net.DialTimeout("tcp", net.JoinHostPort(host, strconv.Itoa(port)), 100*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	return fmt.Sprint(host, ":1")
}
