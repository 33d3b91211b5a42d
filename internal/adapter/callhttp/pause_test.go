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

// writerAddress tells this program, started once more, to be the process that is paused.
const writerAddress = "TAMARACK_TEST_WRITER"

const (
	writers       = 4
	writeDeadline = 20 * time.Millisecond
	pauses        = 40
	// pauseFor is far beyond the deadline, and lateBy far beyond what a busy machine takes
	// from a write to a read.
	pauseFor = 400 * time.Millisecond
	lateBy   = 200 * time.Millisecond
)

// sinceBoot is a clock that all processes of the machine share.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return time.Duration(now.Nano())
}

// TestPausedWriter is no test of its own: it is the process that is paused. It writes
// requests that say until when they may begin.
func TestPausedWriter(t *testing.T) {
	address := os.Getenv(writerAddress)
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

// write writes requests on one connection until it breaks.
func write(address string) error {
	raw, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	conn := Guard(raw)
	defer conn.Close()
	for err == nil {
		// A pause between the two clocks must not make the message older than its deadline.
		deadline := time.Now().Add(writeDeadline)
		message := binary.BigEndian.AppendUint64(nil, uint64(sinceBoot()+time.Until(deadline)))
		conn.hold(&attempt{deadline: deadline, gone: func() bool { return false }})
		if _, err = conn.Write(message); err == errLate {
			err = nil
		}
	}
	return err
}

// TestPausesBeforeTheWrite counts the requests that a process sends after it was paused
// between its last look at the clock and the write.
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
					over := sinceBoot() - time.Duration(binary.BigEndian.Uint64(message))
					mu.Lock()
					arrived++
					if over > lateBy {
						late++
					}
					mu.Unlock()
				}
			}()
		}
	}()
	writer := exec.Command(os.Args[0], "-test.run", "^TestPausedWriter$")
	writer.Env = append(os.Environ(), writerAddress+"="+listener.Addr().String())
	assert.NilError(t, writer.Start())
	defer func() {
		_ = writer.Process.Kill()
		_ = writer.Wait()
	}()
	for range pauses {
		time.Sleep(20 * time.Millisecond)
		assert.NilError(t, writer.Process.Signal(syscall.SIGSTOP))
		time.Sleep(pauseFor)
		assert.NilError(t, writer.Process.Signal(syscall.SIGCONT))
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d late of %d, %d pauses", late, arrived, pauses)
	assert.Equal(t, late, 0)
}
