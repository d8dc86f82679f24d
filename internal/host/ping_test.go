package host

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// TestLateAnswerEndsATakeoverInProgress guards against the takeover from an owner whose
// answer arrives while the host lets stronger hosts go first.
func TestLateAnswerEndsATakeoverInProgress(t *testing.T) {
	known := ownerRef{incarnation: "owner/1", epoch: 4}
	earlier := ownerRef{incarnation: "owner/1", epoch: 3}
	for name, c := range map[string]struct {
		owner  ownerRef
		from   string
		since  time.Duration
		owning bool
		want   bool
	}{
		"a healthy answer":              {known, "owner/1", 0, true, true},
		"an answer of an earlier epoch": {earlier, "owner/1", 0, true, false},
		"an answer of another process":  {known, "owner/2", 0, true, false},
		"an owner that cannot renew":    {known, "owner/1", 2 * staleAfter, true, false},
		"an owner that has released":    {known, "owner/1", 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &Host{
					pinger: newPinger(), detector: election.NewFailureDetector(time.Second), timers: timer.NewSystem(),
					log: zap.NewNop(), metrics: newHostMetrics(tally.NoopScope), lastOwner: known,
				}
				if h.answersAgain(known.epoch) {
					t.Error("there is no answer yet")
				}
				h.pinger.answers <- answer{
					owner: c.owner, from: peer.Host{Incarnation: c.from}, pong: message.OwnerPong{Owning: c.owning, SinceRenewal: c.since},
				}
				if got := h.answersAgain(known.epoch); got != c.want {
					t.Errorf("answers again: %v", got)
				}
			})
		})
	}
}
