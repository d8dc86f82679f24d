package entry

import (
	"context"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

// Jobs routes the requests of callers and operators about jobs and workers to the
// owner of the workers concerned.
type Jobs struct {
	location Location
	leases   *Leases
	owned    *OwnedUnits
	hosts    *HostView
	peers    PeerCaller
	table    Table
}

// NewJobs returns the router of an entry host.
func NewJobs(location Location, leases *Leases, owned *OwnedUnits, hosts *HostView, peers PeerCaller, table Table) *Jobs {
	return &Jobs{location: location, leases: leases, owned: owned, hosts: hosts, peers: peers, table: table}
}

// Submit submits a job to the data centre that it names, or to this one.
func (j *Jobs) Submit(ctx context.Context, s job.Spec) message.Submitted {
	if err := pool.CheckSpec(s); err != nil {
		return message.Submitted{Outcome: message.OutcomeNotRun, Reason: err.Error(), Invalid: true}
	}
	if s.DataCentre == "" {
		s.DataCentre = j.location.DataCentre
	}
	if p, ok := j.owned.Pool(); ok && s.DataCentre == j.location.DataCentre {
		return p.Submit(ctx, s)
	}
	var out message.Submitted
	err := j.callOwner(ctx, s.DataCentre, message.EncodeSubmit(message.Submit{Spec: s}), func(m peer.Message) (err error) {
		out, err = message.DecodeSubmitted(m)
		return err
	})
	switch {
	case err == nil:
		return out
	case fault.Is(err, peer.KindNotSent), fault.Is(err, peer.KindRefused), fault.Is(err, KindUnavailable):
		return message.Submitted{Outcome: message.OutcomeNotRun, Reason: err.Error(), RetryAfter: submitRetryAfter}
	}
	return message.Submitted{Outcome: message.OutcomeUnknown, Reason: err.Error(), RetryAfter: submitRetryAfter}
}

// callOwner calls the owner of the workers of a data centre. It reaches the owner
// in another data centre through any entry host there, and tries the next entry
// host only if the call was not sent to the one before.
func (j *Jobs) callOwner(ctx context.Context, dataCentre string, m peer.Message, read func(peer.Message) error) error {
	if dataCentre == j.location.DataCentre {
		owner, ok := j.leases.Owner(poolUnit)
		if !ok {
			return fault.New("ask", KindUnavailable, "no entry host owns the workers of %s just now", dataCentre)
		}
		reply, err := j.peers.Call(ctx, owner.Addr, m)
		if err != nil {
			return err
		}
		return read(reply)
	}
	err := fault.New("ask", KindUnavailable, "data centre %q has no entry host in the host list", dataCentre)
	for _, h := range j.hosts.EntryHosts(dataCentre) {
		var reply peer.Message
		reply, err = j.peers.Call(ctx, h.Addr, m)
		if err == nil {
			return read(reply)
		}
		if !fault.Is(err, peer.KindNotSent) {
			return err
		}
	}
	return err
}

// ServeSubmit serves a submission that a peer has forwarded.
func (j *Jobs) ServeSubmit(ctx context.Context, from peer.Host, s job.Spec) message.Submitted {
	if p, ok := j.owned.Pool(); ok {
		return p.Submit(ctx, s)
	}
	if from.DataCentre != j.location.DataCentre {
		return j.Submit(ctx, s)
	}
	return message.Submitted{
		Outcome: message.OutcomeNotRun, Reason: "the workers have another owner", RetryAfter: submitRetryAfter,
	}
}

// Status returns the state of a job: from the owner of the workers while the job
// is open, from its row otherwise.
func (j *Jobs) Status(ctx context.Context, id string) (message.JobStatus, error) {
	row, err := j.table.Get(ctx, jobKey(id))
	if err != nil {
		return message.JobStatus{}, err
	}
	r, err := decodeJobRow(row)
	if err != nil {
		return message.JobStatus{}, err
	}
	out := message.JobStatus{State: r.State, Message: r.Message, Spec: job.Spec{
		ID: id, DataCentre: r.DataCentre, Team: r.Team, Name: r.Name, Kind: r.Kind, Tasks: r.Tasks,
	}}
	if r.State.Final() {
		return out, nil
	}
	open, err := j.List(ctx, r.DataCentre, message.JobQuery{ID: id})
	if err != nil || len(open) == 0 {
		// The row is correct, if less detailed.
		return out, nil
	}
	return open[0], nil
}

// List returns the open jobs of a data centre that match a query.
func (j *Jobs) List(ctx context.Context, dataCentre string, q message.JobQuery) ([]message.JobStatus, error) {
	if p, ok := j.owned.Pool(); ok && dataCentre == j.location.DataCentre {
		return p.Jobs(ctx, q)
	}
	var out message.JobAnswer
	err := j.callOwner(ctx, dataCentre, message.EncodeJobQuery(q), func(m peer.Message) (err error) {
		out, err = message.DecodeJobAnswer(m)
		return err
	})
	return out.Jobs, err
}

// Cancel cancels the open jobs of a data centre that match.
func (j *Jobs) Cancel(ctx context.Context, dataCentre string, c message.Cancel) ([]string, error) {
	if p, ok := j.owned.Pool(); ok && dataCentre == j.location.DataCentre {
		return p.Cancel(ctx, c)
	}
	var out message.Cancelled
	err := j.callOwner(ctx, dataCentre, message.EncodeCancel(c), func(m peer.Message) (err error) {
		out, err = message.DecodeCancelled(m)
		return err
	})
	if err == nil && out.Reason != "" {
		err = fault.New("cancel", KindUnknown, "%s", out.Reason)
	}
	return out.Jobs, err
}

// Workers returns the state of the workers of a data centre.
func (j *Jobs) Workers(ctx context.Context, dataCentre string) ([]message.WorkerStatus, error) {
	if p, ok := j.owned.Pool(); ok && dataCentre == j.location.DataCentre {
		return p.Workers(ctx)
	}
	var out message.WorkersAnswer
	q := message.EncodeWorkersQuery(message.WorkersQuery{})
	err := j.callOwner(ctx, dataCentre, q, func(m peer.Message) (err error) {
		out, err = message.DecodeWorkersAnswer(m)
		return err
	})
	return out.Workers, err
}

// Cordon cordons, uncordons or quarantines a worker of a data centre.
func (j *Jobs) Cordon(ctx context.Context, dataCentre string, c message.Cordon) error {
	if p, ok := j.owned.Pool(); ok && dataCentre == j.location.DataCentre {
		return p.Cordon(ctx, c)
	}
	var out message.Cordoned
	q := message.EncodeCordon(c)
	err := j.callOwner(ctx, dataCentre, q, func(m peer.Message) (err error) {
		out, err = message.DecodeCordoned(m)
		return err
	})
	if err == nil && out.Reason != "" {
		err = fault.New("cordon", platform.KindMissing, "%s", out.Reason)
	}
	return err
}

// DataCentres returns the data centres of the host list, sorted by name.
func (j *Jobs) DataCentres() []string { return dataCentres(j.hosts.All()) }
