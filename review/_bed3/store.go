package main

import (
	"encoding/base64"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// txTime is how long a transaction takes, and maxPageRows the rows of one answer.
	txTime      = 8 * time.Millisecond
	maxPageRows = 500
	maxEntries  = 100
)

// rowStore is a stand-in for the platform's store. It keeps its whole history.
type rowStore struct {
	begin time.Time

	mu      sync.Mutex
	rows    map[rowName]storedRow
	version uint64
	history []storedRow
	changed chan struct{}
	servers []*http.Server
}

type rowName struct{ table, part, key string }

type storedRow struct {
	rowName
	value   []byte
	version uint64
	deleted bool
}

func newRowStore() *rowStore {
	return &rowStore{begin: time.Now(), rows: make(map[rowName]storedRow), changed: make(chan struct{})}
}

// listen serves the store at a new address.
func (s *rowStore) listen() (netip.AddrPort, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.handleTransaction)
	mux.HandleFunc("GET /v1/rows-get", s.handleGet)
	mux.HandleFunc("GET /v1/rows-feed", s.handleFeed)
	server := &http.Server{Handler: mux}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listen) }()
	return netip.ParseAddrPort(listen.Addr().String())
}

func (s *rowStore) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// put writes a row, as the operator or a minion does.
func (s *rowStore) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storedRow{rowName: rowName{table, "", key}, value: encoded(value), version: s.version})
	s.notify()
}

// apply applies one change. The caller holds the lock.
func (s *rowStore) apply(r storedRow) {
	if r.deleted {
		delete(s.rows, r.rowName)
	} else {
		s.rows[r.rowName] = r
	}
	s.history = append(s.history, r)
}

// notify wakes the feeds. The caller holds the lock.
func (s *rowStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type storeEntry struct {
	Table string `msgpack:"table"`
	Part  string `msgpack:"part"`
	Key   string `msgpack:"key"`
	Value string `msgpack:"value"`
	Ver   uint64 `msgpack:"ver"`
}

func (e storeEntry) name() rowName { return rowName{e.Table, e.Part, e.Key} }

type storeTransaction struct {
	Expected []storeEntry `msgpack:"expected_rev"`
	Writes   []storeEntry `msgpack:"writes"`
	Remove   []storeEntry `msgpack:"remove"`
}

// allowed returns the status with which a transaction is refused, or 200.
func (t *storeTransaction) allowed() int {
	all := slices.Concat(t.Expected, t.Writes, t.Remove)
	if len(all) > maxEntries {
		return http.StatusBadRequest
	}
	for _, e := range all {
		if e.Part != all[0].Part {
			return http.StatusBadRequest
		}
	}
	for _, e := range slices.Concat(t.Writes, t.Remove) {
		if e.Table == "op" || e.Table == "servers" {
			return http.StatusForbidden
		}
	}
	return http.StatusOK
}

func (s *rowStore) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var t storeTransaction
	if err := msgpack.NewDecoder(http.MaxBytesReader(w, r.Body, 1_000_000)).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := t.allowed(); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	time.Sleep(txTime)
	status, body := s.transact(&t)
	respond(w, status, body)
}

// transact applies a transaction if its conditions hold, and returns the answer.
func (s *rowStore) transact(t *storeTransaction) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.rows[e.name()].version == e.Ver {
			continue
		}
		rows := []any{}
		for _, e := range t.Expected {
			if current, there := s.rows[e.name()]; there {
				rows = append(rows, current.wire())
			}
		}
		return http.StatusPreconditionFailed, map[string]any{"rows": rows}
	}
	s.version++
	for _, e := range t.Writes {
		value, _ := base64.StdEncoding.DecodeString(e.Value)
		s.apply(storedRow{rowName: e.name(), value: value, version: s.version})
	}
	for _, e := range t.Remove {
		s.apply(storedRow{rowName: e.name(), version: s.version, deleted: true})
	}
	s.notify()
	return http.StatusOK, map[string]any{"ver": s.version, "now_ms": s.nowMs()}
}

func (s *rowStore) nowMs() int64 { return time.Since(s.begin).Milliseconds() }

func (r storedRow) wire() map[string]any {
	out := map[string]any{"table": r.table, "part": r.part, "key": r.key, "ver": r.version}
	if r.deleted {
		out["deleted"] = true
		return out
	}
	out["value"] = base64.StdEncoding.EncodeToString(r.value)
	return out
}

func (s *rowStore) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var found []storedRow
	for name, row := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") {
			found = append(found, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b storedRow) int { return strings.Compare(a.key, b.key) })
	s.respondRows(w, found[:min(len(found), limit)], version, len(found) > limit)
}

func (s *rowStore) respondRows(w http.ResponseWriter, found []storedRow, version uint64, more bool) {
	rows := make([]any, len(found))
	for i, row := range found {
		rows[i] = row.wire()
	}
	respond(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more, "ver": version, "now_ms": s.nowMs()})
}

func (s *rowStore) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("depends_on"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []storedRow
		for i := len(s.history) - 1; i >= 0 && s.history[i].version > after; i-- {
			if s.history[i].table == q.Get("table") {
				found = append(found, s.history[i])
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		slices.Reverse(found)
		if len(found) > 0 {
			s.respondRows(w, found, version, false)
			return
		}
		select {
		case <-changed:
		case <-expired:
			s.respondRows(w, nil, version, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}
