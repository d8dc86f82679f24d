package election_test

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

const timeout = time.Second

// ownerRead is one read of the owner's row, with what the host knows of the owner;
// at is the time since the first read, and due is set if a takeover is then due.
type ownerRead struct {
	at      time.Duration
	version uint64
	seen    election.Observation
	due     bool
}

func TestFailureDetector(t *testing.T) {
	for _, c := range []struct {
		name  string
		reads []ownerRead
	}{
		{"a row that is unchanged for the timeout", []ownerRead{
			{0, 5, election.Observation{}, false},
			{900 * time.Millisecond, 5, election.Observation{}, false},
			{timeout, 5, election.Observation{}, true},
		}},
		{"an owner that renews its row", []ownerRead{
			{0, 5, election.Observation{}, false},
			{900 * time.Millisecond, 6, election.Observation{}, false},
			{1800 * time.Millisecond, 7, election.Observation{}, false},
		}},
		{"a process that has exited", []ownerRead{{0, 5, election.Observation{ProcessExited: true}, true}}},
		{"no owner yet", []ownerRead{{0, 0, election.Observation{}, true}}},
		{"a slow store", []ownerRead{
			{0, 5, election.Observation{ReadLatency: 250 * time.Millisecond}, false},
			{1900 * time.Millisecond, 5, election.Observation{ReadLatency: 250 * time.Millisecond}, false},
			{2 * time.Second, 5, election.Observation{ReadLatency: 250 * time.Millisecond}, true},
		}},
		{"an owner that answers while the store is slow", []ownerRead{
			{0, 5, election.Observation{ReadLatency: 250 * time.Millisecond, Answering: true, SinceRenewal: 2 * time.Second}, false},
			{1900 * time.Millisecond, 5, election.Observation{ReadLatency: 250 * time.Millisecond, Answering: true}, false},
			{2 * time.Second, 5, election.Observation{ReadLatency: 250 * time.Millisecond, Answering: true}, true},
		}},
		{"an owner that answers and cannot reach a fast store", []ownerRead{
			{0, 5, election.Observation{ReadLatency: 10 * time.Millisecond, Answering: true, SinceRenewal: timeout}, true},
		}},
		{"an owner that reports that it cannot commit", []ownerRead{
			{0, 5, election.Observation{SinceRenewal: 900 * time.Millisecond}, false},
			{100 * time.Millisecond, 5, election.Observation{SinceRenewal: timeout}, true},
		}},
		{"an owner that is slow to answer", []ownerRead{
			{0, 5, election.Observation{PingTime: 400 * time.Millisecond}, false},
			{1300 * time.Millisecond, 5, election.Observation{PingTime: 400 * time.Millisecond}, false},
			{1400 * time.Millisecond, 5, election.Observation{PingTime: 400 * time.Millisecond}, true},
		}},
		{"an owner that hardly answers", []ownerRead{
			{0, 5, election.Observation{PingTime: time.Minute}, false},
			{1500 * time.Millisecond, 5, election.Observation{PingTime: time.Minute}, false},
			{1600 * time.Millisecond, 5, election.Observation{PingTime: time.Minute}, true},
		}},
		{"a host that is slow itself", []ownerRead{
			{0, 5, election.Observation{LocalDelay: 3 * time.Second}, false},
			{3900 * time.Millisecond, 5, election.Observation{LocalDelay: 3 * time.Second}, false},
			{4 * time.Second, 5, election.Observation{LocalDelay: 3 * time.Second}, true},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			detector := election.NewFailureDetector(timeout)
			begin := time.Unix(0, 0)
			for i, r := range c.reads {
				if due := detector.TakeoverDue(begin.Add(r.at), election.State{Version: r.version}, r.seen); due != r.due {
					t.Errorf("read %d: due is %v", i, due)
				}
			}
		})
	}
}

// A takeover is due at the first read of a row whose WrittenAfter is long ago,
// since its owner has not written since.
func TestTakeoverIsDueAtOnceIfTheRowIsStale(t *testing.T) {
	const clock = time.Minute
	for _, c := range []struct {
		name       string
		sinceWrite time.Duration
		seen       election.Observation
		due        bool
	}{
		{"unchanged for the timeout and the time of a commit", 700 * time.Millisecond, election.Observation{}, true},
		{"an idle owner between two renewals", 600 * time.Millisecond, election.Observation{}, false},
		{"a slow store", 1100 * time.Millisecond, election.Observation{ReadLatency: 200 * time.Millisecond}, false},
		{"a clock that has restarted", -time.Second, election.Observation{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := election.State{Version: 5, Clock: clock, Owner: ledger.Owner{WrittenAfter: clock - c.sinceWrite}}
			if due := election.NewFailureDetector(600*time.Millisecond).TakeoverDue(time.Unix(0, 0), s, c.seen); due != c.due {
				t.Errorf("due is %v", due)
			}
		})
	}
}

// A host that handles the responses to its reads late must not take the row to be
// unchanged for longer than it is by the store's clock.
func TestReadsHandledLateCountByTheClockOfTheStore(t *testing.T) {
	for _, c := range []struct {
		name    string
		elapsed time.Duration
		clock   time.Duration
		due     bool
	}{
		{"the second response was handled late", 2 * timeout, timeout / 2, false},
		{"the first response was handled late", timeout / 2, 2 * timeout, false},
		{"both were handled in time", timeout, timeout, true},
		{"a clock that has restarted", timeout, -time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			const clock = time.Minute
			detector := election.NewFailureDetector(timeout)
			begin := time.Unix(0, 0)
			detector.TakeoverDue(begin, election.State{Version: 5, Clock: clock}, election.Observation{})
			due := detector.TakeoverDue(begin.Add(c.elapsed), election.State{Version: 5, Clock: clock + c.clock}, election.Observation{})
			if due != c.due {
				t.Errorf("due is %v", due)
			}
		})
	}
}

// While commits take long, WrittenAfter is old when the row is written. A host that has
// seen the row change must not take it to be older than that.
func TestRowThatHasJustChangedIsNotStale(t *testing.T) {
	const clock, poll = time.Minute, 200 * time.Millisecond
	detector := election.NewFailureDetector(600 * time.Millisecond)
	begin := time.Unix(0, 0)
	for i, age := range []time.Duration{0, 2 * time.Second, 2 * time.Second} {
		at := time.Duration(i) * poll
		s := election.State{Version: uint64(5 + i), Clock: clock + at, Owner: ledger.Owner{WrittenAfter: clock + at - age}}
		if detector.TakeoverDue(begin.Add(at), s, election.Observation{}) {
			t.Errorf("read %d: a takeover is due", i)
		}
	}
}

func TestTakeoverIsDueAtOnceAfterARelease(t *testing.T) {
	s := election.State{Version: 5, Owner: ledger.Owner{Released: true}}
	if !election.NewFailureDetector(timeout).TakeoverDue(time.Unix(0, 0), s, election.Observation{}) {
		t.Error("no takeover is due although the row is released")
	}
}

func TestTakeoverFollowsTheStateRead(t *testing.T) {
	s := election.State{Version: 7, Owner: ledger.Owner{Host: "old", Epoch: 3, Admission: admission.Decision{LongRunning: time.Second}}}
	me := ledger.Owner{Host: "new", Incarnation: "i", Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	tx, row, err := s.Takeover(me)
	if err != nil {
		t.Fatal(err)
	}
	if row.Epoch != 4 {
		t.Errorf("epoch %d after 3", row.Epoch)
	}
	if row.Admission.LongRunning != time.Second {
		t.Errorf("the decision on new jobs is not kept: %+v", row.Admission)
	}
	if len(tx.Conditions) != 1 || tx.Conditions[0].Version != 7 || tx.Conditions[0].Key != ledger.OwnerKey() {
		t.Errorf("conditions %+v", tx.Conditions)
	}
	read, err := election.DecodeState([]rowstore.Row{{Key: ledger.OwnerKey(), Value: tx.Writes[0].Value, Version: 8}})
	if err != nil || !reflect.DeepEqual(read.Owner, row) || read.Version != 8 {
		t.Errorf("read back %+v, %v", read, err)
	}
}

func TestPredecessorsEnded(t *testing.T) {
	for _, c := range []struct {
		name   string
		state  election.State
		exited bool
		want   bool
	}{
		{"no owner yet", election.State{}, false, true},
		{"the process of the last one has exited", election.State{Version: 5, Owner: ledger.Owner{PredecessorsEnded: true}}, true, true},
		{"the last one released", election.State{Version: 5, Owner: ledger.Owner{PredecessorsEnded: true, Released: true}}, false, true},
		{"the process of the last one may be alive", election.State{Version: 5, Owner: ledger.Owner{PredecessorsEnded: true}}, false, false},
		{"one before the last may be alive", election.State{Version: 5, Owner: ledger.Owner{Released: true}}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.state.AllOwnersEnded(c.exited); got != c.want {
				t.Errorf("ended: %v", got)
			}
		})
	}
}

func TestTakeoverDelayShrinksWithCapacity(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name     string
		capacity election.Capacity
		least    time.Duration
		most     time.Duration
	}{
		{"more than a core", election.Capacity{Cores: 2, LinkMbps: 10_000}, 0, ms},
		{"a large host", election.Capacity{Cores: 0.8, LinkMbps: 200}, 40 * ms, 60 * ms},
		{"a medium host", election.Capacity{Cores: 0.4, LinkMbps: 1000}, 140 * ms, 170 * ms},
		{"unknown", election.Capacity{}, 140 * ms, 170 * ms},
		{"only the processor is known", election.Capacity{Cores: 0.8}, 90 * ms, 110 * ms},
		{"a narrow link", election.Capacity{Cores: 0.8, LinkMbps: 20}, 260 * ms, 290 * ms},
		{"a small host", election.Capacity{Cores: 0.192, LinkMbps: 10}, 450 * ms, 450 * ms},
		{"almost no capacity", election.Capacity{Cores: 1e-300, LinkMbps: 1e-300}, 450 * ms, 450 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.capacity.TakeoverDelay(); got < c.least || got > c.most {
				t.Errorf("takeover delay %v", got)
			}
		})
	}
}

func TestMaxReadsFitTheLink(t *testing.T) {
	for link, want := range map[float64]int{0: 64, 2: 2, 10: 2, 20: 4, 200: 40, 1000: 64} {
		if got := (election.Capacity{LinkMbps: link}).MaxReads(); got != want {
			t.Errorf("%d reads on %v Mbit/s, want %d", got, link, want)
		}
	}
}

func TestMalformedRowIsRefused(t *testing.T) {
	_, err := election.DecodeState([]rowstore.Row{{Key: ledger.OwnerKey(), Value: []byte("x"), Version: 1}})
	if !fault.Is(err, election.KindMalformed) {
		t.Errorf("a malformed row gives %v", err)
	}
}

// The list of hosts must be found beside the owner's row, and a malformed one must not
// keep the owner's row from being read.
func TestHostsAreReadWithTheOwnersRow(t *testing.T) {
	hosts := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")}
	row, err := ledger.EncodeOwner(ledger.Owner{Host: "h", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Epoch: 2})
	if err != nil {
		t.Fatal(err)
	}
	list, err := ledger.EncodeHosts(hosts)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		list []byte
		rank int
		ok   bool
	}{{"a list", list, 1, true}, {"a malformed list", []byte{0xc1}, -1, false}} {
		t.Run(c.name, func(t *testing.T) {
			s, err := election.DecodeState([]rowstore.Row{
				{Key: ledger.HostsKey(), Value: c.list, Version: 3}, {Key: ledger.OwnerKey(), Value: row, Version: 4},
			})
			if err != nil || s.Owner.Epoch != 2 || s.Version != 4 {
				t.Fatalf("read %+v, %v", s, err)
			}
			if rank, ok := s.Rank(hosts[1]); rank != c.rank || ok != c.ok {
				t.Errorf("rank %d, %v", rank, ok)
			}
		})
	}
}
