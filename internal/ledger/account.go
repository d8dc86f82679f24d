package ledger

import (
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

// accountWire follows jobWire as a second value in the row of a job that has an account.
// Earlier releases read only the first value.
type accountWire struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Name         string
	Weight       float64
	MilliCores   int64
	MemoryMB     int64
	Accelerators int64
}

// appendAccount appends the terms of a job's account to its row.
func appendAccount(row []byte, t manifest.Terms) ([]byte, error) {
	if t.Name == "" {
		return row, nil
	}
	value, err := msgpack.Marshal(&accountWire{
		Name: t.Name, Weight: t.Weight, MilliCores: t.Cap.MilliCores, MemoryMB: t.Cap.MemoryMB, Accelerators: t.Cap.Accelerators,
	})
	return append(row, value...), err
}

// decodeAccount decodes the terms of a job's account from its row. A row without the
// second value is that of a job without an account.
func decodeAccount(row []byte) (manifest.Terms, error) {
	size, err := wire.MeasureWithin(jobLimits, row)
	if err != nil || size == len(row) {
		return manifest.Terms{}, err
	}
	var w accountWire
	if err := wire.UnmarshalWithin(jobLimits, row[size:], &w); err != nil {
		return manifest.Terms{}, err
	}
	if w.Name == "" || !(w.Weight >= 0 && w.Weight <= math.MaxFloat64) || w.MilliCores < 0 || w.MemoryMB < 0 || w.Accelerators < 0 {
		return manifest.Terms{}, fault.New("decode account", KindMalformed, "account %.200q has terms out of range", w.Name)
	}
	limit := job.Size{MilliCores: w.MilliCores, MemoryMB: w.MemoryMB, Accelerators: w.Accelerators}
	return manifest.Terms{Name: w.Name, Weight: w.Weight, Cap: limit}, nil
}
