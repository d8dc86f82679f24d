package main

import (
	"encoding/base64"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey identifies a row of the store.
type rowKey struct{ table, part, key string }

type row struct {
	value   string
	ver     uint64
	deleted bool
}

// fate is what becomes of a write: when it is done, and whether it is answered.
type fate struct {
	after time.Duration
	lost  bool
}

// store stands in for the platform's store, with tables of rows.
type store struct {
	start time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	ver     uint64
	changed chan struct{}
	// fateOf decides about a write; nil does it at once and answers it.
	fateOf func(t transaction) fate
}

type keyBody struct {
	Table string `msgpack:"table"`
	Part  string `msgpack:"part"`
	Key   string `msgpack:"key"`
	Ver   uint64 `msgpack:"ver"`
	Value string `msgpack:"value"`
}

func (k keyBody) rowKey() rowKey { return rowKey{k.Table, k.Part, k.Key} }

type transaction struct {
	Expected []keyBody `msgpack:"expected_rev"`
	Writes   []keyBody `msgpack:"writes"`
	Remove   []keyBody `msgpack:"remove"`
}

const (
	// txTime is how long a transaction takes, and readTime a read.
	txTime   = 8 * time.Millisecond
	readTime = 4 * time.Millisecond
	maxRows  = 500
)

func newStore() *store {
	return &store{start: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	return mux
}

// setFate sets what decides about the writes from now on.
func (s *store) setFate(f func(t transaction) fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fateOf = f
}

// put writes a row of the operator or of a worker.
func (s *store) put(table, key string, v any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowKey{table, "", key}] = row{value: base64.StdEncoding.EncodeToString(marshal(v)), ver: s.ver}
	s.notify()
}

// notify wakes the feeds. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() int64 { return time.Since(s.start).Milliseconds() }

// apply does a transaction, and returns the status and the body of its answer.
func (s *store) apply(t transaction) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	for _, e := range t.Expected {
		current, known := s.rows[e.rowKey()]
		if known = known && !current.deleted; known && current.ver != e.Ver || !known && e.Ver != 0 {
			failed = true
		}
	}
	if failed {
		rows := []any{}
		for _, e := range t.Expected {
			if r, known := s.rows[e.rowKey()]; known && !r.deleted {
				rows = append(rows, rowBody(e.rowKey(), r))
			}
		}
		return http.StatusPreconditionFailed, map[string]any{"rows": rows, "ver": s.ver, "now_ms": s.now()}
	}
	s.ver++
	for _, w := range t.Writes {
		s.rows[w.rowKey()] = row{value: w.Value, ver: s.ver}
	}
	for _, k := range t.Remove {
		if _, known := s.rows[k.rowKey()]; known {
			s.rows[k.rowKey()] = row{ver: s.ver, deleted: true}
		}
	}
	s.notify()
	return http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.now()}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if !decode(w, r, &t) {
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	decide := s.fateOf
	s.mu.Unlock()
	var f fate
	if decide != nil {
		f = decide(t)
	}
	if !f.lost {
		status, body := s.apply(t)
		respond(w, status, body)
		return
	}
	if f.after == 0 {
		s.apply(t)
	} else {
		time.AfterFunc(f.after, func() { s.apply(t) })
	}
	<-r.Context().Done() // the connection delivers nothing further
}

func rowBody(k rowKey, r row) map[string]any {
	body := map[string]any{"table": k.table, "part": k.part, "key": k.key, "ver": r.ver}
	if r.deleted {
		body["deleted"] = true
	} else {
		body["value"] = r.value
	}
	return body
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []rowKey
	for k, v := range s.rows {
		in := k.table == q.Get("table") && k.part == q.Get("part") && !v.deleted && k.key >= q.Get("from")
		if target := q.Get("target"); in && (target == "" || k.key < target) {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].key < keys[j].key })
	more := len(keys) > limit
	rows := []any{}
	for _, k := range keys[:min(len(keys), limit)] {
		rows = append(rows, rowBody(k, s.rows[k]))
	}
	respond(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more, "ver": s.ver, "now_ms": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("depends_on"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var keys []rowKey
		for k, v := range s.rows {
			if k.table == q.Get("table") && v.ver > after {
				keys = append(keys, k)
			}
		}
		changed := s.changed
		if len(keys) > 0 {
			sort.Slice(keys, func(i, j int) bool { return s.rows[keys[i]].ver < s.rows[keys[j]].ver })
			rows := []any{}
			for _, k := range keys {
				rows = append(rows, rowBody(k, s.rows[k]))
			}
			body := map[string]any{"rows": rows, "ver": s.ver, "now_ms": s.now()}
			s.mu.Unlock()
			respond(w, http.StatusOK, body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			s.mu.Lock()
			body := map[string]any{"rows": []any{}, "ver": max(after, s.ver), "now_ms": s.now()}
			s.mu.Unlock()
			respond(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}
