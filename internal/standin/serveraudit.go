package standin

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// auditResponse is the JSON form of Findings.
type auditResponse struct {
	Doubled              int
	OverfullHosts        int
	OverfullUpstreams    int
	TasksInTwoPlaces     int
	TaskRuns             int
	RequestRuns          int
	Packing              float64
	StoreWritesPerSecond float64
	TasksStarted         int
}

// audit responds with the findings that follow from the journals alone. Those that
// depend on events of callers and entry hosts are known only in the process that
// records the events.
func (s *Server) audit(c echo.Context) error {
	f := s.deployment.Audit.Findings()
	tasks := s.deployment.Journal.Tasks()
	return c.JSON(http.StatusOK, auditResponse{
		Doubled: f.Doubled, OverfullHosts: f.OverfullHosts, OverfullUpstreams: f.OverfullUpstreams,
		TasksInTwoPlaces: f.TasksInTwoPlaces, TaskRuns: len(tasks),
		RequestRuns: len(s.deployment.Journal.Requests()),
		Packing:     f.Packing, StoreWritesPerSecond: f.StoreWritesPerSecond,
		TasksStarted: len(firstStarts(tasks)),
	})
}
