package platform

// Row is one row of the table service.
type Row struct {
	// Key identifies the row.
	Key string
	// Version is the number of the commit that wrote the row. Commits are
	// numbered across the whole table, so a higher version is a later one.
	Version uint64
	// WriteID is the ID of the commit that wrote the row. After a commit with
	// an unknown outcome, a read of the row shows by its WriteID whether the
	// commit took effect.
	WriteID string
	// Value is the content, which is opaque to the table.
	Value []byte
}

// Absent is the version of a row that does not exist.
const Absent uint64 = 0

// Check is a precondition of a commit: a row must have a given version.
type Check struct {
	Key string
	// Version is the expected version; Absent requires that the row does not
	// exist.
	Version uint64
}

// Write creates, replaces or deletes one row as part of a commit.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Commit is an atomic transaction: if a check fails, nothing is written.
type Commit struct {
	// ID is unique to the commit and is stored with each row that it writes.
	ID     string
	Checks []Check
	Writes []Write
}
