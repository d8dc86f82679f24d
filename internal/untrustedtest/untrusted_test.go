package untrustedtest

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/processtest"
)

// submit submits a job with a body once and returns the status, or 0 if there was no
// response.
func submit(h *hostProcess, id string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), processtest.ConditionTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Client.String()+queuePath+id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = queueHost
	// Each request comes from a new client.
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// checkOrdinary checks that a host accepts an ordinary job. A client may be refused while
// the host is short of capacity, and tries again.
func (s *site) checkOrdinary(h *hostProcess, when string) {
	s.t.Helper()
	s.jobs++
	body, err := msgpack.Marshal(map[string]any{"spec": "100ms", "steps": []any{
		map[string]any{"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 200},
	}})
	if err != nil {
		s.t.Fatal(err)
	}
	last := 0
	for end := time.Now().Add(processtest.ConditionTimeout); time.Now().Before(end); <-time.After(pollInterval) {
		if last = submit(h, fmt.Sprintf("%016x", s.jobs), body); last == http.StatusOK {
			return
		}
		select {
		case <-h.Exited:
			s.t.Fatalf("%s has exited: %v", h.Name, h.Cmd.ProcessState)
		default:
		}
	}
	s.t.Fatalf("%s does not accept an ordinary job %s; the last status is %d", h.Name, when, last)
}

// checkClients lets a group of clients connect to a host, and checks the host while
// they are connected and afterwards.
func (s *site) checkClients(h *hostProcess, each int, kinds ...client) {
	s.t.Helper()
	s.checkClientsAt(h, h.Client, each, kinds...)
}

// checkClientsAt lets a group of clients connect to one of the addresses of a host.
func (s *site) checkClientsAt(h *hostProcess, addr netip.AddrPort, each int, kinds ...client) {
	s.t.Helper()
	c := newClientGroup(s.t, addr, each, kinds...)
	s.await("all clients have sent what they send", c.connected)
	s.awaitReadAll(h, addr)
	s.checkOrdinary(h, "while the clients are connected")
	c.closeAll()
	s.checkOrdinary(h, "after the clients")
	s.checkWithinSettings()
}

// awaitReadAll waits until the host has accepted the connections and has read what its
// clients sent, or does no more of either.
func (s *site) awaitReadAll(h *hostProcess, addr netip.AddrPort) {
	s.t.Helper()
	const steadyPolls = 5
	type seen struct{ unread, files int }
	last, steady := seen{}, 0
	s.await(h.Name+" has read what was sent", func() bool {
		now := seen{unreadBytes(addr.Port()), h.openFiles()}
		if now == last {
			steady++
		} else {
			last, steady = now, 0
		}
		return steady >= steadyPolls
	})
}

// The numbers of clients of a group. Each is small and yet enough for the fault to show on
// a host without limits: bodies or headers of so many exceed MemoryMB.
const (
	bodyClients   = 300
	headerClients = 150
	linesClients  = 500
	mixedClients  = 150
	// silentClients is more than maxFiles.
	silentClients = 600
	peerClients   = 40
)

// TestMisbehavingClients guards against clients that make a host use more memory or
// descriptors than it has, or that keep it from serving others, by requests that stop just
// short of their end.
func TestMisbehavingClients(t *testing.T) {
	const (
		pieceBytes = 4 << 10
		largeChunk = 32 << 10
		smallChunk = 1
	)
	for _, test := range []struct {
		name  string
		each  int
		kinds []client
	}{
		{"WholeBodies", bodyClients, []client{wholeBody(0)}},
		{"BodiesPieceByPiece", bodyClients, []client{wholeBody(pieceBytes)}},
		{"LargeChunks", bodyClients, []client{chunkedBody(largeChunk)}},
		{"SmallChunks", bodyClients, []client{chunkedBody(smallChunk)}},
		{"LongHeaders", headerClients, []client{longHeader}},
		{"EndlessHeaders", headerClients, []client{endlessHeader}},
		{"EmptyLines", linesClients, []client{emptyLines}},
		{"SilentConnections", silentClients, []client{silent}},
		{"BodiesAndHeaders", mixedClients, []client{wholeBody(0), endlessHeader}},
		{"ChunksAndLines", mixedClients, []client{chunkedBody(largeChunk), emptyLines}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, 2)
			s.checkClients(s.other(), test.each, test.kinds...)
		})
	}
}

// TestMisbehavingClientsAtTheOwner guards against clients that exhaust the host that owns the cell,
// whose memory also holds the cell.
func TestMisbehavingClientsAtTheOwner(t *testing.T) {
	t.Run("WholeBodies", func(t *testing.T) {
		s := newSite(t, 1)
		s.checkClients(s.owner(), bodyClients, wholeBody(0))
	})
	t.Run("BodiesAndHeaders", func(t *testing.T) {
		s := newSite(t, 1)
		s.checkClients(s.owner(), mixedClients, wholeBody(0), endlessHeader)
	})
}

// TestLargeJobsAtTheOwner guards against valid jobs of the largest size, which the owner
// keeps until they have ended. One of them is accepted while there is no load.
func TestLargeJobsAtTheOwner(t *testing.T) {
	const (
		taskJobs = 60
		bodyJobs = 120
	)
	for _, test := range []struct {
		name  string
		jobs  int
		steps []map[string]any
	}{
		{"Tasks", taskJobs, []map[string]any{unplaceable(9000), unplaceable(9000)}},
		{"Bodies", bodyJobs, longSteps()},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, 1)
			if status := submit(s.owner(), "00000000000000ff", encodeJob(test.steps)); status != http.StatusOK {
				t.Errorf("a single large job gets status %d", status)
			}
			s.checkClients(s.owner(), test.jobs, validJob(test.steps))
		})
	}
}

// TestMisbehavingClientsAtOtherAddresses guards against programs that send too much to the addresses
// for the balancer, for readers of metrics and for other hosts.
func TestMisbehavingClientsAtOtherAddresses(t *testing.T) {
	health := func(h *hostProcess) netip.AddrPort { return h.Health }
	metrics := func(h *hostProcess) netip.AddrPort { return h.Metrics }
	peer := func(h *hostProcess) netip.AddrPort { return h.Peer }
	for _, test := range []struct {
		name string
		addr func(*hostProcess) netip.AddrPort
		each int
		send client
	}{
		{"HeadersToHealth", health, headerClients, endlessHeader},
		{"SilentToHealth", health, silentClients, silent},
		{"HeadersToMetrics", metrics, headerClients, endlessHeader},
		{"SilentToMetrics", metrics, silentClients, silent},
		{"CallsToPeer", peer, peerClients, peerCall},
		{"SilentToPeer", peer, silentClients, silent},
		{"HellosToPeer", peer, silentClients, helloOnly},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, 2)
			h := s.owner()
			s.checkClientsAt(h, test.addr(h), test.each, test.send)
			s.await("the host is ready", h.Ready)
		})
	}
}
