package cell

import (
	"slices"
	"time"
)

// WaveRecord is what has to be durable of a wave of maintenance, so that a new
// owner knows which orders of earlier owners may still be on their way.
type WaveRecord struct {
	Wave     int
	Revision uint64
	// Ordered holds the machines whose order may take effect at any time.
	Ordered []string
	// Settled holds the machines that need no order any more.
	Settled []string
}

// WaveRecords returns the records of waves to make durable next.
func (c *Cell) WaveRecords() []WaveRecord {
	var out []WaveRecord
	for _, number := range sortedKeys(c.waves) {
		if w := c.waves[number]; w.durable < w.revision {
			out = append(out, w.record())
		}
	}
	return out
}

// WavesCommitted notes that records of waves are durable.
func (c *Cell) WavesCommitted(records []WaveRecord) {
	for i := range records {
		if w, known := c.waves[records[i].Wave]; known {
			w.durable = max(w.durable, records[i].Revision)
		}
	}
}

// RestoreWave takes in the record of an earlier owner, before SetWave.
func (c *Cell) RestoreWave(rec WaveRecord) { c.waveRecords[rec.Wave] = rec }

// mayGoDown reports whether an order for maintenance may take a machine down at any
// time, an order of an earlier owner included whose wave is not known yet.
func (c *Cell) mayGoDown(machine string) bool {
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

// restore goes on from a record. What it holds is durable already.
func (w *waveState) restore(now time.Time, rec WaveRecord) {
	for _, machine := range rec.Settled {
		w.settled[machine] = true
		// It may be down still.
		w.ordered[machine] = now
	}
	for _, machine := range rec.Ordered {
		w.ordered[machine] = now
	}
	w.revision, w.durable = rec.Revision, rec.Revision
}
