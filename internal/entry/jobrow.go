package entry

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/journal"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

// jobRow is the row of a job: its description, the data centre that accepted it,
// and its state. It is kept after the journal's records of the job are gone.
type jobRow struct {
	DataCentre string
	Team       string
	Name       string
	Kind       job.Kind
	Tasks      int
	State      job.State
	Message    string
	// Sum is a digest of the job's Spec. It distinguishes a repeated submission
	// from another job with the same ID.
	Sum uint64
}

// jobRowWire is the JSON encoding of a jobRow.
type jobRowWire struct {
	DataCentre string
	Team       string
	Name       string
	Kind       string
	Tasks      int
	State      string
	Message    string `json:",omitempty"`
	Sum        uint64
}

// newJobRow returns the row of a job that is accepted in a data centre.
func newJobRow(dataCentre string, s job.Spec) jobRow {
	return jobRow{
		DataCentre: dataCentre, Team: s.Team, Name: s.Name, Kind: s.Kind, Tasks: s.Tasks,
		State: job.StateAccepted, Sum: specDigest(s),
	}
}

// specDigest returns a digest of a job's Spec.
func specDigest(s job.Spec) uint64 {
	return xxhash.Sum64(journal.Encode([]pool.Record{{Kind: pool.RecordAccepted, Spec: s}}))
}

func jobKey(id string) string { return "job/" + id }

func encodeJobRow(r jobRow) []byte {
	b, err := json.Marshal(jobRowWire{
		DataCentre: r.DataCentre, Team: r.Team, Name: r.Name, Kind: string(r.Kind), Tasks: r.Tasks,
		State: string(r.State), Message: r.Message, Sum: r.Sum,
	})
	if err != nil {
		// The wire type has only strings and numbers, which always encode.
		panic(err)
	}
	return b
}

func decodeJobRow(row platform.Row) (jobRow, error) {
	var w jobRowWire
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return jobRow{}, fault.New("decode job row", KindMalformed, "row %s: %w", row.Key, err)
	}
	return jobRow{
		DataCentre: w.DataCentre, Team: w.Team, Name: w.Name, Kind: job.Kind(w.Kind), Tasks: w.Tasks,
		State: job.State(w.State), Message: w.Message, Sum: w.Sum,
	}, nil
}
