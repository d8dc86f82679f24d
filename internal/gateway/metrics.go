package gateway

import (
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/api"
)

// recordMetrics counts the responses and records their times by route, status and
// outcome. The outcome is empty for responses without one.
func (g *Gateway) recordMetrics(next echo.HandlerFunc) echo.HandlerFunc {
	scope := g.services.Scope
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("gateway")
	return func(c echo.Context) error {
		started := time.Now()
		err := next(c)
		if err != nil {
			// Write the response here, so that its status can be recorded.
			c.Error(err)
		}
		tagged := scope.Tagged(map[string]string{
			"route": c.Path(), "status": strconv.Itoa(c.Response().Status),
			"outcome": c.Response().Header().Get(api.HeaderOutcome),
		})
		tagged.Counter("answers").Inc(1)
		tagged.Timer("answer_time").Record(time.Since(started))
		return nil
	}
}
