// Package cell decides which task runs on which worker.
//
// A Cell holds the jobs, the workers and the placement of the running tasks. It
// is a deterministic state machine: callers pass it events with their times, and
// it returns the actions to take next, such as questions for the advice service,
// starts, stops, changes of pace, and records to make durable. It does no I/O,
// so a test can play any order of events in virtual time.
//
// Three rules ensure that no task runs twice and no result is lost:
//
//   - A start is sent only after the record that names its worker is durable,
//     or, as an early start, after the row that names the workers which may get
//     early starts is durable.
//   - An end is acknowledged to the worker only after it is durable.
//   - A task is placed again only once its last run can no longer be running.
package cell
