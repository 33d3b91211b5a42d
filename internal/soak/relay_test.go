package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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

func say(t *testing.T, conn net.Conn, wait time.Duration) error {
	t.Helper()
	_, err := conn.Write([]byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	_, err = conn.Read(make([]byte, 1))
	return err
}

// What a relay holds back arrives when the harm ends, and a reset is seen as one.
func TestRelayHarms(t *testing.T) {
	relay, conn := echoThrough(t)
	assert.NilError(t, say(t, conn, 5*time.Second))
	for _, harm := range []Harm{{HoldForward: true}, {HoldBack: true}} {
		relay.SetHarm(harm)
		assert.Assert(t, say(t, conn, 50*time.Millisecond) != nil, "%v", harm)
		relay.SetHarm(Harm{})
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err := conn.Read(make([]byte, 1))
		assert.NilError(t, err)
	}
	relay.Reset()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "reset")
}
