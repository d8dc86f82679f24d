package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/upstream"
)

const (
	// slotsInterval is the minimum time between two messages about the free
	// slots of a group.
	slotsInterval = 250 * time.Millisecond
	slotsTimeout  = 200 * time.Millisecond
	// slotsPause is how long a peer gets no messages after one could not be
	// delivered to it.
	slotsPause = 2 * time.Second
	// slotsChangeDivisor sets which changes are sent: those of more than a
	// quarter of a group's slots.
	slotsChangeDivisor = 4
)

// GroupLoads returns the loads of the groups that this host owns.
type GroupLoads interface {
	Loads() map[lease.Unit]upstream.Load
}

// Neighbours lists the other live entry hosts of the data centre.
type Neighbours interface {
	Peers() []lease.Peer
}

// SlotTracker tracks the free slots of the groups of a data centre and sends those
// of this host's groups to its neighbours. Only significant changes are sent;
// while the load is steady, nothing is sent.
type SlotTracker struct {
	groups     GroupLoads
	neighbours Neighbours
	peers      PeerCaller
	timers     timer.Service

	mu    sync.Mutex
	known map[lease.Unit]*groupSlots

	// sent holds the last values that were sent to each neighbour.
	sent   map[lease.Incarnation]map[lease.Unit]message.GroupSlots
	paused map[lease.Incarnation]time.Time
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// groupSlots holds the slots of a group that its owner sent last, and the requests
// of this host at the owner.
type groupSlots struct {
	free    int
	waiting int
	// inFlight is the number of requests of this host that are at the owner now.
	// included is the number of these that the owner's last message accounts for.
	inFlight int
	included int
}

// NewSlotTracker returns a tracker and starts to send free slots to the neighbours.
func NewSlotTracker(groups GroupLoads, neighbours Neighbours, peers PeerCaller, timers timer.Service) *SlotTracker {
	ctx, cancel := context.WithCancel(context.Background())
	s := &SlotTracker{
		groups: groups, neighbours: neighbours, peers: peers, timers: timers,
		known:  make(map[lease.Unit]*groupSlots),
		sent:   make(map[lease.Incarnation]map[lease.Unit]message.GroupSlots),
		paused: make(map[lease.Incarnation]time.Time),
		ctx:    ctx, cancel: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		s.run()
	}()
	return s
}

func (s *SlotTracker) run() {
	sub := s.timers.Every(slotsInterval)
	defer sub.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-sub.C:
			s.notifyPeers(s.timers.Now())
		}
	}
}

// notifyPeers sends to each neighbour the significant changes since the last
// message to it.
func (s *SlotTracker) notifyPeers(now time.Time) {
	loads := s.groups.Loads()
	live := make(map[lease.Incarnation]bool)
	for _, p := range s.neighbours.Peers() {
		live[p.Incarnation] = true
		if now.Before(s.paused[p.Incarnation]) {
			continue
		}
		s.notifyPeer(p, loads, now)
	}
	for id := range s.sent {
		if !live[id] {
			delete(s.sent, id)
			delete(s.paused, id)
		}
	}
}

func (s *SlotTracker) notifyPeer(p lease.Peer, loads map[lease.Unit]upstream.Load, now time.Time) {
	sent := s.sent[p.Incarnation]
	if sent == nil {
		sent = make(map[lease.Unit]message.GroupSlots)
		s.sent[p.Incarnation] = sent
	}
	var m message.FreeSlots
	for u, l := range loads {
		g := message.GroupSlots{Unit: string(u), Free: max(l.Slots-l.Running, 0), Waiting: l.Waiting}
		if before, ok := sent[u]; !ok || significantChange(before, g, l.Slots) {
			sent[u] = g
			m.Groups = append(m.Groups, g)
		}
	}
	if len(m.Groups) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, slotsTimeout)
	defer cancel()
	if _, err := s.peers.Call(ctx, p.Addr, message.EncodeFreeSlots(m)); err != nil {
		delete(s.sent, p.Incarnation)
		s.paused[p.Incarnation] = now.Add(slotsPause)
	}
}

// significantChange reports whether a change is large enough to be sent.
func significantChange(before, now message.GroupSlots, slots int) bool {
	if (before.Free == 0) != (now.Free == 0) || (before.Waiting == 0) != (now.Waiting == 0) {
		return true
	}
	change := before.Free - now.Free
	return max(change, -change) > max(slots/slotsChangeDivisor, 1)
}

// Receive records a message of the owner of some groups.
func (s *SlotTracker) Receive(m message.FreeSlots) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range m.Groups {
		n := s.slotsOf(lease.Unit(g.Unit))
		n.free, n.waiting, n.included = g.Free, g.Waiting, n.inFlight
	}
}

// assumedFreeSlots is the number of free slots of a group whose owner has not sent
// any.
const assumedFreeSlots = 1

func (s *SlotTracker) slotsOf(u lease.Unit) *groupSlots {
	n, ok := s.known[u]
	if !ok {
		n = &groupSlots{free: assumedFreeSlots}
		s.known[u] = n
	}
	return n
}

// TrackForwarded counts a request that is forwarded to the owner of a group. Call
// the result when the call to the owner has returned.
func (s *SlotTracker) TrackForwarded(u lease.Unit) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.slotsOf(u)
	n.inFlight++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		n.inFlight--
		n.included = min(n.included, n.inFlight)
	}
}

// FreeSlots estimates the free slots of a group. It is negative if requests wait.
func (s *SlotTracker) FreeSlots(u lease.Unit) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.known[u]
	if !ok {
		return assumedFreeSlots
	}
	return n.free - n.waiting - (n.inFlight - n.included)
}

// Order sorts groups by preference for a request: first, of two groups that the
// hash of the request's ID selects among those with free slots, the one with more
// free slots; then the other groups with free slots; then the full groups.
func (s *SlotTracker) Order(units []lease.Unit, id string) {
	free := make(map[lease.Unit]int, len(units))
	own := s.groups.Loads()
	for _, u := range units {
		if l, ok := own[u]; ok {
			free[u] = l.Slots - l.Running - l.Waiting
			continue
		}
		free[u] = s.FreeSlots(u)
	}
	orderByFreeSlots(units, free, id)
}

func orderByFreeSlots(units []lease.Unit, free map[lease.Unit]int, id string) {
	rank := make(map[lease.Unit]uint64, len(units))
	for _, u := range units {
		rank[u] = xxhash.Sum64String(id + string(u))
	}
	slices.SortFunc(units, func(a, b lease.Unit) int {
		if full := boolOrder(free[a] <= 0) - boolOrder(free[b] <= 0); full != 0 {
			return full
		}
		if rank[a] < rank[b] {
			return -1
		}
		return 1
	})
	if len(units) > 1 && free[units[1]] > free[units[0]] {
		units[0], units[1] = units[1], units[0]
	}
}

// boolOrder sorts false before true.
func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Close stops the sending of free slots.
func (s *SlotTracker) Close() {
	s.cancel()
	<-s.done
}
