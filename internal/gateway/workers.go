package gateway

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/credential"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// States of a worker or an upstream instance in the API.
const (
	stateReady       = "Ready"
	stateDraining    = "Draining"
	stateQuarantined = "Quarantined"
	stateLeaving     = "Leaving"
	stateLost        = "Lost"
)

func (g *Gateway) listWorkers(c echo.Context) error {
	out := api.WorkerList{Workers: []api.Worker{}}
	var err error
	out.Unreached, err = g.forEachDataCentre(func(dc string) error {
		workers, err := g.services.Jobs.Workers(c.Request().Context(), dc)
		for _, w := range workers {
			out.Workers = append(out.Workers, workerView(dc, w))
		}
		return err
	})
	if err != nil && g.noneReached(out.Unreached) {
		return refuseNotRun(c, err.Error(), time.Second)
	}
	return c.JSON(http.StatusOK, out)
}

func workerView(dataCentre string, w message.WorkerStatus) api.Worker {
	state := stateReady
	switch {
	case w.UnreachableFor > 0:
		state = stateLost
	case w.Leaving:
		state = stateLeaving
	case w.Cordoned:
		state = stateDraining
	case w.Quarantined:
		state = stateQuarantined
	}
	return api.Worker{
		Name: w.Name, DataCentre: dataCentre, Rack: w.Rack, State: state,
		Room: api.Size(w.Capacity), Reserved: api.Size(w.Used), Tasks: w.Tasks,
	}
}

// cordonWorker returns a handler that cordons a worker: it gets no new work. The
// state selects the mode: a draining worker also loses its service tasks, and a
// quarantined one gets work again once its probes succeed.
func (g *Gateway) cordonWorker(state string) echo.HandlerFunc {
	return func(c echo.Context) error {
		if identity(c).Role != credential.RoleOperator {
			return refuse(c, http.StatusForbidden, "only an operator may close a worker")
		}
		name := c.Param("name")
		request := message.Cordon{Worker: name, Closed: true, Quarantine: state == stateQuarantined}
		for _, h := range g.services.Hosts.All() {
			if h.Role != platform.RoleWorker || h.Name != name {
				continue
			}
			if err := g.services.Jobs.Cordon(c.Request().Context(), h.DataCentre, request); err != nil {
				return refuseNotRun(c, err.Error(), time.Second)
			}
			return c.JSON(http.StatusOK, api.Worker{
				Name: name, DataCentre: h.DataCentre, Rack: h.Rack, State: state, Room: api.Size(h.Capacity),
			})
		}
		return refuse(c, http.StatusNotFound, "no worker is named "+name)
	}
}

func (g *Gateway) listUpstreams(c echo.Context) error {
	out := []api.Upstream{}
	for _, h := range g.services.Hosts.All() {
		if h.Role != platform.RoleUpstream {
			continue
		}
		state := stateReady
		if h.Leaving {
			state = stateLeaving
		}
		out = append(out, api.Upstream{
			Name: h.Name, Service: h.Service, DataCentre: h.DataCentre, State: state, Slots: h.Slots,
		})
	}
	return c.JSON(http.StatusOK, out)
}
