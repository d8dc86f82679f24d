package command

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/host"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	metricsPath = "/metrics"
	cellPath    = "/cell"
	jobPath     = cellPath + "/jobs/"
)

// cellReader returns the state of the cell and its jobs as JSON documents.
type cellReader interface {
	Cell(ctx context.Context) ([]byte, error)
	Job(ctx context.Context, id workload.JobID) ([]byte, error)
}

// newOperatorHandler returns a handler for the pages for operators: the metrics,
// the cell and its jobs.
func newOperatorHandler(metrics http.Handler, v cellReader) http.Handler {
	e := echo.New()
	e.GET(metricsPath, echo.WrapHandler(metrics))
	e.GET(cellPath, func(c echo.Context) error {
		document, err := v.Cell(c.Request().Context())
		return writeDocument(c, document, err)
	})
	e.GET(jobPath+":id", func(c echo.Context) error {
		document, err := v.Job(c.Request().Context(), workload.JobID(c.Param("id")))
		return writeDocument(c, document, err)
	})
	return e
}

func writeDocument(c echo.Context, document []byte, err error) error {
	switch {
	case fault.Is(err, host.KindNoJob):
		return c.JSON(http.StatusNotFound, pageError{err.Error()})
	case err != nil:
		return c.JSON(http.StatusServiceUnavailable, pageError{err.Error()})
	}
	return c.JSONBlob(http.StatusOK, document)
}

// pageError is the body of an error response of a page for operators.
type pageError struct {
	Error string
}
