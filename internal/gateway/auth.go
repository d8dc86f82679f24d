package gateway

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/credential"
	"cicadabarrow.example/cicadabarrow/internal/message"
)

const identityKey = "identity"

func byteLimit(n int64) string { return strconv.FormatInt(n, 10) + "B" }

// authenticate refuses a request without a known bearer key. A gateway without
// keys, as in a demo, treats every caller as an operator.
func (g *Gateway) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if g.keys == nil {
			c.Set(identityKey, credential.Identity{Name: "anyone", Role: credential.RoleOperator})
			return next(c)
		}
		bearer, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok {
			return refuse(c, http.StatusUnauthorized, "the header Authorization needs a bearer key")
		}
		caller, ok := g.keys.Lookup(bearer)
		if !ok {
			return refuse(c, http.StatusUnauthorized, "the bearer key is not known")
		}
		c.Set(identityKey, caller)
		return next(c)
	}
}

func identity(c echo.Context) credential.Identity {
	caller, _ := c.Get(identityKey).(credential.Identity)
	return caller
}

// mayChange reports whether the caller may change what belongs to a team.
func mayChange(c echo.Context, team string) bool { return identity(c).MayChange(team) }

func refuseForbidden(c echo.Context, team string) error {
	return refuse(c, http.StatusForbidden, "the key of "+identity(c).Name+" may not change what belongs to team "+strconv.Quote(team))
}

// refuse responds with an error to a request that did not run.
func refuse(c echo.Context, status int, text string) error {
	c.Response().Header().Set(api.HeaderOutcome, string(message.OutcomeNotRun))
	return c.JSON(status, api.Error{Kind: errorKind(status), Message: text})
}

func errorKind(status int) string {
	switch status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return "invalid"
	case http.StatusUnauthorized, http.StatusForbidden:
		return "forbidden"
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return "missing"
	case http.StatusConflict:
		return "conflict"
	case http.StatusRequestEntityTooLarge:
		return "too large"
	case http.StatusServiceUnavailable:
		return "not run"
	}
	return "unknown"
}
