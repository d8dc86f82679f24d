package connlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a table with what is known of each connection.
type model struct {
	table *Table[int]
	now   time.Time
	most  int
	open  map[*Entry[int]]*connection
	last  int
}

type connection struct {
	proven, serving bool
	progressAt      time.Time
	held            int64
}

func (m *model) any(t *rapid.T) *Entry[int] {
	var entries []*Entry[int]
	for i := range m.last + 1 {
		for e := range m.open {
			if e.Value == i {
				entries = append(entries, e)
			}
		}
	}
	if len(entries) == 0 {
		t.Skip("no connection")
	}
	return rapid.SampledFrom(entries).Draw(t, "connection")
}

func (m *model) unproven() (n int) {
	for _, c := range m.open {
		if !c.proven {
			n++
		}
	}
	return n
}

// Add opens a connection and checks which others are closed for it.
func (m *model) Add(t *rapid.T) {
	m.last++
	added := &Entry[int]{Value: m.last}
	m.open[added] = &connection{progressAt: m.now}
	m.table.Add(added, m.now)
	before := m.unproven()
	for _, e := range m.table.MakeRoom(added) {
		c, known := m.open[e]
		switch {
		case !known:
			t.Fatalf("connection %d was closed before", e.Value)
		case c.serving:
			t.Fatalf("connection %d is closed while its request is processed", e.Value)
		case c.proven && float64(before) > newShare*float64(m.most):
			t.Fatalf("connection %d has completed requests and is closed for one of %d that have not", e.Value, before)
		}
		for other, o := range m.open {
			if other != added && e != added && !o.serving && o.proven == c.proven && o.progressAt.Before(c.progressAt) {
				t.Fatalf("connection %d is closed, and %d was without progress for longer", e.Value, other.Value)
			}
		}
		delete(m.open, e)
	}
	if len(m.open) > m.most || float64(m.unproven()) > newShare*float64(m.most) {
		t.Fatalf("%d connections are open, %d of them new; %d are allowed", len(m.open), m.unproven(), m.most)
	}
}

// Remove closes a connection from outside.
func (m *model) Remove(t *rapid.T) {
	e := m.any(t)
	m.table.Remove(e)
	m.table.Remove(e)
	delete(m.open, e)
}

// Progress lets a connection make progress.
func (m *model) Progress(t *rapid.T) {
	e := m.any(t)
	m.table.Progress(e, m.now)
	m.open[e].progressAt = m.now
}

// Serve begins or ends the processing of a request.
func (m *model) Serve(t *rapid.T) {
	e := m.any(t)
	c := m.open[e]
	if c.serving {
		m.table.Prove(e)
		c.proven = true
	}
	c.serving = !c.serving
	c.progressAt = m.now
	m.table.Progress(e, m.now)
	m.table.SetClosable(e, !c.serving)
	m.table.Progress(e, m.now)
}

// Hold changes the bytes that a connection holds.
func (m *model) Hold(t *rapid.T) {
	e := m.any(t)
	c := m.open[e]
	bytes := rapid.Int64Range(-c.held, 100).Draw(t, "bytes")
	m.table.Hold(e, bytes)
	c.held += bytes
	m.table.Progress(e, m.now)
	c.progressAt = m.now
}

// Reclaim checks which connections have to give up their bytes.
func (m *model) Reclaim(t *rapid.T) {
	for _, e := range m.table.Stalled(m.now, rapid.Int64Range(1, 200).Draw(t, "needed")) {
		switch c := m.open[e]; {
		case c == nil, c.serving, c.held == 0:
			t.Fatalf("connection %d cannot give up bytes: %+v", e.Value, c)
		case m.now.Sub(c.progressAt) < grace:
			t.Fatalf("connection %d has made progress %v ago", e.Value, m.now.Sub(c.progressAt))
		}
	}
}

// Wait lets time pass.
func (m *model) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
}

// Check compares the numbers.
func (m *model) Check(t *rapid.T) {
	if m.table.Open() != len(m.open) || m.table.unproven != m.unproven() {
		t.Fatalf("%d connections, %d of them new; want %d and %d", m.table.Open(), m.table.unproven, len(m.open), m.unproven())
	}
}

// Connections whose request is being processed must never be closed, and those that
// complete requests must not be closed for a flood of new ones.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const fewest = 4 // so that each share is at least one connection
		most := rapid.IntRange(fewest, 12).Draw(t, "most")
		m := &model{table: New[int](most), now: time.Unix(0, 0), most: most, open: make(map[*Entry[int]]*connection)}
		t.Repeat(map[string]func(*rapid.T){
			"": m.Check, "add": m.Add, "remove": m.Remove, "progress": m.Progress, "serve": m.Serve, "hold": m.Hold,
			"reclaim": m.Reclaim, "wait": m.Wait,
		})
	})
}
