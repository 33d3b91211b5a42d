package callhttp

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"
)

// Guards against a success that nobody gave: a handler returns without a response.
func TestHandlerWithoutResponseBreaksOff(t *testing.T) {
	router := NewRouter()
	router.Any("/silent", func(echo.Context) error { return nil })
	router.Any("/empty", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	server := httptest.NewServer(router)
	defer server.Close()
	_, err := http.Get(server.URL + "/silent")
	assert.ErrorContains(t, err, "EOF")
	for path, want := range map[string]int{"/empty": http.StatusNoContent, "/unknown": http.StatusNotFound} {
		response, err := http.Get(server.URL + path)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, want)
	}
}
