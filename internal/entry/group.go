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
	// groupRing bounds the events that wait for a group duty. A full ring
	// refuses requests.
	groupRing = 1024
	groupTick = 20 * time.Millisecond
	// statusEvery is the period at which unsettled instances are asked.
	statusEvery = 500 * time.Millisecond
	// answerMargin is how much earlier than its caller's deadline a request
	// gets its outcome here, so that the outcome still reaches the caller.
	answerMargin = 20 * time.Millisecond
	// defaultRetryShare is the share of requests that may be retries when the
	// plan does not say.
	defaultRetryShare = 0.1
)

// Policies tells what the plan says of a service.
type Policies interface {
	Service(name string) (plan.Service, string, bool)
}

// GroupOwner is the duty of one group of upstream instances: it drives an
// upstream.Group while this host owns the group.
type GroupOwner struct {
	dataCentre string
	gained     lease.Gained
	plat       Platform
	hosts      *HostView
	policies   Policies
	guard      Guard
	timers     timer.Service
	log        *zap.Logger

	group   *upstream.Group
	pending map[string]*pendingRequest
	events  *ring.Ring[func(now time.Time)]
	load    atomic.Pointer[upstream.Load]
	budget  *upstream.RetryBudget
	random  *rand.Rand
	listed  *[]platform.Host
	leaving []string
	asking  bool
	askAt   time.Time
	work    sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
}

// pendingRequest is a request that has no outcome yet.
type pendingRequest struct {
	request  message.Request
	deadline time.Time
	sends    int
	// inFlight is set while the request may be on its way to an instance.
	inFlight bool
	// mayHaveRun is set once an attempt had an unknown outcome. From then on
	// the request cannot be refused as not run.
	mayHaveRun bool
	reply      chan message.Answer
}

// NewGroupOwner returns the duty of a gained group and starts it.
func NewGroupOwner(
	dataCentre string, g lease.Gained, cfg upstream.Config, plat Platform, hosts *HostView, policies Policies,
	guard Guard, timers timer.Service, log *zap.Logger,
) *GroupOwner {
	ctx, cancel := context.WithCancel(context.Background())
	now := timers.Now()
	o := &GroupOwner{
		dataCentre: dataCentre, gained: g, plat: plat, hosts: hosts, policies: policies, guard: guard, timers: timers,
		log:     log.Named("group"),
		pending: make(map[string]*pendingRequest),
		events:  ring.New[func(time.Time)](groupRing),
		budget:  upstream.NewRetryBudget(),
		random:  rand.New(rand.NewPCG(xxhash.Sum64String(string(g.Unit)), g.Epoch)),
		ctx:     ctx, cancel: cancel, done: make(chan struct{}),
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
			o.end()
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

// end refuses what was not sent, and leaves what was sent as unknown.
func (o *GroupOwner) end() {
	o.decide(o.group.RefuseAll("the group has another owner"))
	for id, p := range o.pending {
		if p.inFlight {
			o.finish(p, message.Answer{ID: id, Outcome: message.OutcomeUnknown, Reason: "the owner of the group ended"})
			continue
		}
		o.finish(p, notRun(id, "the owner of the group ended"))
	}
}

// instances returns the instances of the group, those that the plan calls
// leaving marked so, and whether anything changed since the last call.
func (o *GroupOwner) instances() ([]platform.Host, bool) {
	listed := o.hosts.hosts.Load()
	leaving := o.planLeaving()
	if listed == o.listed && slices.Equal(leaving, o.leaving) {
		return nil, false
	}
	o.listed, o.leaving = listed, leaving
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
		o.decide(o.group.SetInstances(instances, now))
	}
	o.decide(o.group.Tick(now))
	if o.asking || now.Before(o.askAt) {
		return
	}
	unsettled := o.group.NeedStatus(now)
	if len(unsettled) == 0 {
		return
	}
	o.asking = true
	o.askAt = now.Add(statusEvery)
	o.work.Go(func() { o.askStatus(unsettled) })
}

// askStatus asks the instances all at once, so that one which does not answer
// holds up no other.
func (o *GroupOwner) askStatus(instances []platform.Host) {
	ctx, cancel := context.WithTimeout(o.ctx, statusEvery)
	defer cancel()
	var questions sync.WaitGroup
	for _, h := range instances {
		questions.Go(func() {
			askedAt := o.timers.Now()
			status, err := o.plat.Upstreams.Status(ctx, h)
			if err != nil {
				return
			}
			o.post(func(now time.Time) { o.decide(o.group.StatusReported(h.Name, status, askedAt, now)) })
		})
	}
	questions.Wait()
	o.post(func(time.Time) { o.asking = false })
}

func (o *GroupOwner) post(e func(now time.Time)) { _ = o.events.Put(o.ctx, e) }

// Load returns how busy the group is.
func (o *GroupOwner) Load() upstream.Load { return *o.load.Load() }

// Do gets a request answered by an instance of the group. It waits for a slot
// within the request's deadline.
func (o *GroupOwner) Do(ctx context.Context, r message.Request) message.Answer {
	p := &pendingRequest{
		request: r, deadline: o.timers.Now().Add(r.Deadline - answerMargin), reply: make(chan message.Answer, 1),
	}
	if !o.events.Offer(func(now time.Time) { o.accept(p, now) }) {
		return notRun(r.ID, "the owner of the group is too busy")
	}
	select {
	case a := <-p.reply:
		return a
	case <-ctx.Done():
		// The request is withdrawn with the duty's word, or it is unknown.
		o.post(func(time.Time) { o.giveUp(p) })
	case <-o.done:
	}
	select {
	case a := <-p.reply:
		return a
	case <-o.done:
	}
	// The duty has answered what it knew of; the rest never reached it.
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
	o.budget.Earn(share(o.policies, p.request.Service))
	o.arrive(p, "", now)
}

func (o *GroupOwner) arrive(p *pendingRequest, avoid string, now time.Time) {
	o.decide(o.group.Arrive(upstream.Request{
		ID: p.request.ID, Caller: p.request.Caller, Urgent: p.request.Urgent, Deadline: p.deadline, Avoid: avoid,
	}, now))
}

// giveUp answers a request that nobody waits for any more.
func (o *GroupOwner) giveUp(p *pendingRequest) {
	id := p.request.ID
	if o.pending[id] != p {
		return
	}
	if p.inFlight {
		p.answer(message.Answer{ID: id, Outcome: message.OutcomeUnknown, Reason: "the caller waits no more"})
		return
	}
	o.group.Withdraw(id)
	o.finish(p, notRun(id, "the caller waits no more"))
}

func (o *GroupOwner) decide(decisions []upstream.Decision) {
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
	p.answer(a)
}

// answer gives the request its outcome, unless it has one already.
func (p *pendingRequest) answer(a message.Answer) {
	if p.mayHaveRun && a.Outcome == message.OutcomeNotRun {
		a.Outcome = message.OutcomeUnknown
	}
	select {
	case p.reply <- a:
	default:
	}
}

// Yield refuses what waits, lets what was sent finish, and ends. It reports
// whether surely nothing that was sent still runs: only then may the next owner
// use all slots at once.
func (o *GroupOwner) Yield(ctx context.Context) bool {
	defer o.Close()
	for {
		settled := make(chan bool, 1)
		o.post(func(time.Time) {
			o.decide(o.group.RefuseAll("the group moves to another owner"))
			settled <- len(o.pending) == 0 && o.group.Idle()
		})
		select {
		case yes := <-settled:
			if yes {
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

// Close ends the duty. What was sent and not answered becomes unknown.
func (o *GroupOwner) Close() {
	o.cancel()
	<-o.done
	o.work.Wait()
}
