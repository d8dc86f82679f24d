package journal

import (
	"fmt"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job/jobwire"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

// pointer names the snapshot that replaces all journal rows written before it.
type pointer struct {
	// Number counts the snapshots of a unit.
	Number uint64
	// Epoch is the epoch of the owner that wrote the snapshot.
	Epoch uint64
	// Object is the name of the snapshot in the object store.
	Object string
	// Old names obsolete snapshot objects that may not be deleted yet.
	Old []string
}

type pointerWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Number   uint64
	Epoch    uint64
	Object   string
	Old      []string
}

type snapshotWire struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Jobs      []jobWire
	Ended     []string
	Settled   uint64
	Accounted uint64
}

type jobWire struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Spec      jobwire.Spec
	Cancelled bool
	Failed    string
	Parked    string
	Tasks     []taskWire
}

type taskWire struct {
	_msgpack struct{} `msgpack:",as_array,omitempty"`
	Ended    bool
	Attempt  int
	Tries    int
	Worker   string
	Size     jobwire.Size
	Until    int64
}

// PointerKey returns the key of the row that points to the snapshot of a unit.
func PointerKey(dataCentre string, u lease.Unit) string {
	return "snapshot/" + dataCentre + "/" + string(u)
}

func objectName(dataCentre string, u lease.Unit, number, epoch uint64) string {
	return fmt.Sprintf("snapshot/%s/%s/%016x-%016x", dataCentre, u, number, epoch)
}

func encodePointer(p pointer) []byte {
	return encodeEnvelope(pointerWire{Number: p.Number, Epoch: p.Epoch, Object: p.Object, Old: p.Old})
}

func decodePointer(key string, value []byte) (pointer, error) {
	var w pointerWire
	if err := decodeEnvelope("row "+key, value, &w); err != nil {
		return pointer{}, err
	}
	return pointer{Number: w.Number, Epoch: w.Epoch, Object: w.Object, Old: w.Old}, nil
}

// EncodeSnapshot encodes a snapshot as the content of an object.
func EncodeSnapshot(s pool.Snapshot) []byte {
	w := snapshotWire{Jobs: make([]jobWire, 0, len(s.Jobs)), Ended: s.Ended, Settled: s.RenewalsEnded, Accounted: s.Reconciled}
	for _, j := range s.Jobs {
		jw := jobWire{
			Spec: jobwire.EncodeSpec(j.Spec), Cancelled: j.Cancelled, Failed: j.Failed, Parked: j.Parked,
			Tasks: make([]taskWire, 0, len(j.Tasks)),
		}
		for _, t := range j.Tasks {
			jw.Tasks = append(jw.Tasks, taskToWire(t))
		}
		w.Jobs = append(w.Jobs, jw)
	}
	return encodeEnvelope(w)
}

// DecodeSnapshot decodes the content of an object. Content that cannot be decoded
// is an error of KindCorrupt, which names the object and what is wrong with it.
func DecodeSnapshot(name string, content []byte) (pool.Snapshot, error) {
	var w snapshotWire
	if err := decodeEnvelope("object "+name, content, &w); err != nil {
		return pool.Snapshot{}, err
	}
	s := pool.Snapshot{Ended: w.Ended, RenewalsEnded: w.Settled, Reconciled: w.Accounted}
	for _, jw := range w.Jobs {
		j := pool.JobSnapshot{
			Spec: jobwire.DecodeSpec(jw.Spec), Cancelled: jw.Cancelled, Failed: jw.Failed, Parked: jw.Parked,
		}
		for _, tw := range jw.Tasks {
			j.Tasks = append(j.Tasks, taskFromWire(tw))
		}
		s.Jobs = append(s.Jobs, j)
	}
	return s, nil
}

func taskToWire(t pool.TaskSnapshot) taskWire {
	w := taskWire{Ended: t.Ended, Attempt: t.Attempt, Tries: t.Tries, Worker: t.Worker, Size: jobwire.EncodeSize(t.Size)}
	if !t.Until.IsZero() {
		w.Until = t.Until.UnixNano()
	}
	return w
}

func taskFromWire(w taskWire) pool.TaskSnapshot {
	t := pool.TaskSnapshot{Ended: w.Ended, Attempt: w.Attempt, Tries: w.Tries, Worker: w.Worker, Size: jobwire.DecodeSize(w.Size)}
	if w.Until != 0 {
		t.Until = time.Unix(0, w.Until)
	}
	return t
}
