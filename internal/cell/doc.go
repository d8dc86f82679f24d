// Package cell decides which task runs on which worker.
//
// A Cell holds the jobs, the workers and the placement of the running tasks. It
// is a deterministic state machine: callers pass it events with their times, and
// it returns the actions to take next, such as questions for the advice service,
// starts, stops, changes of pace, and records to make durable. It does no I/O,
// so a test can play any order of events in virtual time.
//
// A Cell belongs to one owner, the host that runs it. Owners succeed each other;
// the earlier ones are the predecessors. A run is one execution of a task on a
// worker. The pace of a run is the percentage of its full speed. The advice
// service tells on which workers a step may run and issues tickets for them; a
// question is one AskAdvice.
//
// Three rules ensure that no task runs twice and no result is lost:
//
//   - A start is normally sent only after the record that names its worker is
//     durable. While the store is slow, it may be sent earlier if the owner's
//     durable row names the worker; this is an early start.
//   - An end is acknowledged to the worker only after it is durable.
//   - A task is placed again only once its last run can no longer be running.
package cell
