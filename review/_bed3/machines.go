package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	maintenanceTime = 2 * time.Second
	leaseOfHolder   = 3 * time.Second
)

// machineService is a stand-in for the service that takes machines down.
type machineService struct {
	bed    *bed
	record *record

	mu       sync.Mutex
	machines map[string]*machineState
	waves    map[int]waveOrder
	lives    int
	broken   []string
	// loseShare is the share of orders that get no answer and are carried out late.
	loseShare float64
}

type machineState struct {
	minion *minion
	state  string
	fence  uint64
	holder string
	heldAt time.Time
	// wave is the wave for which the machine is down, and begun has the waves for which it
	// was.
	wave  int
	begun map[int]bool
}

type waveOrder struct {
	Wave      int      `msgpack:"wave"`
	Machines  []string `msgpack:"machines"`
	DurationS int      `msgpack:"duration_s"`
	Cap       int      `msgpack:"cap"`
}

func newMachineService(b *bed) *machineService {
	return &machineService{bed: b, record: b.record, machines: make(map[string]*machineState), waves: make(map[int]waveOrder)}
}

func (s *machineService) listen() (netip.AddrPort, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/machine-upkeep", s.handleUpkeep)
	go func() { _ = http.Serve(listen, mux) }()
	return netip.ParseAddrPort(listen.Addr().String())
}

func (s *machineService) add(m *minion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines[m.machine] = &machineState{minion: m, state: "up", begun: make(map[int]bool)}
}

func (s *machineService) order(w waveOrder) {
	s.mu.Lock()
	s.waves[w.Wave] = w
	s.mu.Unlock()
	s.bed.store.put("op", fmt.Sprintf("wave/%d", w.Wave), w)
}

func (s *machineService) violated(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.broken = append(s.broken, text)
	s.record.add("BROKEN %s", text)
}

func (s *machineService) handleUpkeep(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Machine string `msgpack:"machine"`
		Wave    int    `msgpack:"wave"`
	}
	if err := msgpack.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var fence uint64
	_, _ = fmt.Sscan(r.Header.Get("Fencing-Token"), &fence)
	holder := r.Header.Get("Duty-Holder")
	s.mu.Lock()
	lose := rand.Float64() < s.loseShare
	s.mu.Unlock()
	if lose {
		late := 2*time.Second + rand.N(10*time.Second)
		s.record.add("upkeep of %s by %s (%d) gets no answer and is carried out %v later", in.Machine, holder, fence, late)
		time.AfterFunc(late, func() { s.upkeep(in.Machine, in.Wave, holder, fence, true) })
		<-r.Context().Done()
		return
	}
	status, reason := s.upkeep(in.Machine, in.Wave, holder, fence, false)
	respond(w, status, map[string]any{"reason": reason})
}

func (s *machineService) upkeep(machine string, wave int, holder string, fence uint64, late bool) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, there := s.machines[machine]
	if !there {
		return http.StatusBadRequest, ""
	}
	if fence < m.fence {
		return http.StatusConflict, "fence"
	}
	if m.fence == fence && m.holder != "" && m.holder != holder {
		s.violated("ONE: %s and %s order %s with fence number %d", m.holder, holder, machine, fence)
	}
	if !late && m.holder != "" && m.holder != holder && time.Since(m.heldAt) < leaseOfHolder {
		s.violated("ONE: %s orders %s %v after %s", holder, machine, time.Since(m.heldAt), m.holder)
	}
	m.fence = fence
	if !late {
		m.holder, m.heldAt = holder, time.Now()
	}
	order := s.waves[wave]
	member := false
	for _, name := range order.Machines {
		member = member || name == machine
	}
	switch {
	case !member:
		return http.StatusConflict, "wave"
	case m.begun[wave]:
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	down := 0
	for _, name := range order.Machines {
		if o := s.machines[name]; o != nil && o.state == "upkeep" && o.wave == wave {
			down++
		}
	}
	if down >= order.Cap {
		s.violated("LIMIT: upkeep of %s begins while %d machines of wave %d are down", machine, down, wave)
	}
	m.state, m.wave, m.begun[wave] = "upkeep", wave, true
	s.record.add("upkeep of %s begins, ordered by %s (%d); %d others are down", machine, holder, fence, down)
	old := m.minion
	old.down(map[bool]string{false: "order", true: "late order"}[late])
	time.AfterFunc(3*heartbeat, func() { s.bed.store.remove("servers", old.id) })
	time.AfterFunc(maintenanceTime, func() { s.comeBack(m, old) })
	return http.StatusOK, ""
}

func (s *machineService) comeBack(m *machineState, old *minion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives++
	next, err := newMinion(fmt.Sprintf("%s-%d", old.machine[2:], s.lives), s.bed.store, s.record, s.bed.ends)
	if err != nil {
		return
	}
	next.machine, next.tracker = old.machine, old.tracker
	if err := next.start(); err != nil {
		return
	}
	m.minion, m.state = next, "up"
}
