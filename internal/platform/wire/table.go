package wire

import "cicadabarrow.example/cicadabarrow/internal/platform"

// Row is the wire form of a platform.Row.
type Row struct {
	Key     string
	Version uint64
	WriteID string
	Value   []byte
}

// Rows is the response to a get or a list.
type Rows struct{ Rows []Row }

// Check is the wire form of a platform.Check.
type Check struct {
	Key     string
	Version uint64
}

// Write is the wire form of a platform.Write.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Commit is the wire form of a platform.Commit.
type Commit struct {
	ID     string
	Checks []Check
	Writes []Write
}

// Committed is the response to a commit.
type Committed struct{ Version uint64 }

// FromRow converts a row to its wire form.
func FromRow(r platform.Row) Row {
	return Row{Key: r.Key, Version: r.Version, WriteID: r.WriteID, Value: r.Value}
}

// Domain converts a row from its wire form.
func (r Row) Domain() platform.Row {
	return platform.Row{Key: r.Key, Version: r.Version, WriteID: r.WriteID, Value: r.Value}
}

// FromRows converts rows to their wire form.
func FromRows(rows []platform.Row) Rows {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, FromRow(r))
	}
	return Rows{Rows: out}
}

// Domain converts rows from their wire form.
func (r Rows) Domain() []platform.Row {
	out := make([]platform.Row, 0, len(r.Rows))
	for _, row := range r.Rows {
		out = append(out, row.Domain())
	}
	return out
}

// FromCommit converts a commit to its wire form.
func FromCommit(c platform.Commit) Commit {
	out := Commit{ID: c.ID}
	for _, check := range c.Checks {
		out.Checks = append(out.Checks, Check{Key: check.Key, Version: check.Version})
	}
	for _, w := range c.Writes {
		out.Writes = append(out.Writes, Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return out
}

// Domain converts a commit from its wire form.
func (c Commit) Domain() platform.Commit {
	out := platform.Commit{ID: c.ID}
	for _, check := range c.Checks {
		out.Checks = append(out.Checks, platform.Check{Key: check.Key, Version: check.Version})
	}
	for _, w := range c.Writes {
		out.Writes = append(out.Writes, platform.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return out
}
