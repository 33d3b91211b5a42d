package target

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
)

// answer gives an archive for paths with /archive/ in them, a receipt for
// writes, and a small reading otherwise.
func answer(c echo.Context, mode Mode) error {
	request := c.Request()
	switch {
	case mode.FailStatus != 0:
		return c.String(mode.FailStatus, "failed\n")
	case strings.Contains(request.URL.Path, "/archive/"):
		return answerArchive(c, mode)
	case request.Method == http.MethodPost:
		return answerReceipt(c)
	}
	return c.JSON(http.StatusOK, map[string]string{
		"path": request.URL.RequestURI(), "request_id": request.Header.Get(HeaderRequestID),
		"echo": request.Header.Get("Echo"),
	})
}

// answerReceipt tells the digest of what was filed.
func answerReceipt(c echo.Context) error {
	digest := sha256.New()
	size, err := io.Copy(digest, c.Request().Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusCreated, map[string]any{
		"bytes": size, "sha256": hex.EncodeToString(digest.Sum(nil)),
		"request_id": c.Request().Header.Get(HeaderRequestID),
	})
}

// defaultArchiveBytes is the size of an archive whose request names none.
const defaultArchiveBytes = 1 << 20

// answerArchive sends bytes that follow from the path alone, so that every
// target has the same archive under the same strong ETag, and honours ranges.
func answerArchive(c echo.Context, mode Mode) error {
	size, err := strconv.ParseInt(c.QueryParam("bytes"), 10, 64)
	if err != nil {
		size = defaultArchiveBytes
	}
	name := c.Request().URL.Path
	c.Response().Header().Set("ETag", fmt.Sprintf(`"%x-%d"`, sha256.Sum256([]byte(name)), size))
	c.Response().Header().Set("Content-Type", echo.MIMEOctetStream)
	writer := &faultyWriter{ResponseWriter: c.Response(), request: c.Request(), mode: mode}
	http.ServeContent(writer, c.Request(), "", time.Time{}, newArchive(name, size))
	if writer.cut {
		panic(http.ErrAbortHandler)
	}
	return writer.err
}

// ArchiveDigest is the hex SHA-256 of a whole archive.
func ArchiveDigest(path string, size int64) string {
	digest := sha256.New()
	// Reading the archive can't fail.
	_, _ = io.Copy(digest, newArchive(path, size))
	return hex.EncodeToString(digest.Sum(nil))
}

// archiveBlock is the part of an archive made from one seed.
const archiveBlock = 32 << 10

// archive is a deterministic io.ReadSeeker.
type archive struct {
	seed   [32]byte
	size   int64
	offset int64
	block  int64
	cached []byte
}

func newArchive(name string, size int64) *archive {
	return &archive{seed: sha256.Sum256([]byte(name)), size: size, block: -1}
}

// Read implements io.Reader.
func (a *archive) Read(p []byte) (int, error) {
	if a.offset >= a.size {
		return 0, io.EOF
	}
	a.load(a.offset / archiveBlock)
	from := a.offset % archiveBlock
	count := copy(p, a.cached[from:])
	count = int(min(int64(count), a.size-a.offset))
	a.offset += int64(count)
	return count, nil
}

func (a *archive) load(block int64) {
	if a.block == block {
		return
	}
	seed := a.seed
	for i := range 8 {
		seed[i] ^= byte(block >> (8 * i))
	}
	a.cached = make([]byte, archiveBlock)
	// Reading from ChaCha8 never fails.
	_, _ = rand.NewChaCha8(seed).Read(a.cached)
	a.block = block
}

// Seek implements io.Seeker.
func (a *archive) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += a.offset
	case io.SeekEnd:
		offset += a.size
	}
	a.offset = offset
	return offset, nil
}

// faultyWriter cuts or stalls a body where the mode says.
type faultyWriter struct {
	http.ResponseWriter
	request *http.Request
	mode    Mode
	sent    int64
	cut     bool
	err     error
}

// Write implements io.Writer.
func (w *faultyWriter) Write(p []byte) (int, error) {
	if limit := w.mode.CutBodyAfter; limit > 0 && w.sent+int64(len(p)) > limit {
		w.cut = true
		return w.forward(p[:max(0, limit-w.sent)], io.ErrClosedPipe)
	}
	if limit := w.mode.StallBodyAfter; limit > 0 && w.sent+int64(len(p)) > limit {
		count, err := w.forward(p[:max(0, limit-w.sent)], io.ErrClosedPipe)
		http.NewResponseController(w.ResponseWriter).Flush()
		<-w.request.Context().Done()
		w.cut = true
		return count, err
	}
	return w.forward(p, nil)
}

func (w *faultyWriter) forward(p []byte, after error) (int, error) {
	count, err := w.ResponseWriter.Write(p)
	w.sent += int64(count)
	if err == nil {
		err = after
	}
	if err != nil {
		w.err = err
	}
	return count, err
}
