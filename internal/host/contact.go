package host

import (
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/election"
)

// contact is what a host knows of the owner of an epoch from the owner's answers to
// its pings.
type contact struct {
	epoch uint64
	// answeredAt is when the last answer arrived, and pingTime how long after its
	// ping; answered is set once there was one.
	answered   bool
	answeredAt time.Time
	pingTime   time.Duration
	// slowest is the longest recent pingTime. It decays with each answer.
	slowest time.Duration
}

// pingTimeDecay is the part of contact.slowest that is lost with each faster answer.
const pingTimeDecay = 8

// observe records an answer of the owner of an epoch.
func (c *contact) observe(now time.Time, epoch uint64, pingTime time.Duration) {
	slowest := pingTime
	if c.epoch == epoch {
		slowest = max(pingTime, c.slowest-c.slowest/pingTimeDecay)
	}
	*c = contact{epoch: epoch, answered: true, answeredAt: now, pingTime: pingTime, slowest: slowest}
}

// recentPingTime returns how long the owner in a state has recently taken to
// answer pings.
func (c *contact) recentPingTime(state election.State) time.Duration {
	if c.epoch != state.Owner.Epoch {
		return 0
	}
	return c.slowest
}

// fields returns what is known of the owner of an epoch, for the log. SincePong is
// negative if that owner has not answered yet.
func (c *contact) fields(now time.Time, epoch uint64) []zap.Field {
	sincePong, pingTime := time.Duration(-1), time.Duration(0)
	if c.answered && c.epoch == epoch {
		sincePong, pingTime = now.Sub(c.answeredAt), c.pingTime
	}
	return []zap.Field{zap.Duration("SincePong", sincePong), zap.Duration("PingTime", pingTime)}
}
