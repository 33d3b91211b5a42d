package callhttp

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// writerAddressEnv is the environment variable that makes a second process of this test
// binary act as the paused writer. Its value is the address to write to.
const writerAddressEnv = "TAMARACK_TEST_WRITER"

const (
	writers       = 4
	writeDeadline = 20 * time.Millisecond
	pauses        = 40
	// pauseDuration is far longer than the deadline, and lateThreshold far longer than
	// the time from a write to a read on a busy machine.
	pauseDuration = 400 * time.Millisecond
	lateThreshold = 200 * time.Millisecond
)

// sinceBoot returns the time of a clock that all processes of the machine share.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return time.Duration(now.Nano())
}

// TestPausedWriter is not a test of its own: it is the process that
// TestPausesBeforeTheWrite pauses. It writes requests that contain their deadline.
func TestPausedWriter(t *testing.T) {
	address := os.Getenv(writerAddressEnv)
	if address == "" {
		t.Skip("started by TestPausesBeforeTheWrite")
	}
	var writing sync.WaitGroup
	for range writers {
		writing.Go(func() {
			assert.Check(t, write(address))
		})
	}
	writing.Wait()
}

// write writes requests to one connection until the connection breaks.
func write(address string) error {
	raw, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	conn := Guard(raw)
	defer conn.Close()
	for err == nil {
		// The deadline is computed first, so that a request written in time doesn't
		// look late because of a pause between the two clock reads.
		deadline := time.Now().Add(writeDeadline)
		message := binary.BigEndian.AppendUint64(nil, uint64(sinceBoot()+time.Until(deadline)))
		conn.assign(&attempt{deadline: deadline, senderClosed: func() bool { return false }})
		if _, err = conn.Write(message); err == errDeadline {
			err = nil
		}
	}
	return err
}

// TestPausesBeforeTheWrite guards against requests that are sent after their deadline. It
// pauses the writing process repeatedly and counts the late requests, which occur if a
// pause falls between the check of the deadline and the write.
func TestPausesBeforeTheWrite(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	var mu sync.Mutex
	arrived, late := 0, 0
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				message := make([]byte, 8)
				for {
					if _, err := io.ReadFull(conn, message); err != nil {
						return
					}
					lateness := sinceBoot() - time.Duration(binary.BigEndian.Uint64(message))
					mu.Lock()
					arrived++
					if lateness > lateThreshold {
						late++
					}
					mu.Unlock()
				}
			}()
		}
	}()
	writer := exec.Command(os.Args[0], "-test.run", "^TestPausedWriter$")
	writer.Env = append(os.Environ(), writerAddressEnv+"="+listener.Addr().String())
	assert.NilError(t, writer.Start())
	defer func() {
		_ = writer.Process.Kill()
		_ = writer.Wait()
	}()
	for range pauses {
		time.Sleep(20 * time.Millisecond)
		assert.NilError(t, writer.Process.Signal(syscall.SIGSTOP))
		time.Sleep(pauseDuration)
		assert.NilError(t, writer.Process.Signal(syscall.SIGCONT))
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d late of %d, %d pauses", late, arrived, pauses)
	assert.Equal(t, late, 0)
}
