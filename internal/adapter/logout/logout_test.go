package logout

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// stuck is an output that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Builder.Write(p)
}

// The reader of the output stops reading while lines keep coming. Whoever logs
// goes on at once; what doesn't fit the buffer is dropped and told.
func TestStuckReaderHoldsUpNobody(t *testing.T) {
	output := &stuck{release: make(chan struct{})}
	w := New(output)
	logger := log.Logger{Writer: w}
	const lines = 3 * buffered
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
		t.Fatal("logging waits for the reader")
	}
	dropped := w.TakeDropped()
	assert.Assert(t, dropped >= lines-buffered-2, "%d", dropped)
	close(output.release)
	assert.NilError(t, w.Close())
	assert.Equal(t, int64(strings.Count(output.String(), "\n")), lines-dropped)
	assert.Equal(t, w.TakeDropped(), int64(0))
}

func TestNothingIsDroppedForAReaderThatReads(t *testing.T) {
	w := New(io.Discard)
	logger := log.Logger{Writer: w}
	for range buffered / 2 {
		logger.Info().Msg("")
	}
	assert.NilError(t, w.Close())
	assert.Equal(t, w.TakeDropped(), int64(0))
}
