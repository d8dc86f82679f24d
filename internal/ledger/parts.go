package ledger

import (
	"strconv"
	"strings"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// maxPartBytes is the longest value of a row. The store accepts 64 KiB.
	maxPartBytes = 60_000
	// splitMark begins the first part of a record that is split over several rows;
	// the number of parts follows. No msgpack value begins with this byte.
	splitMark = 0xc1
	// splitHeaderBytes is the length of the mark and the number of parts.
	splitHeaderBytes = 2
	// maxParts keeps the number of parts in one byte.
	maxParts = 255
	// partSeparator separates the job's ID from the number of a part in the name of
	// a row. The first part has the ID alone.
	partSeparator = "."
)

// ProgressPartKey returns the key of one part of a job's progress record. Part 0 has
// the key ProgressKey.
func ProgressPartKey(id workload.JobID, part int) rowstore.Key {
	key := ProgressKey(id)
	if part > 0 {
		key.Name += partSeparator + strconv.Itoa(part)
	}
	return key
}

// SplitRecord splits an encoded record into the values of its rows. A record that
// fits into one row is its only part.
func SplitRecord(value []byte) ([][]byte, error) {
	if len(value) <= maxPartBytes {
		return [][]byte{value}, nil
	}
	count := (len(value) + splitHeaderBytes + maxPartBytes - 1) / maxPartBytes
	if count > maxParts {
		return nil, fault.New("split record", KindMalformed, "a record of %d bytes is too long", len(value))
	}
	rest := append([]byte{splitMark, byte(count)}, value...)
	parts := make([][]byte, 0, count)
	for len(rest) > 0 {
		n := min(len(rest), maxPartBytes)
		parts = append(parts, rest[:n])
		rest = rest[n:]
	}
	return parts, nil
}

// RecordParts holds the rows of one job's progress record.
type RecordParts struct {
	// Values holds the values by the number of the part.
	Values map[int][]byte
}

// Count returns one more than the highest number of a part, including parts that an
// earlier and longer record has left behind.
func (p RecordParts) Count() int {
	count := 0
	for part := range p.Values {
		count = max(count, part+1)
	}
	return count
}

// Join returns the encoded record.
func (p RecordParts) Join() ([]byte, error) {
	first, ok := p.Values[0]
	if !ok {
		return nil, fault.New("join record", KindMalformed, "the first part is missing")
	}
	if len(first) < splitHeaderBytes || first[0] != splitMark {
		return first, nil
	}
	value := append([]byte(nil), first[splitHeaderBytes:]...)
	for part := 1; part < int(first[1]); part++ {
		next, ok := p.Values[part]
		if !ok {
			return nil, fault.New("join record", KindMalformed, "part %d of %d is missing", part, first[1])
		}
		value = append(value, next...)
	}
	return value, nil
}

// GroupRecords groups the rows of progress records by job. It returns the rows whose
// name is malformed too.
func GroupRecords(rows []rowstore.Row) (records map[workload.JobID]RecordParts, malformed []rowstore.Row) {
	records = make(map[workload.JobID]RecordParts)
	for _, row := range rows {
		name, number, split := strings.Cut(row.Name, partSeparator)
		part := 0
		if split {
			var err error
			if part, err = strconv.Atoi(number); err != nil || part < 1 || part >= maxParts {
				malformed = append(malformed, row)
				continue
			}
		}
		id := workload.JobID(name)
		if _, known := records[id]; !known {
			records[id] = RecordParts{Values: make(map[int][]byte)}
		}
		records[id].Values[part] = row.Value
	}
	return records, malformed
}
