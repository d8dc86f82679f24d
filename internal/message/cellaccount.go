package message

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// The forms of JobLookup and RelayedCancel in deployments with accounts. Hosts of
// earlier releases do not know them, so they cannot answer for another account's job.

type accountJobLookupWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Queue    string
	Account  string
}

var accountJobLookupCodec = codec[JobLookup, accountJobLookupWire]{
	kind: KindAccountJobLookup,
	toWire: func(m JobLookup) accountJobLookupWire {
		return accountJobLookupWire{ID: string(m.ID), Queue: m.Scope.Queue, Account: m.Scope.Account}
	},
	fromWire: func(w accountJobLookupWire) JobLookup {
		return JobLookup{ID: workload.JobID(w.ID), Scope: accountScope(w.Queue, w.Account)}
	},
}

type accountCancelWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Timeout  time.Duration
	Queue    string
	Account  string
}

var accountCancelCodec = codec[RelayedCancel, accountCancelWire]{
	kind: KindAccountCancel,
	toWire: func(m RelayedCancel) accountCancelWire {
		return accountCancelWire{ID: string(m.ID), Timeout: m.Timeout, Queue: m.Scope.Queue, Account: m.Scope.Account}
	},
	fromWire: func(w accountCancelWire) RelayedCancel {
		return RelayedCancel{ID: workload.JobID(w.ID), Timeout: w.Timeout, Scope: accountScope(w.Queue, w.Account)}
	},
}

func accountScope(queue, account string) manifest.JobScope {
	return manifest.JobScope{Queue: queue, Account: account, HasAccounts: true}
}
