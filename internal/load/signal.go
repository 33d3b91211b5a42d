package load

import (
	"context"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/wait"
)

// Signal is a signal that is sent to a process, to cause a failure or a planned stop.
// At is counted from the start of the run, including the warm-up.
type Signal struct {
	PID int
	// Name is TERM, KILL, STOP or CONT.
	Name string
	At   time.Duration
}

// signals are the supported signals: those that cause a failure or a planned stop.
var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// ParseSignal parses "PID:NAME@TIME", for example "4711:KILL@2s".
func ParseSignal(text string) (Signal, error) {
	target, at, ok := strings.Cut(text, "@")
	pid, name, named := strings.Cut(target, ":")
	if !ok || !named {
		return Signal{}, errors.Errorf("%q: write PID:NAME@TIME, for example 4711:KILL@2s", text)
	}
	number, err := strconv.Atoi(pid)
	// Process 1, process groups (negative) and "all" (0) are never signalled.
	if err != nil || number <= 1 {
		return Signal{}, errors.Errorf("%q: %q is not a process id above 1", text, pid)
	}
	if _, known := signals[name]; !known {
		return Signal{}, errors.Errorf("%q: the signals are TERM, KILL, STOP and CONT", text)
	}
	after, err := time.ParseDuration(at)
	if err != nil || after < 0 {
		return Signal{}, errors.Errorf("%q: %q is not a duration of 0 or more", text, at)
	}
	return Signal{PID: number, Name: name, At: after}, nil
}

// deliver sends the signal at its time. An error is ignored: the process may have
// exited by then.
func (s Signal) deliver(ctx context.Context, start time.Time) {
	if wait.Sleep(ctx, time.Until(start.Add(s.At))) {
		_ = syscall.Kill(s.PID, signals[s.Name])
	}
}
