package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/plan"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/ring"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/upstream"
)

const (
	// groupEventBuffer is the capacity of the event queue of a group. While the
	// queue is full, requests are refused.
	groupEventBuffer = 1024
	groupTick        = 20 * time.Millisecond
	// statusInterval is the interval at which instances with requests of
	// unknown state are asked for their status.
	statusInterval = 500 * time.Millisecond
	// answerMargin is how long before its caller's deadline a request gets its
	// outcome on this host, so that the outcome still reaches the caller.
	answerMargin = 20 * time.Millisecond
	// defaultRetryShare is the share of requests that may be retries if the plan
	// does not specify one.
	defaultRetryShare = 0.1
)

// Policies looks up the policies of services in the plan.
type Policies interface {
	Service(name string) (plan.Service, string, bool)
}

// GroupOwner serves one group of upstream instances while this host owns it. Its
// event loop drives an upstream.Group.
type GroupOwner struct {
	dataCentre string
	gained     lease.Gained
	plat       Platform
	hosts      *HostView
	policies   Policies
	guard      Guard
	timers     timer.Service
	log        *zap.Logger

	group          *upstream.Group
	pending        map[string]*pendingRequest
	events         *ring.Ring[func(now time.Time)]
	load           atomic.Pointer[upstream.Load]
	retryBudget    *upstream.RetryBudget
	random         *rand.Rand
	lastHosts      *[]platform.Host
	lastLeaving    []string
	statusInFlight bool
	nextStatusAt   time.Time
	work           sync.WaitGroup
	ctx            context.Context
	cancel         context.CancelFunc
	done           chan struct{}
}

// pendingRequest is a request that has no outcome yet.
type pendingRequest struct {
	request  message.Request
	deadline time.Time
	sends    int
	// inFlight is set while an attempt at an instance may be in progress.
	inFlight bool
	// mayHaveRun is set once an attempt had an unknown outcome. From then on
	// the request can no longer be refused as not run.
	mayHaveRun bool
	reply      chan message.Answer
}

// NewGroupOwner returns the owner of a gained group and starts its event loop.
func NewGroupOwner(
	dataCentre string, g lease.Gained, cfg upstream.Config, plat Platform, hosts *HostView, policies Policies,
	guard Guard, timers timer.Service, log *zap.Logger,
) *GroupOwner {
	ctx, cancel := context.WithCancel(context.Background())
	now := timers.Now()
	o := &GroupOwner{
		dataCentre: dataCentre, gained: g, plat: plat, hosts: hosts, policies: policies, guard: guard, timers: timers,
		log:         log.Named("group"),
		pending:     make(map[string]*pendingRequest),
		events:      ring.New[func(time.Time)](groupEventBuffer),
		retryBudget: upstream.NewRetryBudget(),
		random:      rand.New(rand.NewPCG(xxhash.Sum64String(string(g.Unit)), g.Epoch)),
		ctx:         ctx, cancel: cancel, done: make(chan struct{}),
	}
	instances, _ := o.instances()
	o.group = upstream.New(cfg, instances, g.First || g.Clean, now)
	o.load.Store(&upstream.Load{})
	go func() {
		defer close(o.done)
		o.run()
	}()
	return o
}

func (o *GroupOwner) run() {
	sub := o.timers.Every(groupTick)
	defer sub.Stop()
	for {
		select {
		case <-o.ctx.Done():
			o.endPending()
			return
		case <-sub.C:
			o.tick(o.timers.Now())
		case event := <-o.events.C():
			event(o.timers.Now())
		}
		load := o.group.Load(o.timers.Now())
		o.load.Store(&load)
	}
}

// endPending gives every pending request an outcome: not run if no attempt of it
// can have run, and unknown otherwise.
func (o *GroupOwner) endPending() {
	o.applyDecisions(o.group.RefuseAll("the group has another owner"))
	for id, p := range o.pending {
		if p.inFlight {
			o.finish(p, message.Answer{ID: id, Outcome: message.OutcomeUnknown, Reason: "the owner of the group ended"})
			continue
		}
		o.finish(p, notRun(id, "the owner of the group ended"))
	}
}

// instances returns the instances of the group and whether they changed since the
// last call. Instances that leave according to the plan are marked as leaving.
func (o *GroupOwner) instances() ([]platform.Host, bool) {
	listed := o.hosts.hosts.Load()
	leaving := o.planLeaving()
	if listed == o.lastHosts && slices.Equal(leaving, o.lastLeaving) {
		return nil, false
	}
	o.lastHosts, o.lastLeaving = listed, leaving
	instances := o.hosts.Group(o.dataCentre, o.gained.Unit)
	for i := range instances {
		instances[i].Leaving = instances[i].Leaving || slices.Contains(leaving, instances[i].Name)
	}
	return instances, true
}

func (o *GroupOwner) planLeaving() []string {
	policy, _, _ := o.policies.Service(serviceOf(o.gained.Unit))
	return policy.Leaving
}

func (o *GroupOwner) tick(now time.Time) {
	if instances, changed := o.instances(); changed {
		o.applyDecisions(o.group.SetInstances(instances, now))
	}
	o.applyDecisions(o.group.Tick(now))
	if o.statusInFlight || now.Before(o.nextStatusAt) {
		return
	}
	unsettled := o.group.NeedStatus(now)
	if len(unsettled) == 0 {
		return
	}
	o.statusInFlight = true
	o.nextStatusAt = now.Add(statusInterval)
	o.work.Go(func() { o.queryStatus(unsettled) })
}

// queryStatus asks the instances for their status concurrently, so that one that
// does not respond delays no other.
func (o *GroupOwner) queryStatus(instances []platform.Host) {
	ctx, cancel := context.WithTimeout(o.ctx, statusInterval)
	defer cancel()
	var queries sync.WaitGroup
	for _, h := range instances {
		queries.Go(func() {
			sentAt := o.timers.Now()
			status, err := o.plat.Upstreams.Status(ctx, h)
			if err != nil {
				return
			}
			o.post(func(now time.Time) { o.applyDecisions(o.group.StatusReported(h.Name, status, sentAt, now)) })
		})
	}
	queries.Wait()
	o.post(func(time.Time) { o.statusInFlight = false })
}

func (o *GroupOwner) post(e func(now time.Time)) { _ = o.events.Put(o.ctx, e) }

// Load returns the load of the group.
func (o *GroupOwner) Load() upstream.Load { return *o.load.Load() }

// Do sends a request to an instance of the group and returns its outcome. It waits
// for a free slot until the request's deadline.
func (o *GroupOwner) Do(ctx context.Context, r message.Request) message.Answer {
	p := &pendingRequest{
		request: r, deadline: o.timers.Now().Add(r.Timeout - answerMargin), reply: make(chan message.Answer, 1),
	}
	if !o.events.Offer(func(now time.Time) { o.accept(p, now) }) {
		return notRun(r.ID, "the owner of the group is too busy")
	}
	select {
	case a := <-p.reply:
		return a
	case <-ctx.Done():
		// The event loop answers the request: as not run if no attempt of it can
		// have run, and with an unknown outcome otherwise.
		o.post(func(time.Time) { o.withdraw(p) })
	case <-o.done:
	}
	select {
	case a := <-p.reply:
		return a
	case <-o.done:
	}
	// The event loop has answered all requests that it had received; any other
	// request has not run.
	select {
	case a := <-p.reply:
		return a
	default:
		return notRun(r.ID, "the group has another owner")
	}
}

func notRun(id, reason string) message.Answer {
	return message.Answer{ID: id, Outcome: message.OutcomeNotRun, Reason: reason, RetryAfter: time.Second}
}

func (o *GroupOwner) accept(p *pendingRequest, now time.Time) {
	if o.pending[p.request.ID] != nil {
		p.reply <- message.Answer{
			ID: p.request.ID, Outcome: message.OutcomeUnknown, Reason: "the request is here already",
		}
		return
	}
	o.pending[p.request.ID] = p
	o.retryBudget.Earn(retryShare(o.policies, p.request.Service))
	o.enqueue(p, "", now)
}

func (o *GroupOwner) enqueue(p *pendingRequest, avoid string, now time.Time) {
	o.applyDecisions(o.group.Arrive(upstream.Request{
		ID: p.request.ID, Caller: p.request.Caller, Urgent: p.request.Urgent, Deadline: p.deadline, Avoid: avoid,
	}, now))
}

// withdraw answers a request whose caller no longer waits.
func (o *GroupOwner) withdraw(p *pendingRequest) {
	id := p.request.ID
	if o.pending[id] != p {
		return
	}
	if p.inFlight {
		p.respond(message.Answer{ID: id, Outcome: message.OutcomeUnknown, Reason: "the caller waits no more"})
		return
	}
	o.group.Withdraw(id)
	o.finish(p, notRun(id, "the caller waits no more"))
}

func (o *GroupOwner) applyDecisions(decisions []upstream.Decision) {
	for _, d := range decisions {
		p, ok := o.pending[d.Request.ID]
		if !ok {
			continue
		}
		switch d.Action {
		case upstream.ActionSend:
			p.inFlight = true
			p.sends++
			o.work.Go(func() { o.send(p, d.Instance) })
		case upstream.ActionRefuse:
			a := notRun(d.Request.ID, d.Reason)
			a.RetryAfter = d.RetryAfter
			o.finish(p, a)
		}
	}
}

func (o *GroupOwner) finish(p *pendingRequest, a message.Answer) {
	delete(o.pending, p.request.ID)
	p.respond(a)
}

// respond delivers the outcome of the request, unless it has one already.
func (p *pendingRequest) respond(a message.Answer) {
	if p.mayHaveRun && a.Outcome == message.OutcomeNotRun {
		a.Outcome = message.OutcomeUnknown
	}
	select {
	case p.reply <- a:
	default:
	}
}

// Release refuses the waiting requests, waits until those that were sent have
// finished, and stops. It reports whether it is certain that no sent request is
// still running: only then may the successor use all slots at once.
func (o *GroupOwner) Release(ctx context.Context) bool {
	defer o.Close()
	for {
		settled := make(chan bool, 1)
		o.post(func(time.Time) {
			o.applyDecisions(o.group.RefuseAll("the group moves to another owner"))
			settled <- len(o.pending) == 0 && o.group.Idle()
		})
		select {
		case done := <-settled:
			if done {
				return true
			}
		case <-o.done:
			return false
		case <-ctx.Done():
			return false
		}
		wait := o.timers.After(groupTick)
		select {
		case <-wait.C:
		case <-ctx.Done():
		}
		wait.Stop()
	}
}

// Close stops the event loop. Requests without an outcome get an unknown one if an
// attempt of them may have run, and are refused as not run otherwise.
func (o *GroupOwner) Close() {
	o.cancel()
	<-o.done
	o.work.Wait()
}
