package owner

import (
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

const (
	// isolationTimeout is how long an owner may be unable both to renew its row and
	// to reach most hosts before it ends. It may then have been replaced without
	// knowing, and workers that its successor cannot reach must lose their lease.
	isolationTimeout = 3 * time.Second
	// recentRenewal is the maximum age of the last renewal at which the known hosts
	// are counted as all hosts of the cell.
	recentRenewal = 1 * time.Second
	// knownHostAge is how long an inactive host is still counted as a host of the
	// cell, since it may be on the other side of a network partition.
	knownHostAge = 10 * time.Second
)

// isolation distinguishes an owner that is isolated from the cell from one whose
// store is unavailable.
type isolation struct {
	// otherHosts is the number of other hosts that were known at the last recent
	// renewal.
	otherHosts int
}

// isolated reports whether the owner has to end. It takes the time since the last
// renewal, the number of hosts that have been active within isolationTimeout, and
// the number known within knownHostAge.
func (i *isolation) isolated(sinceRenewal time.Duration, active, known int) bool {
	if sinceRenewal < recentRenewal && known > 0 {
		i.otherHosts = known
	}
	return sinceRenewal >= isolationTimeout && i.hearsFew(active)
}

// hearsFew reports whether the active hosts are not more than half of the others.
func (i *isolation) hearsFew(active int) bool { return i.otherHosts > 0 && 2*active <= i.otherHosts }

// endIfIsolated ends an owner that may have been replaced. Its host takes over again
// once it reaches the store, unless another host has.
func (o *Owner) endIfIsolated() {
	sinceRenewal, active := o.SinceRenewal(), o.advice.countActive(isolationTimeout)
	if o.isolation.isolated(sinceRenewal, active, o.advice.countActive(knownHostAge)) {
		o.log.Warn("cut off from the store and from most hosts", zap.Duration("Unrenewed", sinceRenewal),
			zap.Int("Heard", active), zap.Int("Hosts", o.isolation.otherHosts))
		o.end(fault.New("own", KindReplaced, "epoch %d could not be renewed for %v", o.Epoch(), sinceRenewal))
	}
}

// Replaced notifies the owner that an epoch has begun, and ends this owner if that
// epoch is later than its own.
func (o *Owner) Replaced(epoch uint64) {
	if epoch > o.Epoch() {
		o.end(fault.New("own", KindReplaced, "a later owner has begun epoch %d", epoch))
	}
}
