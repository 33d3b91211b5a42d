package callhttp

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// NewRouter returns a router each of whose handlers ends in a response or breaks its connection off.
// All listeners use it: http.Server responds with 200 and an empty body for a handler that returns
// without a response.
func NewRouter() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.Pre(requireResponse)
	return e
}

func requireResponse(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		if err == nil && !c.Response().Committed {
			panic(http.ErrAbortHandler)
		}
		return err
	}
}
