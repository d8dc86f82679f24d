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
	// planInterval is the interval at which the reader of a data centre reads
	// the changed sections and the other hosts compare their plan with a peer's.
	planInterval = 2 * time.Second
)

// Plans keeps the plan of an entry host up to date. The owner of the workers is
// the reader of its data centre: it reads changed sections from the table, and
// the other hosts get them from it. A host that cannot reach the reader asks any
// peer.
type Plans struct {
	store            *plan.Store
	replica          *plan.Replica
	leases           *Leases
	owned            *OwnedUnits
	hosts            *HostView
	location         Location
	peers            PeerCaller
	onSectionAdopted func(plan.Section)
	timers           timer.Service
	log              *zap.Logger

	self      netip.AddrPort
	seedAddrs []netip.AddrPort
	// tableRead is set once this host has read the plan from the table.
	tableRead bool

	quotasMu sync.Mutex

	// fetchedVersion is the version of the table up to which the sections were
	// read.
	fetchedVersion uint64
	// peerTurn counts the calls of nextPeer.
	peerTurn int
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}
}

// NewPlans returns a Plans and starts its event loop. seedAddrs are the addresses
// of hosts to ask while no peer is known; onAdopted is called with each section
// that comes into force on this host.
func NewPlans(
	store *plan.Store, leases *Leases, owned *OwnedUnits, hosts *HostView, location Location, peers PeerCaller,
	self netip.AddrPort, seedAddrs []netip.AddrPort, onAdopted func(plan.Section), timers timer.Service, log *zap.Logger,
) *Plans {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Plans{
		store: store, replica: plan.NewReplica(), leases: leases, owned: owned, hosts: hosts, location: location, peers: peers,
		self: self, seedAddrs: slices.DeleteFunc(slices.Clone(seedAddrs), func(a netip.AddrPort) bool { return a == self }),
		onSectionAdopted: onAdopted, timers: timers, log: log.Named("plan"), ctx: ctx, cancel: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(p.done)
		p.run()
	}()
	return p
}

func (p *Plans) run() {
	sub := p.timers.Every(planInterval)
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

// refresh reads the table if this host is the reader of its data centre, and
// otherwise, or if the table cannot be read, asks a peer. Every host first reads
// the table: a peer may not know yet a section that an earlier incarnation of
// this host had in force.
func (p *Plans) refresh() {
	if _, reader := p.owned.Pool(); (reader || !p.tableRead) && p.fetch() {
		p.tableRead = true
		return
	}
	if to, ok := p.nextPeer(); ok {
		p.syncFrom(to)
	}
}

func (p *Plans) fetch() bool {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	sections, version, err := p.store.Fetch(ctx, p.fetchedVersion)
	if err != nil {
		p.log.Info("cannot read the whole plan", zap.Error(err))
	}
	for _, s := range sections {
		p.Adopt(s)
	}
	p.fetchedVersion = max(p.fetchedVersion, version)
	return err == nil
}

// Adopt puts a section into force if its revision is newer than the one in force.
func (p *Plans) Adopt(s plan.Section) {
	if p.replica.Adopt(s) {
		p.log.Info("adopted a plan section", zap.String("Team", s.Team), zap.Uint64("Revision", s.Revision))
		p.applyQuotas()
		p.onSectionAdopted(s)
	}
}

// nextPeer returns the address of the peer to ask: alternately the reader of the
// data centre and one of its other hosts. While no peer is known, such as when
// this host starts without the table service, it is a seed address from the
// settings.
func (p *Plans) nextPeer() (netip.AddrPort, bool) {
	turn := p.peerTurn
	p.peerTurn++
	if reader, ok := p.leases.Owner(poolUnit); ok && turn%2 == 0 && reader.Addr != p.self {
		return reader.Addr, true
	}
	if peers := p.leases.Peers(); len(peers) > 0 {
		return peers[turn/2%len(peers)].Addr, true
	}
	if len(p.seedAddrs) == 0 {
		return netip.AddrPort{}, false
	}
	return p.seedAddrs[turn%len(p.seedAddrs)], true
}

// syncFrom compares the plan with that of a peer and, if they differ, fetches and
// adopts the sections that are newer on the peer.
func (p *Plans) syncFrom(to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(p.ctx, storeTimeout)
	defer cancel()
	d := p.replica.Digest()
	query := message.PlanDigest{MaxRevision: d.MaxRevision, Sum: d.Sum}
	reply, err := p.peers.Call(ctx, to, message.EncodePlanDigest(query))
	if err != nil {
		return
	}
	answer, err := message.DecodePlanSections(reply)
	if err != nil || answer.Same {
		return
	}
	for team, revision := range p.replica.Revisions() {
		query.Revisions = append(query.Revisions, message.TeamRevision{Team: team, Revision: revision})
	}
	// A digest whose Sum is 0 asks for the sections.
	query.Sum = 0
	if reply, err = p.peers.Call(ctx, to, message.EncodePlanDigest(query)); err != nil {
		return
	}
	if answer, err = message.DecodePlanSections(reply); err != nil {
		p.log.Error("malformed plan sections from a peer", zap.Error(err))
		return
	}
	for _, b := range answer.Sections {
		s, err := plan.DecodeSection(bytes.NewReader(b))
		if err != nil {
			p.log.Error("malformed plan section from a peer", zap.Error(err))
			continue
		}
		p.Adopt(s)
	}
}

// ServeDigest answers a peer's digest: it reports whether both plans are the same.
// If they differ and d.Sum is 0, as in a second query or with an empty plan, it
// also returns the sections that are newer on this host than in d.Revisions. A
// digest with another Sum is only compared.
func (p *Plans) ServeDigest(d message.PlanDigest) (message.PlanSections, error) {
	own := p.replica.Digest()
	if own.Sum == d.Sum && own.MaxRevision == d.MaxRevision {
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
	for _, s := range p.replica.Newer(known) {
		b, err := plan.EncodeSection(s)
		if err != nil {
			return out, fault.New("answer plan", KindMalformed, "%w", err)
		}
		out.Sections = append(out.Sections, b)
	}
	return out, nil
}

// Edit commits an edit of the plan and puts it into force on this host at once.
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

// Book returns the replica that holds the sections in force on this host.
func (p *Plans) Book() *plan.Replica { return p.replica }

// Done is closed when the event loop has ended.
func (p *Plans) Done() <-chan struct{} { return p.done }

// Err returns nil: only Close stops the event loop.
func (p *Plans) Err() error { return nil }

// Close stops the event loop.
func (p *Plans) Close() {
	p.cancel()
	<-p.done
}

// historyLimit limits the past edits that History returns.
const historyLimit = 100

// History returns the accepted edits of a team's section, the latest first.
func (p *Plans) History(ctx context.Context, team string) ([]plan.HistoryEntry, error) {
	return p.store.History(ctx, team, historyLimit)
}

// applyQuotas applies the quotas that are in force now. The lock prevents an older
// state from replacing a newer one.
func (p *Plans) applyQuotas() {
	p.quotasMu.Lock()
	defer p.quotasMu.Unlock()
	p.owned.SetQuotas(allotments(p.replica.Document(), p.location.DataCentre))
}

// allotments returns the quotas in a data centre of the teams that divide theirs
// among the data centres.
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
