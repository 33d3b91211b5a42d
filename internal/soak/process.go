package soak

import (
	"bytes"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// process is a program that the soak started. The soak signals no other processes.
type process struct {
	cmd  *exec.Cmd
	log  *logTail
	done chan struct{}
}

// startProcess starts a program and writes its output to log, which outlives the
// process.
func startProcess(log *logTail, env []string, program string, args ...string) (*process, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		// The error is not needed: the log and the process state show how it ended.
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		// The process may end before the signal; the runtime then sends none.
		_ = p.cmd.Process.Signal(s)
	}
}

// end kills the process, even if it is suspended, and waits until it has ended.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// logTail holds the last part of a process's output. It is safe for concurrent use.
type logTail struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// maxLogBytes bounds the stored output of one process.
const maxLogBytes = 16 << 20

// Write implements io.Writer.
func (l *logTail) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text.Len() > maxLogBytes {
		l.text.Next(l.text.Len() / 2)
	}
	return l.text.Write(p)
}

func (l *logTail) bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.text.Bytes())
}
