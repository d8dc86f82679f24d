package owner

import (
	"context"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// listedAdvisors are hosts that are alive.
type listedAdvisors map[netip.AddrPort]bool

func (l listedAdvisors) List() []netip.AddrPort {
	var out []netip.AddrPort
	for at := range l {
		out = append(out, at)
	}
	return out
}

func (l listedAdvisors) Successors() []netip.AddrPort { return l.List() }

func (l listedAdvisors) CountActive(time.Duration) int { return len(l) }

func (l listedAdvisors) Advise(context.Context, netip.AddrPort, workload.StepID, []cell.WorkerID) (cell.Advice, error) {
	return cell.Advice{}, nil
}

// BenchmarkPickAdvisor picks the host for a question.
func BenchmarkPickAdvisor(b *testing.B) {
	for _, n := range []byte{15, 146} {
		b.Run(strconv.Itoa(int(n)), func(b *testing.B) {
			hosts := make(listedAdvisors)
			for i := range n {
				hosts[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000)] = true
			}
			balancer := newAdviceBalancer(nil, hosts, timer.NewSystem(), zap.NewNop())
			for range b.N {
				balancer.pick(cell.AskAdvice{Urgent: true, Cost: time.Millisecond})
			}
		})
	}
}
