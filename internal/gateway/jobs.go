package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

func (g *Gateway) submit(c echo.Context) error {
	s, err := api.DecodeJob(c.Request().Body)
	if err != nil {
		return refuse(c, http.StatusBadRequest, err.Error())
	}
	if !mayChange(c, s.Team) {
		return refuseForbidden(c, s.Team)
	}
	out := g.services.Jobs.Submit(c.Request().Context(), s)
	c.Response().Header().Set(api.HeaderOutcome, string(out.Outcome))
	switch {
	case out.Outcome == message.OutcomeAnswered:
		return c.JSON(http.StatusOK, api.JobStatus{
			ID: s.ID, Team: s.Team, Name: s.Name, Kind: string(s.Kind), State: string(out.State), Tasks: s.Tasks,
		})
	case out.Invalid:
		return refuse(c, http.StatusUnprocessableEntity, out.Reason)
	case out.Outcome == message.OutcomeNotRun:
		return refuseNotRun(c, out.Reason, out.RetryAfter)
	}
	return c.JSON(http.StatusBadGateway, api.Error{Kind: "unknown", Message: out.Reason})
}

// refuseNotRun responds to a request that did not run and may be retried later.
func refuseNotRun(c echo.Context, reason string, after time.Duration) error {
	c.Response().Header().Set(api.HeaderOutcome, string(message.OutcomeNotRun))
	setRetryAfter(c, after)
	return c.JSON(http.StatusServiceUnavailable, api.Error{
		Kind: "not run", Message: reason, RetryAfter: after.String(),
	})
}

func (g *Gateway) jobStatus(c echo.Context) error {
	s, err := g.services.Jobs.Status(c.Request().Context(), c.Param("id"))
	switch {
	case err == nil:
		return c.JSON(http.StatusOK, jobStatus(s))
	case fault.Is(err, platform.KindMissing):
		return refuse(c, http.StatusNotFound, "no job has the ID "+c.Param("id"))
	}
	return refuseNotRun(c, err.Error(), time.Second)
}

// jobStatus converts the status of a job to its JSON form. Done counts all tasks
// that have ended, including failed ones.
func jobStatus(s message.JobStatus) api.JobStatus {
	return api.JobStatus{
		ID: s.Spec.ID, Team: s.Spec.Team, Name: s.Spec.Name, Kind: string(s.Spec.Kind), State: string(s.State),
		Tasks: s.Spec.Tasks, Running: s.Running, Done: s.Ended, Message: s.Message,
	}
}

// forEachDataCentre calls a function for every data centre. unreached names the
// data centres for which it returned an error of any kind; err joins the errors.
func (g *Gateway) forEachDataCentre(call func(dataCentre string) error) (unreached []string, err error) {
	for _, dc := range g.services.Jobs.DataCentres() {
		if callErr := call(dc); callErr != nil {
			unreached = append(unreached, dc)
			err = errors.Join(err, fmt.Errorf("%s: %w", dc, callErr))
		}
	}
	return unreached, err
}

// noneReached reports whether the call failed for every data centre.
func (g *Gateway) noneReached(unreached []string) bool {
	return len(unreached) == len(g.services.Jobs.DataCentres())
}

func (g *Gateway) listJobs(c echo.Context) error {
	q := message.JobQuery{Team: c.QueryParam("Team"), Name: c.QueryParam("Name")}
	out := api.JobList{Jobs: []api.JobStatus{}}
	var err error
	out.Unreached, err = g.forEachDataCentre(func(dc string) error {
		jobs, err := g.services.Jobs.List(c.Request().Context(), dc, q)
		for _, s := range jobs {
			if state := c.QueryParam("State"); state == "" || state == string(s.State) {
				out.Jobs = append(out.Jobs, jobStatus(s))
			}
		}
		return err
	})
	if err != nil && g.noneReached(out.Unreached) {
		return refuseNotRun(c, err.Error(), time.Second)
	}
	return c.JSON(http.StatusOK, out)
}

func (g *Gateway) cancel(c echo.Context) error {
	var request api.Cancel
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return refuse(c, http.StatusBadRequest, "the cancel: "+err.Error())
	}
	if (request.ID == "") == (request.Selector == nil) {
		return refuse(c, http.StatusBadRequest, "the cancel needs either ID or Selector")
	}
	m := message.Cancel{ID: request.ID}
	if request.Selector != nil {
		m.Team, m.Name = request.Selector.Team, request.Selector.Name
	}
	var out api.Cancelled
	var forbidden *job.Spec
	var err error
	out.Unreached, err = g.forEachDataCentre(func(dc string) error {
		if forbidden != nil {
			return nil
		}
		n, other, err := g.cancelIn(c, dc, m)
		out.Jobs += n
		forbidden = other
		return err
	})
	switch {
	case forbidden != nil:
		return refuseForbidden(c, forbidden.Team)
	case errors.Is(err, errMaybeCancelled):
		c.Response().Header().Set(api.HeaderOutcome, string(message.OutcomeUnknown))
		return c.JSON(http.StatusBadGateway, api.Error{Kind: "unknown", Message: err.Error()})
	case err == nil || request.ID != "" && out.Jobs > 0:
		out.Unreached = nil
	case request.ID != "" || g.noneReached(out.Unreached):
		// The job with that ID may be in a data centre that was not reached, or
		// no data centre was reached at all.
		return refuseNotRun(c, err.Error(), time.Second)
	}
	return c.JSON(http.StatusOK, out)
}

// cancelIn cancels the matching jobs of a data centre. If the caller may not
// cancel one of them, forbidden is the specification of that job, and no job of
// the data centre is cancelled.
func (g *Gateway) cancelIn(c echo.Context, dataCentre string, m message.Cancel) (n int, forbidden *job.Spec, err error) {
	ctx := c.Request().Context()
	jobs, err := g.services.Jobs.List(ctx, dataCentre, message.JobQuery(m))
	if err != nil {
		return 0, nil, err
	}
	for _, s := range jobs {
		if !mayChange(c, s.Spec.Team) {
			return 0, &s.Spec, nil
		}
	}
	if len(jobs) == 0 {
		return 0, nil, nil
	}
	names, err := g.services.Jobs.Cancel(ctx, dataCentre, m)
	if err != nil {
		err = fmt.Errorf("%w: %w", errMaybeCancelled, err)
	}
	return len(names), nil, err
}

// errMaybeCancelled marks a cancel that was requested but not confirmed.
var errMaybeCancelled = errors.New("the cancel may be recorded")
