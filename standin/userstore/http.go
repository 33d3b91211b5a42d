package userstore

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// Paths for targets, operators and tests. They are specific to this
// stand-in; nodes never call them.
const (
	PathPut     = "/admin/put"
	PathGet     = "/admin/get"
	PathRenew   = "/admin/renew"
	PathDelete  = "/admin/delete"
	PathCompact = "/admin/forget"
	PathBusy    = "/admin/busy"
)

// PathProbe is a cheap read for checking whether the store serves.
const PathProbe = "/kv-range?PathPrefix=none"

// leaseCheckInterval is how often a waiting watch checks for expired leases.
const leaseCheckInterval = 100 * time.Millisecond

// pageItems and pageBytes limit a page of a listing: its items, and the bytes of their values.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

type response struct {
	Items         []Item `json:"items"`
	Events        []Item `json:"events"`
	HasMore       bool
	StoreRevision uint64
}

// Handler returns the HTTP handler of the store.
func (s *Store) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/kv-range", s.serveRange)
	e.GET("/kv-watch", s.serveWatch)
	e.POST(PathPut, func(c echo.Context) error {
		value, err := io.ReadAll(c.Request().Body)
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, s.Put(c.QueryParam("key"), value, millis(c, "ttl_ms")))
	})
	e.GET(PathGet, func(c echo.Context) error {
		value, ok := s.Get(c.QueryParam("key"))
		if !ok {
			return c.NoContent(http.StatusNotFound)
		}
		return c.Blob(http.StatusOK, echo.MIMEOctetStream, value)
	})
	e.POST(PathRenew, func(c echo.Context) error {
		if !s.Renew(c.QueryParam("key"), millis(c, "ttl_ms")) {
			return c.NoContent(http.StatusNotFound)
		}
		return c.NoContent(http.StatusNoContent)
	})
	e.POST(PathDelete, func(c echo.Context) error {
		s.Delete(c.QueryParam("key"))
		return c.NoContent(http.StatusNoContent)
	})
	e.POST(PathCompact, func(c echo.Context) error {
		s.Compact()
		return c.NoContent(http.StatusNoContent)
	})
	e.POST(PathBusy, func(c echo.Context) error {
		s.SetBusy(c.QueryParam("on") == "true")
		return c.NoContent(http.StatusNoContent)
	})
	return e
}

func millis(c echo.Context, name string) time.Duration {
	// A missing or invalid number counts as 0: a write without lease, or a watch
	// that doesn't wait.
	n, _ := strconv.ParseInt(c.QueryParam(name), 10, 64)
	return time.Duration(n) * time.Millisecond
}

func (s *Store) serveRange(c echo.Context) error {
	if s.isBusy() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	items, revision := s.List(c.QueryParam("PathPrefix"))
	page := response{StoreRevision: revision}
	bytes := 0
	for _, item := range items {
		if item.Key <= c.QueryParam("after") {
			continue
		}
		if len(page.Items) == pageItems || bytes > 0 && bytes+len(item.Value) > pageBytes {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, item)
		bytes += len(item.Value)
	}
	return c.JSON(http.StatusOK, page)
}

func (s *Store) serveWatch(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	deadline := time.Now().Add(millis(c, "WaitMs"))
	for {
		if s.isBusy() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		events, revision, changed, ok := s.ChangesSince(c.QueryParam("PathPrefix"), after)
		if !ok {
			return c.NoContent(http.StatusGone)
		}
		left := time.Until(deadline)
		if len(events) > 0 || left <= 0 {
			return c.JSON(http.StatusOK, response{Events: events, StoreRevision: revision})
		}
		select {
		case <-changed:
		case <-time.After(min(left, leaseCheckInterval)):
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		}
	}
}
