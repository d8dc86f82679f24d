package plan

import (
	"bytes"
	"path"
	"strconv"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// wireHistoryEntry is the JSON form of a HistoryEntry.
type wireHistoryEntry struct {
	Author   string
	At       string `validate:"datetime=2006-01-02T15:04:05Z07:00"`
	Base     uint64
	Revision uint64
	Section  wireSection
}

func newWireHistoryEntry(entry HistoryEntry) *wireHistoryEntry {
	return &wireHistoryEntry{
		Author:   entry.Author,
		At:       entry.At.UTC().Format(time.RFC3339),
		Base:     entry.Base,
		Revision: entry.Section.Revision,
		Section:  *newWireSection(entry.Section),
	}
}

func (w *wireHistoryEntry) historyEntry() HistoryEntry {
	at, err := time.Parse(time.RFC3339, w.At)
	if err != nil {
		at = time.Time{}
	}
	return HistoryEntry{Base: w.Base, Author: w.Author, At: at, Section: w.Section.section()}
}

// EncodeHistory encodes accepted edits as a JSON array.
func EncodeHistory(entries []HistoryEntry) ([]byte, error) {
	list := make([]*wireHistoryEntry, 0, len(entries))
	for _, entry := range entries {
		list = append(list, newWireHistoryEntry(entry))
	}
	data, err := document.Encode(list)
	if err != nil {
		return nil, fault.New("encode", KindInvalid, "%w", err)
	}
	return data, nil
}

// DecodeHistory decodes accepted edits from a JSON array.
func DecodeHistory(data []byte) ([]HistoryEntry, error) {
	var list []wireHistoryEntry
	faults, err := document.Decode(bytes.NewReader(data), MaxDocumentBytes, &list)
	if err != nil {
		return nil, fault.New("decode", KindNotRun, "%w", err)
	}
	entries := make([]HistoryEntry, 0, len(list))
	for i := range list {
		entries = append(entries, list[i].historyEntry())
	}
	return entries, invalidError("decode", faults)
}

func encodeHistoryEntry(entry HistoryEntry) ([]byte, error) {
	data, err := document.Encode(newWireHistoryEntry(entry))
	if err != nil {
		return nil, fault.New("encode", KindInvalid, "%w", err)
	}
	return data, nil
}

// decodeHistoryEntry decodes a history row. The version of the row is the
// revision that the edit created, and its key ends in the base revision.
func decodeHistoryEntry(row platform.Row) (HistoryEntry, error) {
	var w wireHistoryEntry
	faults, err := document.Decode(bytes.NewReader(row.Value), 2*MaxSectionBytes, &w)
	if err != nil {
		return HistoryEntry{}, fault.New("decode", KindNotRun, "%w", err)
	}
	base, err := strconv.ParseUint(path.Base(row.Key), 10, 64)
	if err != nil {
		faults.Add("(key)", row.Key, "a key that ends in a revision")
	}
	entry := w.historyEntry()
	entry.Base, entry.Section.Revision = base, row.Version
	return entry, invalidError("decode", faults)
}
