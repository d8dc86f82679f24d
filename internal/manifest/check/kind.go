package check

// Kind is what a finding is about. Scripts match findings by kind, so that the values stay
// as they are.
type Kind string

const (
	// KindRejected means that hosts cannot decode the manifest and keep the last one.
	KindRejected Kind = "Rejected"

	// KindMisspelled means that hosts do not read a field, whose name is nearly that of one
	// that they read.
	KindMisspelled Kind = "Misspelled"

	// KindNoQueue means that there is no queue at all.
	KindNoQueue Kind = "NoQueue"
	// KindQueueName means that a queue has no name, or that of another one.
	KindQueueName Kind = "QueueName"
	// KindAddress means that no request, or hardly one, has the host or the path prefix.
	KindAddress Kind = "Address"
	// KindSameAddress means that an earlier queue has the same host and path prefix.
	KindSameAddress Kind = "SameAddress"
	// KindShadowed means that another queue gets some of the queue's requests.
	KindShadowed Kind = "Shadowed"
	// KindUnknownService means that the manifest does not have a queue's service.
	KindUnknownService Kind = "UnknownService"
	// KindServiceName means that a service has no name, or that of another one.
	KindServiceName Kind = "ServiceName"
	// KindUnusedService means that no queue uses a service.
	KindUnusedService Kind = "UnusedService"

	// KindObjective means that jobs cannot meet the latency objective of their queue.
	KindObjective Kind = "Objective"
	// KindTicket means that tickets expire too early.
	KindTicket Kind = "Ticket"
	// KindTimeout means that a queue's timeout is too short.
	KindTimeout Kind = "Timeout"
	// KindAttempts means that the failed attempts of a task are not limited.
	KindAttempts Kind = "Attempts"
	// KindPriority means that a priority has a special meaning.
	KindPriority Kind = "Priority"
	// KindUnusedPriority means that no queue has some of the priorities.
	KindUnusedPriority Kind = "UnusedPriority"
	// KindLimit means that a limit on requests is missing or out of proportion.
	KindLimit Kind = "Limit"

	// KindNoAccount means that calls need a key and no account is configured.
	KindNoAccount Kind = "NoAccount"
	// KindNoKey means that nobody can use an account.
	KindNoKey Kind = "NoKey"
	// KindNoEffect means that accounts, or the mark of a public queue, have no effect.
	KindNoEffect Kind = "NoEffect"
	// KindWeight means that an account is entitled to no rate.
	KindWeight Kind = "Weight"
	// KindCap means that a typical task does not fit under the cap of an account.
	KindCap Kind = "Cap"
	// KindTotals gives the sums of caps and weights.
	KindTotals Kind = "Totals"

	// KindVersion means that hosts do not put the manifest in force.
	KindVersion Kind = "Version"
)

// The kinds of differences from the version in force.
const (
	KindQueueAdded      Kind = "QueueAdded"
	KindQueueRemoved    Kind = "QueueRemoved"
	KindQueueChanged    Kind = "QueueChanged"
	KindServiceAdded    Kind = "ServiceAdded"
	KindServiceRemoved  Kind = "ServiceRemoved"
	KindServiceChanged  Kind = "ServiceChanged"
	KindLimitChanged    Kind = "LimitChanged"
	KindAccountsAdded   Kind = "AccountsAdded"
	KindAccountsRemoved Kind = "AccountsRemoved"
	KindAccountAdded    Kind = "AccountAdded"
	KindAccountRemoved  Kind = "AccountRemoved"
	KindAccountChanged  Kind = "AccountChanged"
	KindKeysChanged     Kind = "KeysChanged"
	KindKeysMoved       Kind = "KeysMoved"
)
