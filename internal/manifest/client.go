package manifest

// Client is on whose behalf a call is made.
type Client struct {
	// Account has the terms of the client's account. It is the zero value on public
	// queues and in deployments without accounts.
	Account Terms
	// HasAccounts is set if the deployment has accounts, so that the client must not
	// learn of jobs of other accounts.
	HasAccounts bool
}

// Scope returns the jobs of a queue that the client's calls may concern.
func (c Client) Scope(queue string) JobScope {
	return JobScope{Queue: queue, Account: c.Account.Name, HasAccounts: c.HasAccounts}
}

// JobScope selects the jobs that a call may concern. To the call, other jobs do not
// exist.
type JobScope struct {
	// Queue is the name of the jobs' queue. If it is empty, as in calls of earlier
	// releases, jobs of all queues are in scope.
	Queue string
	// If HasAccounts is set, only jobs of Account and jobs without an account are in
	// scope. A job has no account if its queue was public or the deployment had no
	// accounts when it was accepted.
	Account     string
	HasAccounts bool
}

// Contains reports whether a job of a queue and an account is in scope. The account is
// empty for a job without one.
func (s JobScope) Contains(queue, account string) bool {
	if s.Queue != "" && s.Queue != queue {
		return false
	}
	return !s.HasAccounts || account == "" || account == s.Account
}
