package client

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/plan"
)

// Section returns the section of a team in force.
func (c *Client) Section(ctx context.Context, team string) (plan.Section, error) {
	body, err := c.do(ctx, call{op: "get section", method: http.MethodGet, path: api.PathPlan, name: team})
	if err != nil {
		return plan.Section{}, err
	}
	section, err := plan.DecodeSection(bytes.NewReader(body))
	if err != nil {
		return plan.Section{}, fault.New("get section", KindInvalid, "malformed response: %w", err)
	}
	return section, nil
}

// Plan returns all sections in force.
func (c *Client) Plan(ctx context.Context) (plan.Document, error) {
	body, err := c.do(ctx, call{op: "get plan", method: http.MethodGet, path: api.PathPlan})
	if err != nil {
		return nil, err
	}
	all, err := plan.DecodeDocument(bytes.NewReader(body))
	if err != nil {
		return nil, fault.New("get plan", KindInvalid, "malformed response: %w", err)
	}
	return all, nil
}

// Edit submits an edited section. Its revision is the one that the edit was made
// from.
func (c *Client) Edit(ctx context.Context, section plan.Section) (api.Accepted, error) {
	body, err := plan.EncodeSection(section)
	if err != nil {
		return api.Accepted{}, fault.New("edit", KindInvalid, "%w", err)
	}
	header := make(http.Header)
	header.Set(api.HeaderBaseRevision, strconv.FormatUint(section.Revision, 10))
	return doJSON[api.Accepted](ctx, c, call{
		op: "edit", method: http.MethodPut, path: api.PathPlan, name: section.Team, header: header, body: body,
	})
}

// Check validates a section on the entry host without changing the plan.
func (c *Client) Check(ctx context.Context, section plan.Section) (api.Checked, error) {
	body, err := plan.EncodeSection(section)
	if err != nil {
		return api.Checked{}, fault.New("check", KindInvalid, "%w", err)
	}
	return doJSON[api.Checked](ctx, c, call{
		op: "check", method: http.MethodPost, path: api.PathPlan, name: section.Team, action: "check", body: body,
	})
}

// History returns the accepted edits of a team, the latest first.
func (c *Client) History(ctx context.Context, team string) ([]plan.HistoryEntry, error) {
	body, err := c.do(ctx, call{op: "history", method: http.MethodGet, path: api.PathPlan, name: team, action: "history"})
	if err != nil {
		return nil, err
	}
	all, err := plan.DecodeHistory(body)
	if err != nil {
		return nil, fault.New("history", KindInvalid, "malformed response: %w", err)
	}
	return all, nil
}

// PlanStatus returns the revisions in force on each entry host.
func (c *Client) PlanStatus(ctx context.Context) (api.PlanStatus, error) {
	return doJSON[api.PlanStatus](ctx, c, call{op: "plan status", method: http.MethodGet, path: api.PathPlanStatus})
}
