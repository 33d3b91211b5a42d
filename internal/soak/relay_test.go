package soak

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// echoThrough returns a connection to an echo server through a relay.
func echoThrough(t *testing.T) (*Relay, net.Conn) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { server.Close() })
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	relay, err := NewRelay("127.0.0.1:0", server.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(relay.Close)
	conn, err := net.Dial("tcp", relay.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return relay, conn
}

func roundTrip(t *testing.T, conn net.Conn, wait time.Duration) error {
	t.Helper()
	_, err := conn.Write([]byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	_, err = conn.Read(make([]byte, 1))
	return err
}

// Guards against data that is lost when a relay holds it back (it must arrive when the
// fault ends), and against a reset that the client sees as an orderly close.
func TestRelayFaults(t *testing.T) {
	relay, conn := echoThrough(t)
	assert.NilError(t, roundTrip(t, conn, 5*time.Second))
	for _, fault := range []LinkFault{{HoldForward: true}, {HoldBack: true}} {
		relay.SetFault(fault)
		assert.Assert(t, roundTrip(t, conn, 50*time.Millisecond) != nil, "%v", fault)
		relay.SetFault(LinkFault{})
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err := conn.Read(make([]byte, 1))
		assert.NilError(t, err)
	}
	relay.Reset()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "reset")
}

// The server of a relay ends. Guards against a relay that still accepts connections:
// clients must be refused, as they would be without a relay, from the moment at which
// open connections end until the server is back.
func TestRelayRefusesWithoutServer(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	relay, err := NewRelay("127.0.0.1:0", server.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(relay.Close)
	client, err := net.Dial("tcp", relay.Address())
	assert.NilError(t, err)
	serverConn, err := server.Accept()
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
	assert.NilError(t, serverConn.Close())
	_, err = client.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	_, err = net.Dial("tcp", relay.Address())
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)

	server, err = net.Listen("tcp", server.Addr().String())
	assert.NilError(t, err)
	defer server.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := net.Dial("tcp", relay.Address())
		if err != nil {
			return poll.Continue("%v", err)
		}
		conn.Close()
		return poll.Success()
	})
}
