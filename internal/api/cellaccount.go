package api

// CellAccount is the state of a client account of a cell.
type CellAccount struct {
	Name string
	// Removed tells that the manifest in force does not have the account. Its jobs keep
	// the terms of their acceptance.
	Removed bool
	// Weight is the number of jobs a second that the account is owed, and Share its part of
	// the weights of all accounts.
	Weight float64
	Share  float64
	// Cap limits Use, what the account has running on all workers; 0 is no limit.
	Cap Size
	Use Size
	// Jobs is the number of jobs that the owner knows, ended ones too for a while.
	Jobs int
	// Waiting is the number of tasks to place, and CapWaiting that of those for which the
	// cap leaves no room.
	Waiting    int
	CapWaiting int
	// InExcess is the number of open jobs that rank after those of others, and ExcessFor
	// the time in which the account's rate works off its excess.
	InExcess  int
	ExcessFor string
	// OverShare tells that the account uses more than its share while others wait.
	OverShare bool
	// Refused is the number of jobs that the hosts have refused for the limits of the
	// account since each of them began.
	Refused uint64
}
