package gateway

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/plan"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

func (g *Gateway) getPlan(c echo.Context) error {
	b, err := plan.EncodeDocument(g.services.Plans.Book().Document())
	if err != nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, b)
}

func (g *Gateway) getSection(c echo.Context) error {
	s, ok := g.services.Plans.Book().Section(c.Param("team"))
	if !ok {
		return refuse(c, http.StatusNotFound, "team "+strconv.Quote(c.Param("team"))+" has no section")
	}
	b, err := plan.EncodeSection(s)
	if err != nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, b)
}

// workerCapacity returns the capacity of the workers in the host list: in total
// and the largest of each resource.
func (g *Gateway) workerCapacity() plan.Capacity {
	var r plan.Capacity
	for _, h := range g.services.Hosts.All() {
		if h.Role == platform.RoleWorker {
			r.LargestWorker = r.LargestWorker.Max(h.Capacity)
			r.Total = r.Total.Add(h.Capacity)
		}
	}
	return r
}

// readSection decodes the section of a request and checks it against the other
// sections and the capacity of the workers.
func (g *Gateway) readSection(c echo.Context) (plan.Section, error) {
	others := g.services.Plans.Book().Document()
	delete(others, c.Param("team"))
	s, err := plan.DecodeChecked(c.Request().Body, others, g.workerCapacity())
	if err == nil && s.Team != c.Param("team") {
		err = fault.New("read section", plan.KindInvalid, "Team is %q; allowed: %q, as in the path", s.Team, c.Param("team"))
	}
	return s, err
}

func (g *Gateway) checkSection(c echo.Context) error {
	s, err := g.readSection(c)
	if err != nil {
		return refuse(c, http.StatusUnprocessableEntity, err.Error())
	}
	return c.JSON(http.StatusOK, api.Checked{Team: s.Team, Valid: true})
}

func (g *Gateway) editSection(c echo.Context) error {
	team := c.Param("team")
	if !mayChange(c, team) {
		return refuseForbidden(c, team)
	}
	text := c.Request().Header.Get(api.HeaderBaseRevision)
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return refuse(c, http.StatusBadRequest, "header "+api.HeaderBaseRevision+" is "+strconv.Quote(text)+"; allowed: the revision that the edit was made from, or 0")
	}
	s, err := g.readSection(c)
	if err != nil {
		return refuse(c, http.StatusUnprocessableEntity, err.Error())
	}
	accepted, err := g.services.Plans.Edit(c.Request().Context(), plan.Edit{
		Team: team, Base: base, Section: s, Capacity: g.workerCapacity(), Author: identity(c).Name,
	})
	var conflict *plan.Conflict
	switch {
	case err == nil:
		return c.JSON(http.StatusOK, api.Accepted{Team: accepted.Team, Revision: accepted.Revision})
	case errors.As(err, &conflict):
		return refuse(c, http.StatusConflict, conflict.Error())
	case fault.Is(err, plan.KindInvalid):
		return refuse(c, http.StatusUnprocessableEntity, err.Error())
	case fault.Is(err, plan.KindNotRun):
		return refuseNotRun(c, err.Error(), time.Second)
	}
	return c.JSON(http.StatusBadGateway, api.Error{Kind: "unknown", Message: err.Error()})
}

func (g *Gateway) sectionHistory(c echo.Context) error {
	past, err := g.services.Plans.History(c.Request().Context(), c.Param("team"))
	if err != nil {
		return refuseNotRun(c, err.Error(), time.Second)
	}
	b, err := plan.EncodeHistory(past)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, bytes.TrimSpace(b))
}

func (g *Gateway) planStatus(c echo.Context) error {
	reached, unreached := g.services.Statuses.Statuses(c.Request().Context())
	var out api.PlanStatus
	for _, s := range reached {
		h := api.HostPlan{Name: s.Name, DataCentre: s.DataCentre, Reachable: true, Revisions: make(map[string]uint64)}
		for _, r := range s.Revisions {
			h.Revisions[r.Team] = r.Revision
		}
		out.Hosts = append(out.Hosts, h)
	}
	for _, name := range unreached {
		out.Hosts = append(out.Hosts, api.HostPlan{Name: name})
	}
	return c.JSON(http.StatusOK, out)
}
