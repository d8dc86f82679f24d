package ledger

import (
	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

type waveWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Wave     int
	Revision uint64
	Ordered  []string
	Settled  []string
}

// EncodeWave encodes the record of a maintenance wave.
func EncodeWave(r cell.WaveRecord) ([]byte, error) {
	return msgpack.Marshal(&waveWire{Wave: r.Wave, Revision: r.Revision, Ordered: r.Ordered, Settled: r.Settled})
}

// DecodeWave decodes the record of a maintenance wave.
func DecodeWave(value []byte) (cell.WaveRecord, error) {
	var w waveWire
	if err := wire.Unmarshal(value, &w); err != nil {
		return cell.WaveRecord{}, fault.New("decode wave", KindMalformed, "%w", err)
	}
	return cell.WaveRecord{Wave: w.Wave, Revision: w.Revision, Ordered: w.Ordered, Settled: w.Settled}, nil
}
