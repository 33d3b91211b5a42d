package logout

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// blockedWriter is an output whose reader doesn't read until release is closed.
type blockedWriter struct {
	release chan struct{}
	strings.Builder
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Builder.Write(p)
}

// Guards against blocking callers of the logger while the reader of the output doesn't read. Lines
// that don't fit into the buffer must be dropped and counted.
func TestBlockedReaderDoesNotBlockLogging(t *testing.T) {
	output := &blockedWriter{release: make(chan struct{})}
	w := New(output)
	logger := log.Logger{Writer: w}
	const lines = 3 * bufferedLines
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range lines {
			logger.Info().Int("lines", i).Msg("")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocks until the output is read")
	}
	dropped := w.TakeDropped()
	assert.Assert(t, dropped >= lines-bufferedLines-2, "%d", dropped)
	close(output.release)
	assert.NilError(t, w.Close())
	assert.Equal(t, int64(strings.Count(output.String(), "\n")), lines-dropped)
	assert.Equal(t, w.TakeDropped(), int64(0))
}

func TestNothingIsDroppedForAnActiveReader(t *testing.T) {
	w := New(io.Discard)
	logger := log.Logger{Writer: w}
	for range bufferedLines / 2 {
		logger.Info().Msg("")
	}
	assert.NilError(t, w.Close())
	assert.Equal(t, w.TakeDropped(), int64(0))
}
