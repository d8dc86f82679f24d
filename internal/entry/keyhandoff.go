package entry

import (
	"context"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
)

// announceTimeout limits the announcement of a closed key shard to the
// neighbours.
const announceTimeout = 500 * time.Millisecond

// KeyHandoffs exchanges, when a key shard is released to a successor, the time up
// to which keys may have been issued that reached its owner. Without this time
// the successor has to allow for wrong clocks.
type KeyHandoffs struct {
	neighbours Neighbours
	peers      PeerCaller

	mu       sync.Mutex
	received map[lease.Unit]keyHandoff
}

// keyHandoff is the announcement of one owner.
type keyHandoff struct {
	epoch uint64
	from  time.Time
}

// NewKeyHandoffs returns a KeyHandoffs that has received no announcement.
func NewKeyHandoffs(neighbours Neighbours, peers PeerCaller) *KeyHandoffs {
	return &KeyHandoffs{neighbours: neighbours, peers: peers, received: make(map[lease.Unit]keyHandoff)}
}

// Announce tells all neighbours that a key shard is closed: no key that was
// issued at the given time or later has reached it.
func (k *KeyHandoffs) Announce(ctx context.Context, u lease.Unit, epoch uint64, from time.Time) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	m := message.EncodeKeyHandoff(message.KeyHandoff{Unit: string(u), Epoch: epoch, From: from})
	var calls sync.WaitGroup
	for _, p := range k.neighbours.Peers() {
		// A neighbour that does not receive it allows for wrong clocks.
		calls.Go(func() { _, _ = k.peers.Call(ctx, p.Addr, m) })
	}
	calls.Wait()
}

// Receive records the announcement of an owner that has closed its key shard.
func (k *KeyHandoffs) Receive(m message.KeyHandoff) {
	k.mu.Lock()
	defer k.mu.Unlock()
	u := lease.Unit(m.Unit)
	if isKeys(u) && m.Epoch > k.received[u].epoch {
		k.received[u] = keyHandoff{epoch: m.Epoch, from: m.From}
	}
}

// ClosedFrom returns the time from which the direct predecessor closed a gained
// key shard, if its announcement was received.
func (k *KeyHandoffs) ClosedFrom(g lease.Gained) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.received[g.Unit]
	if !ok || !g.Clean || h.epoch+1 != g.Epoch {
		return time.Time{}, false
	}
	return h.from, true
}
