package entry

import (
	"context"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
)

// announceTimeout bounds telling the neighbours that a share of keys is closed.
const announceTimeout = 500 * time.Millisecond

// KeyHandoffs passes on, when a share of keys changes hands in good order, up to
// which time keys may have come to its owner. Without that word the next owner
// has to allow for wrong clocks.
type KeyHandoffs struct {
	neighbours Neighbours
	peers      PeerCaller

	mu       sync.Mutex
	received map[lease.Unit]keyHandoff
}

// keyHandoff is the word of one owner.
type keyHandoff struct {
	epoch uint64
	from  time.Time
}

// NewKeyHandoffs returns a holder of no words.
func NewKeyHandoffs(neighbours Neighbours, peers PeerCaller) *KeyHandoffs {
	return &KeyHandoffs{neighbours: neighbours, peers: peers, received: make(map[lease.Unit]keyHandoff)}
}

// Announce tells all neighbours that a share is closed: no key that was issued at
// the given time or later has come to it.
func (c *KeyHandoffs) Announce(ctx context.Context, u lease.Unit, epoch uint64, from time.Time) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	m := message.EncodeKeysClosed(message.KeysClosed{Unit: string(u), Epoch: epoch, From: from})
	var calls sync.WaitGroup
	for _, p := range c.neighbours.Peers() {
		// A neighbour that does not hear it allows for wrong clocks.
		calls.Go(func() { _, _ = c.peers.Call(ctx, p.Addr, m) })
	}
	calls.Wait()
}

// Receive takes the word of an owner that has closed its share.
func (c *KeyHandoffs) Receive(m message.KeysClosed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := lease.Unit(m.Unit)
	if isKeys(u) && m.Epoch > c.received[u].epoch {
		c.received[u] = keyHandoff{epoch: m.Epoch, from: m.From}
	}
}

// ClosedFrom returns the word of the owner right before the one that gained a share.
func (c *KeyHandoffs) ClosedFrom(g lease.Gained) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.received[g.Unit]
	if !ok || !g.Clean || w.epoch+1 != g.Epoch {
		return time.Time{}, false
	}
	return w.from, true
}
