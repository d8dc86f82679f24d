package standin

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/wire"
)

func (s *Server) start(c echo.Context) error {
	host, err := s.host(c)
	if err != nil {
		return err
	}
	call, err := decode[wire.Starts](c)
	if err != nil {
		return err
	}
	starts, err := call.Domain("start")
	if err != nil {
		return err
	}
	refused, err := s.view(c).Workers.Start(c.Request().Context(), host, starts)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, wire.FromErrors(refused))
}

func (s *Server) report(c echo.Context) error {
	host, err := s.host(c)
	if err != nil {
		return err
	}
	call, err := decode[wire.ReportRequest](c)
	if err != nil {
		return err
	}
	request, err := call.Domain("report")
	if err != nil {
		return err
	}
	report, err := s.view(c).Workers.Report(c.Request().Context(), host, request)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, wire.FromReport(report))
}

func (s *Server) stop(c echo.Context) error {
	host, err := s.host(c)
	if err != nil {
		return err
	}
	call, err := decode[wire.Stops](c)
	if err != nil {
		return err
	}
	if err := s.view(c).Workers.Stop(c.Request().Context(), host, call.Domain()); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct{}{})
}

func (s *Server) run(c echo.Context) error {
	host, err := s.host(c)
	if err != nil {
		return err
	}
	body, err := readBody(c)
	if err != nil {
		return err
	}
	request, err := upstreamRequest(c.Request(), body)
	if err != nil {
		return err
	}
	response, err := s.view(c).Upstreams.Send(c.Request().Context(), host, request)
	if err != nil {
		return err
	}
	header := c.Response().Header()
	header.Set(wire.HeaderRequestID, response.ID)
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(response.Body)))
	if response.Leaving {
		header.Set(wire.HeaderLeaving, "true")
	}
	return c.Blob(response.Status, echo.MIMEOctetStream, response.Body)
}

func upstreamRequest(r *http.Request, body []byte) (platform.UpstreamRequest, error) {
	deadline := r.Header.Get(wire.HeaderDeadline)
	allowed, err := wire.ParseOptionalDuration("send", wire.HeaderDeadline, &deadline)
	if err != nil {
		return platform.UpstreamRequest{}, err
	}
	// The path is /upstreams/NAME/run/ followed by the path of the request.
	path := "/" + strings.SplitN(r.URL.EscapedPath(), "/", 5)[4]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return platform.UpstreamRequest{
		ID: r.Header.Get(wire.HeaderRequestID), IdempotencyKey: r.Header.Get(wire.HeaderIdempotencyKey),
		Idempotent: r.Header.Get(wire.HeaderIdempotent) == "true",
		Deadline:   allowed, Method: r.Method, Path: path, Body: body,
	}, nil
}

func (s *Server) status(c echo.Context) error {
	host, err := s.host(c)
	if err != nil {
		return err
	}
	status, err := s.view(c).Upstreams.Status(c.Request().Context(), host)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, wire.FromUpstreamStatus(status))
}
