package gateway

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
)

// burnReport responds with the report on the burn of error budgets as text, JSON
// or an HTML page.
func (g *Gateway) burnReport(c echo.Context) error {
	var out bytes.Buffer
	var err error
	mime := echo.MIMETextPlainCharsetUTF8
	switch format := c.QueryParam("Format"); format {
	case "", "text":
		err = g.services.BurnReporter.Burn(c.Request().Context()).Text(&out)
	case "json":
		mime = echo.MIMEApplicationJSON
		err = g.services.BurnReporter.Burn(c.Request().Context()).JSON(&out)
	case "html":
		mime = echo.MIMETextHTMLCharsetUTF8
		err = g.services.BurnReporter.Burn(c.Request().Context()).HTML(&out)
	default:
		return refuse(c, http.StatusBadRequest, "Format is "+strconv.Quote(format)+"; allowed: text, json or html")
	}
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, mime, out.Bytes())
}
