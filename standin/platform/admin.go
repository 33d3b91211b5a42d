package platform

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"tamarackquay/internal/adapter/platformhttp"
	"tamarackquay/internal/snapshot"
)

func (p *Platform) putConfig(c echo.Context) error {
	content, err := io.ReadAll(io.LimitReader(c.Request().Body, snapshot.MaxPartBytes+1))
	if err != nil {
		return err
	}
	if len(content) > snapshot.MaxPartBytes {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	p.Put(c.Param("*"), content)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) putMode(c echo.Context) error {
	var mode Mode
	if err := c.Bind(&mode); err != nil {
		return err
	}
	p.SetMode(mode)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) putVMs(c echo.Context) error {
	var vms []platformhttp.VMEntry
	if err := c.Bind(&vms); err != nil {
		return err
	}
	p.SetVMs(vms)
	return c.NoContent(http.StatusNoContent)
}
