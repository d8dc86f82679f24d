package cell

import (
	"slices"
	"time"
)

// WaveRecord is the durable progress of a maintenance wave. It tells a new
// owner which orders of predecessors may still be in flight.
type WaveRecord struct {
	Wave     int
	Revision uint64
	// Ordered holds the machines whose order may take effect at any time.
	Ordered []string
	// Settled holds the machines that need no further order.
	Settled []string
}

// WaveRecords returns the wave records to make durable next.
func (c *Cell) WaveRecords() []WaveRecord {
	var out []WaveRecord
	for _, number := range sortedKeys(c.waves) {
		if w := c.waves[number]; w.durable < w.revision {
			out = append(out, w.record())
		}
	}
	return out
}

// WavesCommitted records that wave records are durable.
func (c *Cell) WavesCommitted(records []WaveRecord) {
	for i := range records {
		if w, known := c.waves[records[i].Wave]; known {
			w.durable = max(w.durable, records[i].Revision)
		}
	}
}

// RestoreWave stores the record of a predecessor. It is called before SetWave.
func (c *Cell) RestoreWave(rec WaveRecord) { c.waveRecords[rec.Wave] = rec }

// mayGoDown reports whether a maintenance order may take a machine down at any
// time, including an order of a predecessor whose wave is not known yet.
func (c *Cell) mayGoDown(machine string) bool {
	if len(c.waves) == 0 && len(c.waveRecords) == 0 {
		return false // decisions ask about all workers
	}
	for _, w := range c.waves {
		if _, ordered := w.ordered[machine]; ordered && !w.settled[machine] {
			return true
		}
	}
	for number, rec := range c.waveRecords {
		if _, known := c.waves[number]; !known && slices.Contains(rec.Ordered, machine) {
			return true
		}
	}
	return false
}

// maintenanceOrdered reports whether an order to take a machine down has been sent
// and not settled. A machine that mayGoDown may only wait for its order.
func (c *Cell) maintenanceOrdered(machine string) bool {
	for _, w := range c.waves {
		if at := w.ordered[machine]; !at.IsZero() && !w.settled[machine] {
			return true
		}
	}
	for number, rec := range c.waveRecords {
		if _, known := c.waves[number]; !known && slices.Contains(rec.Ordered, machine) {
			return true
		}
	}
	return false
}

func (w *waveState) record() WaveRecord {
	rec := WaveRecord{Wave: w.wave.Number, Revision: w.revision}
	for _, machine := range w.wave.Machines {
		_, ordered := w.ordered[machine]
		switch {
		case w.settled[machine]:
			rec.Settled = append(rec.Settled, machine)
		case ordered:
			rec.Ordered = append(rec.Ordered, machine)
		}
	}
	return rec
}

// restore continues from a record. Its content is already durable.
func (w *waveState) restore(now time.Time, rec WaveRecord) {
	for _, machine := range rec.Settled {
		w.settled[machine] = true
		// The machine may still be down.
		w.ordered[machine] = now
	}
	for _, machine := range rec.Ordered {
		w.ordered[machine] = now
	}
	w.revision, w.durable = rec.Revision, rec.Revision
}
