package gateway

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/repeat"
)

// minDeadline is the shortest deadline that a caller may set.
const minDeadline = 10 * time.Millisecond

// serveRequest serves a caller's request to a service.
func (g *Gateway) serveRequest(c echo.Context) error {
	r, err := g.readRequest(c)
	var tooLarge *echo.HTTPError
	switch {
	case errors.As(err, &tooLarge):
		return err
	case err != nil:
		return refuse(c, http.StatusBadRequest, err.Error())
	}
	a := g.services.Requests.Do(c.Request().Context(), r)
	c.Response().Header().Set(api.HeaderOutcome, string(a.Outcome))
	switch a.Outcome {
	case message.OutcomeAnswered:
		c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(a.Body)))
		return c.Blob(a.Status, echo.MIMEOctetStream, a.Body)
	case message.OutcomeNotRun:
		setRetryAfter(c, a.RetryAfter)
		return c.JSON(http.StatusServiceUnavailable, api.Error{
			Kind: "not run", Message: a.Reason, RetryAfter: a.RetryAfter.String(),
		})
	case message.OutcomeUnknown:
	}
	return c.JSON(http.StatusBadGateway, api.Error{Kind: "unknown", Message: a.Reason})
}

func (g *Gateway) readRequest(c echo.Context) (message.Request, error) {
	h := c.Request().Header
	service := c.Param("service")
	r := message.Request{
		ID: uuid.NewString(), Service: service, Key: h.Get(api.HeaderIdempotencyKey), Timeout: g.limits.DefaultDeadline,
		Method: c.Request().Method, Path: servicePath(c.Request().URL), Caller: identity(c).Name,
	}
	policy, team, known := g.services.Plans.Book().Service(service)
	longest := g.limits.MaxDeadline
	if known {
		r.Team = team
		r.Idempotent = policy.Idempotent
		r.Urgent = policy.Priority == job.PriorityUrgent
		longest = min(longest, policy.MaxDeadline)
	}
	switch c.Request().Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		r.Idempotent = true
	}
	var err error
	if text := h.Get(api.HeaderDeadline); text != "" {
		r.Timeout, err = time.ParseDuration(text)
		if err != nil || r.Timeout < minDeadline || r.Timeout > longest {
			return r, fmt.Errorf("header %s is %q; allowed: %v to %v", api.HeaderDeadline, text, minDeadline, longest)
		}
	}
	r.Timeout = min(r.Timeout, longest)
	if text := h.Get(api.HeaderIdempotent); text != "" {
		if r.Idempotent, err = strconv.ParseBool(text); err != nil {
			return r, fmt.Errorf("header %s is %q; allowed: true or false", api.HeaderIdempotent, text)
		}
	}
	switch text := h.Get(api.HeaderPriority); text {
	case "":
	case "Normal":
		r.Urgent = false
	case "Urgent":
		r.Urgent = true
	default:
		return r, fmt.Errorf("header %s is %q; allowed: Normal or Urgent", api.HeaderPriority, text)
	}
	if r.Key != "" {
		if _, _, err := repeat.ParseKeyWithHome(r.Key, !r.Idempotent); err != nil {
			return r, err
		}
	}
	r.Body, err = io.ReadAll(c.Request().Body)
	return r, err
}

// servicePath returns the path after the service's name with the query, escaped
// as the caller sent it.
func servicePath(u *url.URL) string {
	const prefix = len("/v1/services/")
	_, rest, _ := strings.Cut(u.EscapedPath()[prefix:], "/")
	if u.RawQuery != "" {
		rest += "?" + u.RawQuery
	}
	return "/" + rest
}

// issueIdempotencyKey responds with a new idempotency key, for one request and its repeats.
func (g *Gateway) issueIdempotencyKey(c echo.Context) error {
	key, err := g.services.Requests.NewKey()
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, api.Key{Key: key})
}

// setRetryAfter sets the header Retry-After, in seconds that are rounded up.
func setRetryAfter(c echo.Context, after time.Duration) {
	if after > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
}
