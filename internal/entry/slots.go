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
	// slotsInterval is the shortest time between two pieces of news on the free
	// slots of a group.
	slotsInterval = 250 * time.Millisecond
	slotsTimeout  = 200 * time.Millisecond
	// slotsPause is how long a peer that could not be told is left alone.
	slotsPause = 2 * time.Second
	// slotsChangeFraction is the share of a group's slots whose change is news.
	slotsChangeFraction = 4
)

// GroupLoads are the groups that this host owns.
type GroupLoads interface {
	Loads() map[lease.Unit]upstream.Load
}

// Neighbours are the other entry hosts of the data centre.
type Neighbours interface {
	Peers() []lease.Peer
}

// SlotTracker spreads how many free slots the groups of a data centre have. An owner
// tells its neighbours of a considerable change only; in a quiet hour nothing
// is sent.
type SlotTracker struct {
	groups     GroupLoads
	neighbours Neighbours
	peers      PeerCaller
	timers     timer.Service

	mu    sync.Mutex
	known map[lease.Unit]*groupSlots

	// sent is what each neighbour was sent last.
	sent   map[lease.Incarnation]map[lease.Unit]message.GroupSlots
	paused map[lease.Incarnation]time.Time
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// groupSlots is what an owner said of its group, less what was sent there since.
type groupSlots struct {
	free    int
	waiting int
	// inFlight is how many requests of this host are at the owner now, and
	// counted how many of them the news counts already.
	inFlight int
	included int
}

// NewSlotTracker returns the duty that spreads free slots and starts it.
func NewSlotTracker(groups GroupLoads, neighbours Neighbours, peers PeerCaller, timers timer.Service) *SlotTracker {
	ctx, cancel := context.WithCancel(context.Background())
	r := &SlotTracker{
		groups: groups, neighbours: neighbours, peers: peers, timers: timers,
		known:  make(map[lease.Unit]*groupSlots),
		sent:   make(map[lease.Incarnation]map[lease.Unit]message.GroupSlots),
		paused: make(map[lease.Incarnation]time.Time),
		ctx:    ctx, cancel: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(r.done)
		r.run()
	}()
	return r
}

func (r *SlotTracker) run() {
	sub := r.timers.Every(slotsInterval)
	defer sub.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-sub.C:
			r.notifyPeers(r.timers.Now())
		}
	}
}

// notifyPeers sends to each neighbour what changed since it was told last.
func (r *SlotTracker) notifyPeers(now time.Time) {
	loads := r.groups.Loads()
	live := make(map[lease.Incarnation]bool)
	for _, p := range r.neighbours.Peers() {
		live[p.Incarnation] = true
		if now.Before(r.paused[p.Incarnation]) {
			continue
		}
		r.notifyPeer(p, loads, now)
	}
	for id := range r.sent {
		if !live[id] {
			delete(r.sent, id)
			delete(r.paused, id)
		}
	}
}

func (r *SlotTracker) notifyPeer(p lease.Peer, loads map[lease.Unit]upstream.Load, now time.Time) {
	told := r.sent[p.Incarnation]
	if told == nil {
		told = make(map[lease.Unit]message.GroupSlots)
		r.sent[p.Incarnation] = told
	}
	var m message.FreeSlots
	for u, l := range loads {
		g := message.GroupSlots{Unit: string(u), Free: max(l.Slots-l.Running, 0), Waiting: l.Waiting}
		if before, ok := told[u]; !ok || significantChange(before, g, l.Slots) {
			told[u] = g
			m.Groups = append(m.Groups, g)
		}
	}
	if len(m.Groups) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, slotsTimeout)
	defer cancel()
	if _, err := r.peers.Call(ctx, p.Addr, message.EncodeFreeSlots(m)); err != nil {
		delete(r.sent, p.Incarnation)
		r.paused[p.Incarnation] = now.Add(slotsPause)
	}
}

// significantChange reports whether a change is worth telling.
func significantChange(before, now message.GroupSlots, slots int) bool {
	if (before.Free == 0) != (now.Free == 0) || (before.Waiting == 0) != (now.Waiting == 0) {
		return true
	}
	change := before.Free - now.Free
	return max(change, -change) > max(slots/slotsChangeFraction, 1)
}

// Receive takes news of the owner of some groups.
func (r *SlotTracker) Receive(m message.FreeSlots) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range m.Groups {
		n := r.slotsOf(lease.Unit(g.Unit))
		n.free, n.waiting, n.included = g.Free, g.Waiting, n.inFlight
	}
}

// assumedFreeSlots is the room of a group of which there is no news.
const assumedFreeSlots = 1

func (r *SlotTracker) slotsOf(u lease.Unit) *groupSlots {
	n, ok := r.known[u]
	if !ok {
		n = &groupSlots{free: assumedFreeSlots}
		r.known[u] = n
	}
	return n
}

// TrackForwarded counts a request that is handed to the owner of a group. Call the
// result when it comes back.
func (r *SlotTracker) TrackForwarded(u lease.Unit) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.slotsOf(u)
	n.inFlight++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		n.inFlight--
		n.included = min(n.included, n.inFlight)
	}
}

// FreeSlots estimates the free slots of a group; it is negative when requests wait.
func (r *SlotTracker) FreeSlots(u lease.Unit) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.known[u]
	if !ok {
		return assumedFreeSlots
	}
	return n.free - n.waiting - (n.inFlight - n.included)
}

// Order sorts the groups by where a request should be tried first: of two that
// are chosen by the request's ID, the one with more room, and after them the
// others with room.
func (r *SlotTracker) Order(units []lease.Unit, id string) {
	free := make(map[lease.Unit]int, len(units))
	own := r.groups.Loads()
	for _, u := range units {
		if l, ok := own[u]; ok {
			free[u] = l.Slots - l.Running - l.Waiting
			continue
		}
		free[u] = r.FreeSlots(u)
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

// Close ends the duty.
func (r *SlotTracker) Close() {
	r.cancel()
	<-r.done
}
