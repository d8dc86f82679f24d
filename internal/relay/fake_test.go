package relay

import "sync"

// fakeMembers is a list of hosts.
type fakeMembers struct {
	mu    sync.Mutex
	hosts []Host
}

func (m *fakeMembers) Relays() []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Host(nil), m.hosts...)
}

func (m *fakeMembers) set(hosts ...Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts = hosts
}
