package owner

import (
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

const (
	// isolationTimeout is how long an owner may neither renew its row nor hear
	// from most hosts. Then it may have been replaced without learning of it,
	// and workers that the new owner cannot reach must lose their lease.
	isolationTimeout = 3 * time.Second
	// recentRenewal is the age of the last renewal up to which the hosts that
	// are heard of count as those that there are.
	recentRenewal = 1 * time.Second
	// knownHostAge is how long a host that is silent still counts as one of them:
	// it may be on the other side of a cut.
	knownHostAge = 10 * time.Second
)

// isolation tells an owner that is cut off from one whose store is away.
type isolation struct {
	// otherHosts is how many others were heard of while the row could be renewed.
	otherHosts int
}

// isolated takes in for how long the row was not renewed, how many hosts were heard
// of in the last isolatedAfter and how many within hostsWithin, and reports
// whether the owner has to end.
func (i *isolation) isolated(sinceRenewal time.Duration, active, known int) bool {
	if sinceRenewal < recentRenewal && known > 0 {
		i.otherHosts = known
	}
	return sinceRenewal >= isolationTimeout && i.otherHosts > 0 && 2*active <= i.otherHosts
}

// endIfIsolated ends an owner that may have been replaced. Its host takes the cell
// over again once it reaches the store, if nobody else has.
func (o *Owner) endIfIsolated() {
	sinceRenewal, active := o.SinceRenewal(), o.advice.countActive(isolationTimeout)
	if o.isolation.isolated(sinceRenewal, active, o.advice.countActive(knownHostAge)) {
		o.log.Warn("cut off from the store and from most hosts", zap.Duration("Unrenewed", sinceRenewal),
			zap.Int("Heard", active), zap.Int("Hosts", o.isolation.otherHosts))
		o.end(fault.New("own", KindReplaced, "epoch %d could not be renewed for %v", o.Epoch(), sinceRenewal))
	}
}

// Replaced ends the owner on the word of a host that owns a later epoch.
func (o *Owner) Replaced(epoch uint64) {
	if epoch > o.Epoch() {
		o.end(fault.New("own", KindReplaced, "epoch %d has begun", epoch))
	}
}
