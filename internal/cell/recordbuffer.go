package cell

const (
	// minRecordBuffer and maxRecordBuffer bound the number of tasks that a buffer is
	// allocated for, unless one step has more.
	minRecordBuffer = 64
	maxRecordBuffer = 4096
)

// recordBuffer holds the tasks of the records that are being encoded. An owner takes the
// records of a few hundred tasks with each commit, which need no new memory each time.
type recordBuffer struct {
	tasks []TaskRecord
}

// take returns a list of n tasks. If the buffer is full, the lists taken before keep it,
// and a larger one is begun.
func (b *recordBuffer) take(n int) []TaskRecord {
	begin := len(b.tasks)
	if begin+n > cap(b.tasks) {
		size := min(max(2*cap(b.tasks), minRecordBuffer), maxRecordBuffer)
		b.tasks, begin = make([]TaskRecord, 0, max(size, n)), 0
	}
	b.tasks = b.tasks[:begin+n]
	return b.tasks[begin : begin+n : begin+n]
}

// reuse makes the buffer available again. No list that was taken may be in use.
func (b *recordBuffer) reuse() {
	clear(b.tasks)
	b.tasks = b.tasks[:0]
	if cap(b.tasks) > maxRecordBuffer {
		b.tasks = nil
	}
}

// RecordsEncoded takes back the occurrences of the records that TakeRecords has returned
// last, which are removed from the records. No record that was taken before may be in use.
func (c *Cell) RecordsEncoded(records []Record) {
	for i := range records {
		records[i].Occurrences = nil
	}
	c.recordBuffer.reuse()
}
