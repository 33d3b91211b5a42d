package soak

import (
	"bytes"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// process is a program that the soak started; it signals no other.
type process struct {
	cmd  *exec.Cmd
	log  *logTail
	done chan struct{}
}

// startProcess runs a program; its output goes to the log, which outlives it.
func startProcess(log *logTail, env []string, program string, args ...string) (*process, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		// How it ended shows in its log and to its callers.
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		// It may end between the look and the signal; the runtime then sends none.
		_ = p.cmd.Process.Signal(s)
	}
}

// end kills the process, also a frozen one, and waits for it.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// logTail keeps the last part of a process's output. It is safe for concurrent
// use.
type logTail struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// keptLog bounds what is kept of one process's output.
const keptLog = 16 << 20

// Write implements io.Writer.
func (l *logTail) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text.Len() > keptLog {
		l.text.Next(l.text.Len() / 2)
	}
	return l.text.Write(p)
}

func (l *logTail) bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.text.Bytes())
}
