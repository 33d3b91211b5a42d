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

// writeResponse sends an archive for paths that contain /archive/, a receipt for
// POST requests, and a small JSON document otherwise.
func writeResponse(c echo.Context, mode Mode) error {
	request := c.Request()
	switch {
	case mode.FailStatus != 0:
		return c.String(mode.FailStatus, "failed\n")
	case strings.Contains(request.URL.Path, "/archive/"):
		return writeArchive(c, mode)
	case request.Method == http.MethodPost:
		return writeReceipt(c)
	}
	return c.JSON(http.StatusOK, map[string]string{
		"path": request.URL.RequestURI(), "request_id": request.Header.Get(HeaderRequestID),
		"echo": request.Header.Get("Echo"),
	})
}

// writeReceipt responds with the size and digest of the request body.
func writeReceipt(c echo.Context) error {
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

// defaultArchiveBytes is the size of an archive if the request gives none.
const defaultArchiveBytes = 1 << 20

// writeArchive sends bytes that are derived from the path alone, so that every
// target has the same archive under the same strong ETag. It supports ranges.
func writeArchive(c echo.Context, mode Mode) error {
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

// ArchiveDigest returns the hex SHA-256 of a complete archive.
func ArchiveDigest(path string, size int64) string {
	digest := sha256.New()
	// Reading the archive can't fail.
	_, _ = io.Copy(digest, newArchive(path, size))
	return hex.EncodeToString(digest.Sum(nil))
}

// archiveBlockSize is the number of bytes generated from one seed.
const archiveBlockSize = 32 << 10

// archive is an io.ReadSeeker of deterministic pseudorandom bytes.
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
	a.load(a.offset / archiveBlockSize)
	from := a.offset % archiveBlockSize
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
	a.cached = make([]byte, archiveBlockSize)
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

// faultyWriter cuts off or stalls a body after the number of bytes set in the mode.
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
		return w.write(p[:max(0, limit-w.sent)], io.ErrClosedPipe)
	}
	if limit := w.mode.StallBodyAfter; limit > 0 && w.sent+int64(len(p)) > limit {
		count, err := w.write(p[:max(0, limit-w.sent)], io.ErrClosedPipe)
		http.NewResponseController(w.ResponseWriter).Flush()
		<-w.request.Context().Done()
		w.cut = true
		return count, err
	}
	return w.write(p, nil)
}

func (w *faultyWriter) write(p []byte, next error) (int, error) {
	count, err := w.ResponseWriter.Write(p)
	w.sent += int64(count)
	if err == nil {
		err = next
	}
	if err != nil {
		w.err = err
	}
	return count, err
}
