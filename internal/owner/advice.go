package owner

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Advisor calls the advice service as this host.
type Advisor interface {
	Advise(ctx context.Context, step workload.StepID, workers []cell.WorkerID) (cell.Advice, error)
}

// RemoteAdvisors are the other hosts, each of which calls the advice service as
// itself.
type RemoteAdvisors interface {
	// List returns the hosts that have been active recently.
	List() []netip.AddrPort
	// Successors returns the same hosts, the best successor of this host first.
	Successors() []netip.AddrPort
	// CountActive returns the number of hosts that have been active within a time.
	CountActive(within time.Duration) int
	Advise(ctx context.Context, to netip.AddrPort, step workload.StepID, workers []cell.WorkerID) (cell.Advice, error)
}

// adviceMargin is how much longer than expected a response may take.
const adviceMargin = 800 * time.Millisecond

// adviceBalancer distributes the requests for advice over all hosts, since the
// advice service serves the calls of one host serially.
type adviceBalancer struct {
	advisor Advisor
	remote  RemoteAdvisors
	timers  timer.Service
	log     *zap.Logger

	mu sync.Mutex
	// list holds the hosts as of the last call of hosts, sorted.
	list []netip.AddrPort
	// spread assigns the requests to hosts. The zero address denotes this host.
	spread *cell.AdviceBalancer[netip.AddrPort]
}

func newAdviceBalancer(advisor Advisor, remote RemoteAdvisors, timers timer.Service, log *zap.Logger) *adviceBalancer {
	return &adviceBalancer{
		advisor: advisor, remote: remote, timers: timers, log: log, spread: cell.NewAdviceBalancer[netip.AddrPort](),
	}
}

// ask requests advice through the host that is expected to answer first.
func (b *adviceBalancer) ask(ctx context.Context, a cell.AskAdvice) cell.Advice {
	to, expected := b.pick(a)
	ctx, cancel := context.WithTimeout(ctx, expected+adviceMargin)
	defer cancel()
	var advice cell.Advice
	var err error
	if to.IsValid() {
		advice, err = b.remote.Advise(ctx, to, a.Step, a.Workers)
	} else {
		advice, err = b.advisor.Advise(ctx, a.Step, a.Workers)
	}
	if err != nil {
		b.log.Warn("request for advice failed", zap.String("Job", string(a.Step.Job)), zap.Stringer("Step", a.Step),
			zap.Stringer("Host", to), zap.Error(err))
		return cell.Advice{Step: a.Step, Asked: a.Workers, Failed: true}
	}
	return advice
}

// hosts returns the number of hosts that can request advice, including this one. It limits
// the open questions, so the next ones go to these hosts.
func (b *adviceBalancer) hosts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.refresh())
}

// refresh lists the hosts. The caller holds the lock.
func (b *adviceBalancer) refresh() []netip.AddrPort {
	b.list = append([]netip.AddrPort{{}}, b.remote.List()...)
	slices.SortFunc(b.list, netip.AddrPort.Compare)
	return b.list
}

// countActive returns the number of other hosts that have been active within a
// time.
func (b *adviceBalancer) countActive(within time.Duration) int { return b.remote.CountActive(within) }

// pick returns the host to ask and the expected time of its response.
func (b *adviceBalancer) pick(a cell.AskAdvice) (netip.AddrPort, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.list == nil {
		b.refresh()
	}
	return b.spread.Pick(b.timers.Now(), b.list, a)
}
