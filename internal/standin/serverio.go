package standin

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/wire"
)

// errTooLarge is the error of a request body above wire.MaxRequestBytes.
var errTooLarge = fmt.Errorf("the body has more than %d bytes", wire.MaxRequestBytes)

// view returns the platform as the calling entry host reaches it.
func (s *Server) view(c echo.Context) *View {
	return s.deployment.View(c.Request().Header.Get(wire.HeaderFrom))
}

// pathName returns the second element of the path, unescaped. It does not use the
// router's parameters, which are unescaped only for some paths.
func pathName(c echo.Context) (string, error) {
	escaped := strings.Split(c.Request().URL.EscapedPath(), "/")[2]
	value, err := url.PathUnescape(escaped)
	if err != nil {
		return "", invalid("request", "the name in the path is %q, which is malformed", escaped)
	}
	return value, nil
}

// host returns the host of the worker or upstream that the path names.
func (s *Server) host(c echo.Context) (platform.Host, error) {
	name, err := pathName(c)
	if err != nil {
		return platform.Host{}, err
	}
	if w := s.deployment.Workers.Get(name); w != nil {
		return w.Host(), nil
	}
	if u := s.deployment.Upstreams.Get(name); u != nil {
		return u.Host(), nil
	}
	return platform.Host{}, notRun("request", "no host %q", name)
}

func readBody(c echo.Context) ([]byte, error) {
	r := c.Request()
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, wire.MaxRequestBytes))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, invalid("request", "%w", errTooLarge)
	case err != nil:
		return nil, notRun("request", "the body could not be read: %w", err)
	}
	return body, nil
}

// decode reads the JSON body of a request.
func decode[T any](c echo.Context) (T, error) {
	body, err := readBody(c)
	if err != nil {
		var none T
		return none, err
	}
	return wire.Decode[T]("request", body)
}

// handleError responds to a call that failed. If the outcome is unknown, it closes
// the connection without a response.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var routing *echo.HTTPError
	var cut *cutResponseError
	switch {
	case errors.As(err, &routing):
		s.sendError(c, routing.Code, wire.Error{
			Kind:    string(platform.KindInvalid),
			Message: fmt.Sprintf("%s %s: %v", c.Request().Method, c.Request().URL.Path, routing.Message),
		})
		return
	case errors.As(err, &cut):
		s.abortConnection(c, cut)
		return
	}
	e := wire.FromError(err)
	status := http.StatusBadRequest
	switch platform.Kind(e.Kind) {
	case platform.KindMissing:
		status = http.StatusNotFound
	case platform.KindConflict:
		status = http.StatusConflict
	case platform.KindNotRun:
		status = http.StatusServiceUnavailable
	case platform.KindUnknown:
		s.abortConnection(c, &cutResponseError{cut: CutBefore})
		return
	case platform.KindInvalid:
		if errors.Is(err, errTooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
	}
	s.sendError(c, status, e)
}

func (s *Server) sendError(c echo.Context, status int, e wire.Error) {
	c.Response().Header().Set(wire.HeaderError, "true")
	if err := c.JSON(status, e); err != nil {
		s.log.Warn("error response could not be sent", zap.Error(err))
	}
}

// abortConnection closes the connection of a call before the response or in the
// middle of its body.
func (s *Server) abortConnection(c echo.Context, cut *cutResponseError) {
	conn, buffer, err := c.Response().Hijack()
	if err != nil {
		s.log.Error("connection could not be hijacked", zap.Error(err))
		return
	}
	defer func() { _ = conn.Close() }()
	if cut.cut != CutMidway {
		return
	}
	body := cut.response.Body
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s: %s\r\n\r\n%s",
		cut.response.Status, http.StatusText(cut.response.Status), len(body),
		wire.HeaderRequestID, cut.response.ID, body[:len(body)/2])
	_ = buffer.Flush() // The response is meant to be broken, so an error does not matter.
}
