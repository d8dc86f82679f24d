package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/plan"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const editInterval = 400 * time.Millisecond

// editor edits the sections of all teams. Some of its edits are based on a stale
// revision.
type editor struct {
	cluster *Cluster
	client  *http.Client
	random  *rand.Rand
	timers  timer.Service

	latestRevisions map[string]uint64
	accepted        int
	failed          int
}

func (e *editor) run(ctx context.Context) {
	for sleep(ctx, e.timers, time.Duration(e.random.Int64N(int64(2*editInterval)))) {
		e.edit(teams[e.random.IntN(len(teams))])
	}
}

// edit submits a section, based on the latest known revision or, in a fifth of
// the edits, on the one before it.
func (e *editor) edit(team string) {
	base := e.latestRevisions[team]
	if base > 0 && e.random.IntN(5) == 0 {
		base--
	}
	s := e.section(team, base)
	b, err := plan.EncodeSection(s)
	hosts := e.cluster.Up("")
	if err != nil || len(hosts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	target := hosts[e.random.IntN(len(hosts))].URL
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target+api.PathPlan+"/"+team, bytes.NewReader(b))
	if err != nil {
		return
	}
	req.Header.Set(api.HeaderBaseRevision, strconv.FormatUint(base, 10))
	resp, err := e.client.Do(req)
	if err != nil {
		e.resync(team)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var accepted api.Accepted
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&accepted) != nil {
		e.failed++
		e.resync(team)
		return
	}
	e.accepted++
	e.latestRevisions[team] = accepted.Revision
}

// resync reads the latest revision of a section from its row.
func (e *editor) resync(team string) {
	row, err := e.cluster.Deployment.Table.Get(context.Background(), "plan/"+team)
	if err == nil {
		e.latestRevisions[team] = row.Version
	}
}

func (e *editor) section(team string, base uint64) plan.Section {
	s := plan.Section{
		Team: team, Revision: base,
		Quota: plan.Quota{
			Guaranteed: job.Size{MilliCores: 10_000, MemoryMB: 10_000},
			Limit:      job.Size{MilliCores: 2_000_000, MemoryMB: 4_000_000, Accelerators: 1_000},
		},
		Jobs: []plan.JobPolicy{{
			Name: "build", Kind: job.KindBatch, Priority: job.PriorityNormal, MaxAttempts: 1 + e.random.IntN(9),
			Replayable: true, Preemptible: true, GracePeriod: time.Second,
		}},
	}
	if team == teams[0] {
		s.Services = []plan.Service{{
			Name: e.cluster.Deployment.Service, MaxDeadline: maxDeadline, RetryBudget: 0.1, Priority: job.PriorityNormal,
		}}
	}
	return s
}

// notInForce returns "host:team" for each section whose latest revision is not in
// force on a host.
func (e *editor) notInForce() []string {
	var out []string
	for _, m := range e.cluster.Up("") {
		for _, team := range teams {
			row, err := e.cluster.Deployment.Table.Get(context.Background(), "plan/"+team)
			if err != nil {
				continue
			}
			s, _ := m.entry.Plans().Book().Section(team)
			if s.Revision != row.Version {
				out = append(out, fmt.Sprintf("%s:%s", m.Host.Name, team))
			}
		}
	}
	return out
}
