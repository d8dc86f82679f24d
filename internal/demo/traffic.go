package demo

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"cicadabarrow.example/cicadabarrow/internal/message"
)

// Purposes of the bytes between an entry host, its peers and the platform.
const (
	purposeHostList = "host list"
	purposeCommit   = "store commits"
	purposeObjects  = "store objects"
	purposeRead     = "store reads of "
	purposeStart    = "worker starts"
	purposeReport   = "worker reports"
	purposeStop     = "worker stops"
	purposeStatus   = "upstream status"
	purposePeer     = "peers: "
	// purposeRequests covers the callers' own requests between entry hosts and
	// to upstreams. It does not count as control traffic.
	purposeRequests = "requests"
)

// PurposeBytes is the number of bytes of one purpose.
type PurposeBytes struct {
	Purpose string
	Bytes   uint64
}

// Traffic counts bytes by purpose. It includes the headers of HTTP but not those
// of TCP.
type Traffic struct {
	mu          sync.Mutex
	purposes    map[string]uint64
	crossRegion uint64
}

// NewTraffic returns an empty count.
func NewTraffic() *Traffic { return &Traffic{purposes: make(map[string]uint64)} }

// Add counts bytes of a purpose. crossRegion of them crossed regions.
func (t *Traffic) Add(purpose string, bytes, crossRegion uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.purposes[purpose] += bytes
	t.crossRegion += crossRegion
}

// Purposes returns the bytes by purpose, the largest first.
func (t *Traffic) Purposes() []PurposeBytes {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []PurposeBytes
	for _, name := range slices.Sorted(maps.Keys(t.purposes)) {
		out = append(out, PurposeBytes{Purpose: name, Bytes: t.purposes[name]})
	}
	slices.SortStableFunc(out, func(a, b PurposeBytes) int { return cmp.Compare(b.Bytes, a.Bytes) })
	return out
}

// Control returns the bytes of control traffic: all but the callers' own requests.
func (t *Traffic) Control() uint64 {
	sum := uint64(0)
	for _, p := range t.Purposes() {
		if p.Purpose != purposeRequests {
			sum += p.Bytes
		}
	}
	return sum
}

// CrossRegion returns the bytes that crossed regions.
func (t *Traffic) CrossRegion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crossRegion
}

// platformPurpose returns the purpose of a call of the platform.
func platformPurpose(r *http.Request) string {
	path := r.URL.Path
	switch {
	case path == "/hosts":
		return purposeHostList
	case path == "/table/commit":
		return purposeCommit
	case strings.HasPrefix(path, "/objects"):
		return purposeObjects
	case strings.HasPrefix(path, "/table"):
		query := r.URL.Query()
		table, _, _ := strings.Cut(cmp.Or(query.Get("prefix"), query.Get("key")), "/")
		return purposeRead + table
	case strings.HasSuffix(path, "/start"):
		return purposeStart
	case strings.HasSuffix(path, "/report"):
		return purposeReport
	case strings.HasSuffix(path, "/stop"):
		return purposeStop
	case strings.HasSuffix(path, "/status"):
		return purposeStatus
	}
	return purposeRequests
}

var peerPurposes = map[uint8]string{
	message.KindPromiseRequest: "promises", message.KindPromise: "promises",
	message.KindFenceConsentRequest: "words", message.KindFenceConsent: "words",
	message.KindPlanDigest: "plan digests", message.KindPlanSections: "plan sections",
	message.KindSubmit: "submissions", message.KindSubmitted: "submissions",
	message.KindCancel: "cancels", message.KindCancelled: "cancels",
	message.KindJobQuery: "job queries", message.KindJobAnswer: "job queries",
	message.KindWorkersQuery: "worker queries", message.KindWorkersAnswer: "worker queries",
	message.KindCordon: "cordons", message.KindCordoned: "cordons",
	message.KindFreeSlots: "room", message.KindFreeSlotsAck: "room",
	message.KindBurnQuery: "burn reports", message.KindBurnAnswer: "burn reports",
	message.KindStatusQuery: "status", message.KindStatusAnswer: "status",
}

// peerPurpose returns the purpose of a frame between entry hosts.
func peerPurpose(kind uint8) string {
	switch kind {
	case message.KindRequest, message.KindAnswer:
		return purposeRequests
	}
	if name, ok := peerPurposes[kind]; ok {
		return purposePeer + name
	}
	return fmt.Sprintf("%skind %d", purposePeer, kind)
}

// Bytes that net/http adds to a request or a response besides its Header: the
// first line without its path, and Host, User-Agent, Accept-Encoding and
// Content-Length.
const (
	requestLineBytes = 110
	statusLineBytes  = 20
)

func requestBytes(r *http.Request) uint64 {
	return uint64(requestLineBytes+len(r.URL.RequestURI())+max(int(r.ContentLength), 0)) + headerBytes(r.Header)
}

// responseBytes does not count the body, whose length may not be known yet.
func responseBytes(r *http.Response) uint64 {
	return statusLineBytes + headerBytes(r.Header)
}

func headerBytes(h http.Header) uint64 {
	const punctuation = 4
	sum := 0
	for name, values := range h {
		for _, v := range values {
			sum += len(name) + len(v) + punctuation
		}
	}
	return uint64(sum)
}
