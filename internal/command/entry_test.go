package command

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/plan"
)

// fakeEntry is an HTTP handler that responds as an entry host with one team. The
// path /v1/jobs/lost aborts the connection, so that the response is lost.
type fakeEntry struct {
	*http.ServeMux
	mu      sync.Mutex
	section plan.Section
}

func newFakeEntry() *fakeEntry {
	f := &fakeEntry{ServeMux: http.NewServeMux(), section: plan.Section{Team: "payments", Revision: 7}}
	f.HandleFunc("GET /v1/plan/payments", f.get)
	f.HandleFunc("PUT /v1/plan/payments", f.put)
	f.HandleFunc("GET /v1/plan-status", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, api.PlanStatus{Hosts: []api.HostPlan{
			{Name: "kita-hakata-1", DataCentre: "kita-hakata", Reachable: true, Revisions: map[string]uint64{"payments": 7}},
			{Name: "minami-kago-1", DataCentre: "minami-kago"},
		}})
	})
	f.HandleFunc("POST /v1/cancel", func(w http.ResponseWriter, r *http.Request) {
		var cancel api.Cancel
		err := json.NewDecoder(r.Body).Decode(&cancel)
		if err != nil || cancel.Selector == nil || *cancel.Selector != (api.Selector{Team: "payments", Name: "settlement"}) {
			reply(w, http.StatusBadRequest, api.Error{Kind: "invalid", Message: "another selector"})
			return
		}
		reply(w, http.StatusOK, api.Cancelled{Jobs: 3})
	})
	f.HandleFunc("GET /v1/jobs/lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	f.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		reply(w, http.StatusNotFound, api.Error{Kind: "missing", Message: "nothing at " + r.URL.Path})
	})
	return f
}

func (f *fakeEntry) get(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := plan.EncodeSection(f.section)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(data)
}

func (f *fakeEntry) put(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Header.Get("Authorization") != "Bearer payments-key-0001" {
		reply(w, http.StatusForbidden, api.Error{Kind: "forbidden", Message: "the key is not that of payments"})
		return
	}
	section, err := plan.DecodeSection(r.Body)
	base, baseErr := strconv.ParseUint(r.Header.Get(api.HeaderBaseRevision), 10, 64)
	if err := errors.Join(err, baseErr); err != nil {
		reply(w, http.StatusBadRequest, api.Error{Kind: "invalid", Message: err.Error()})
		return
	}
	if base != f.section.Revision {
		conflict := &plan.Conflict{
			Team: "payments", Base: base, Current: f.section.Revision,
			Differences: plan.Compare(plan.Section{}, f.section, section),
		}
		reply(w, http.StatusConflict, api.Error{Kind: string(plan.KindConflict), Message: conflict.Error()})
		return
	}
	section.Revision = base + 1
	f.section = section
	reply(w, http.StatusOK, api.Accepted{Team: section.Team, Revision: section.Revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
