package owner

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/relay"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// answeringRelay is a relay whose worker answers a hold call at the end of its wait.
type answeringRelay struct {
	asked    int
	timeouts []time.Duration
}

var relayAddr = netip.MustParseAddrPort("10.0.0.9:1")

func (r *answeringRelay) Relays() []relay.Host { return []relay.Host{{Addr: relayAddr, Cores: 1}} }

func (r *answeringRelay) Ask(ctx context.Context, _ netip.AddrPort, m peer.Message) (peer.Host, peer.Message, error) {
	call, err := message.DecodeWorkerHold(m)
	if err != nil {
		return peer.Host{}, peer.Message{}, err
	}
	r.asked++
	r.timeouts = append(r.timeouts, call.Timeout)
	select {
	case <-time.After(call.Request.Wait + 5*time.Millisecond):
		return peer.Host{}, message.EncodeWorkerReport(message.WorkerReport{}), nil
	case <-ctx.Done():
		return peer.Host{}, peer.Message{}, fault.New("call", peer.KindUnknown, "%w", ctx.Err())
	}
}

// unreachedWorkers are workers that the owner itself does not reach.
type unreachedWorkers struct{ relay.Workers }

func (unreachedWorkers) Hold(context.Context, cell.HoldRequest, uint64) (cell.Report, error) {
	return cell.Report{}, errCallTimeout
}

// A relayed hold call must have its wait and its margin, although the call clock sets no
// deadline.
func TestRelayedHoldOutlastsItsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.NewSystem()
		peers := &answeringRelay{}
		router := relay.NewRouter(unreachedWorkers{}, peers, peers, timers, tally.NoopScope, zap.NewNop())
		defer router.Close()
		const wait = time.Second
		ctx, call := newCallClock(timers).begin(t.Context(), wait+holdMargin)
		defer call.end()
		if _, err := router.Hold(ctx, cell.HoldRequest{Worker: "w", Addr: relayAddr, Wait: wait, Deadline: time.Minute}, 1); err != nil {
			t.Errorf("the hold call: %v", err)
		}
		if peers.asked != 1 || peers.timeouts[0] <= wait || peers.timeouts[0] >= wait+holdMargin {
			t.Errorf("%d calls with the timeouts %v; want one, between %v and %v", peers.asked, peers.timeouts, wait, wait+holdMargin)
		}
	})
}
