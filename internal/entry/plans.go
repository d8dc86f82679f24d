package entry

import (
	"bytes"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/plan"
	"cicadabarrow.example/cicadabarrow/internal/pool"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// planEvery is the period at which the reader of a data centre reads the
	// changed sections, and the other hosts compare with a peer.
	planEvery = 2 * time.Second
)

// Plans is the plan duty of an entry host. The owner of the workers reads
// changed sections from the table for its data centre, and the other hosts get
// them from it. A host that cannot reach the reader asks any peer.
type Plans struct {
	store   *plan.Store
	book    *plan.Replica
	leases  *Leases
	owned   *Owned
	hosts   *HostView
	place   Place
	peers   Caller
	adopted func(plan.Section)
	timers  timer.Service
	log     *zap.Logger

	self   netip.AddrPort
	waysIn []netip.AddrPort
	// began is set once the table has been read.
	began bool

	applying sync.Mutex

	after  uint64
	turn   int
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// NewPlans returns the plan duty and starts it. waysIn are hosts to ask while no
// other is known; adopted is called with each section that comes into force on
// this host.
func NewPlans(
	store *plan.Store, leases *Leases, owned *Owned, hosts *HostView, place Place, peers Caller,
	self netip.AddrPort, waysIn []netip.AddrPort, adopted func(plan.Section), timers timer.Service, log *zap.Logger,
) *Plans {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Plans{
		store: store, book: plan.NewReplica(), leases: leases, owned: owned, hosts: hosts, place: place, peers: peers,
		self: self, waysIn: slices.DeleteFunc(slices.Clone(waysIn), func(a netip.AddrPort) bool { return a == self }),
		adopted: adopted, timers: timers, log: log.Named("plan"), ctx: ctx, cancel: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(p.done)
		p.run()
	}()
	return p
}

func (p *Plans) run() {
	sub := p.timers.Every(planEvery)
	defer sub.Stop()
	for {
		p.refresh()
		select {
		case <-sub.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// refresh reads the table as the reader of the data centre, and asks a peer
// otherwise, or when the table cannot be read. Every host begins with the table:
// a peer may not know yet what an earlier life of this host had in force.
func (p *Plans) refresh() {
	if _, reader := p.owned.Pool(); (reader || !p.began) && p.fetch() {
		p.began = true
		return
	}
	if to, ok := p.nextPeer(); ok {
		p.askPeer(to)
	}
}

func (p *Plans) fetch() bool {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	sections, after, err := p.store.Fetch(ctx, p.after)
	if err != nil {
		p.log.Info("cannot read all of the plan", zap.Error(err))
	}
	for _, s := range sections {
		p.Adopt(s)
	}
	p.after = max(p.after, after)
	return err == nil
}

// Adopt puts a section into force if it is newer than the one in force.
func (p *Plans) Adopt(s plan.Section) {
	if p.book.Adopt(s) {
		p.log.Info("adopted a section", zap.String("Team", s.Team), zap.Uint64("Revision", s.Revision))
		p.applyQuotas()
		p.adopted(s)
	}
}

// nextPeer returns whom to ask: in turn the reader of the data centre and one of
// its other hosts. While none is known, as when this host starts without the
// table service, it is one of the ways in that the settings name.
func (p *Plans) nextPeer() (netip.AddrPort, bool) {
	turn := p.turn
	p.turn++
	if reader, ok := p.leases.Owner(poolUnit); ok && turn%2 == 0 && reader.Addr != p.self {
		return reader.Addr, true
	}
	if peers := p.leases.Peers(); len(peers) > 0 {
		return peers[turn/2%len(peers)].Addr, true
	}
	if len(p.waysIn) == 0 {
		return netip.AddrPort{}, false
	}
	return p.waysIn[turn%len(p.waysIn)], true
}

// askPeer compares the plan with that of a peer.
func (p *Plans) askPeer(to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	d := p.book.Digest()
	ask := message.PlanDigest{Largest: d.MaxRevision, Sum: d.Sum}
	reply, err := p.peers.Call(ctx, to, message.EncodePlanDigest(ask))
	if err != nil {
		return
	}
	answer, err := message.DecodePlanSections(reply)
	if err != nil || answer.Same {
		return
	}
	for team, revision := range p.book.Revisions() {
		ask.Revisions = append(ask.Revisions, message.TeamRevision{Team: team, Revision: revision})
	}
	ask.Sum = 0
	if reply, err = p.peers.Call(ctx, to, message.EncodePlanDigest(ask)); err != nil {
		return
	}
	if answer, err = message.DecodePlanSections(reply); err != nil {
		p.log.Error("malformed sections of a peer", zap.Error(err))
		return
	}
	for _, b := range answer.Sections {
		s, err := plan.DecodeSection(bytes.NewReader(b))
		if err != nil {
			p.log.Error("malformed section of a peer", zap.Error(err))
			continue
		}
		p.Adopt(s)
	}
}

// Answer tells a peer which sections are newer here. A digest without revisions
// is only compared.
func (p *Plans) Answer(d message.PlanDigest) (message.PlanSections, error) {
	own := p.book.Digest()
	if own.Sum == d.Sum && own.MaxRevision == d.Largest {
		return message.PlanSections{Same: true}, nil
	}
	var out message.PlanSections
	if d.Sum != 0 {
		return out, nil
	}
	known := make(map[string]uint64, len(d.Revisions))
	for _, r := range d.Revisions {
		known[r.Team] = r.Revision
	}
	for _, s := range p.book.Newer(known) {
		b, err := plan.EncodeSection(s)
		if err != nil {
			return out, fault.New("answer plan", KindMalformed, "%w", err)
		}
		out.Sections = append(out.Sections, b)
	}
	return out, nil
}

// Edit commits an edit and puts it into force on this host at once.
func (p *Plans) Edit(ctx context.Context, e plan.Edit) (plan.AcceptedEdit, error) {
	accepted, err := p.store.Edit(ctx, e)
	if err != nil {
		return accepted, err
	}
	s := e.Section
	s.Revision = accepted.Revision
	p.Adopt(s)
	return accepted, nil
}

// Book returns the sections in force on this host.
func (p *Plans) Book() *plan.Replica { return p.book }

// Done is closed when the duty has ended.
func (p *Plans) Done() <-chan struct{} { return p.done }

// Err is nil: the duty ends only by Close.
func (p *Plans) Err() error { return nil }

// Close stops the duty.
func (p *Plans) Close() {
	p.cancel()
	<-p.done
}

// historyLimit bounds the past edits that are shown.
const historyLimit = 100

// History returns the accepted edits of a team, the latest first.
func (p *Plans) History(ctx context.Context, team string) ([]plan.HistoryEntry, error) {
	return p.store.History(ctx, team, historyLimit)
}

// applyQuotas hands on what the book holds now; the lock keeps an older state
// from overtaking a newer one.
func (p *Plans) applyQuotas() {
	p.applying.Lock()
	defer p.applying.Unlock()
	p.owned.SetQuotas(allotments(p.book.Document(), p.place.DataCentre))
}

// allotments returns the quotas of the teams that split theirs among the data
// centres.
func allotments(d plan.Document, dataCentre string) map[string]pool.Quota {
	out := make(map[string]pool.Quota)
	for team := range d {
		if q := d[team].Quota; len(q.DataCentres) > 0 {
			a := q.Allotment(dataCentre)
			out[team] = pool.Quota{Guaranteed: a.Guaranteed, Limit: a.Limit}
		}
	}
	return out
}
