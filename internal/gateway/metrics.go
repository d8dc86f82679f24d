package gateway

import (
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/api"
)

// recordMetrics counts the answers and their time by route, status and outcome. The
// outcome is empty for answers that have none.
func (g *Gateway) recordMetrics(next echo.HandlerFunc) echo.HandlerFunc {
	scope := g.services.Scope
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("gateway")
	return func(c echo.Context) error {
		begun := time.Now()
		err := next(c)
		if err != nil {
			// The answer is written here, so that it can be counted.
			c.Error(err)
		}
		tagged := scope.Tagged(map[string]string{
			"route": c.Path(), "status": strconv.Itoa(c.Response().Status),
			"outcome": c.Response().Header().Get(api.HeaderOutcome),
		})
		tagged.Counter("answers").Inc(1)
		tagged.Timer("answer_time").Record(time.Since(begun))
		return nil
	}
}
