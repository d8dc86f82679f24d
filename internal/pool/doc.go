// Package pool decides which task runs on which worker of a data centre. It is
// deterministic and does no I/O: given the time and an event, it returns the
// actions to carry out.
//
// A Pool is the state of the single owner of a data centre's workers. It admits
// tasks against reserved capacity, never against reported usage, so that the
// tasks of a worker never exceed its capacity. Use it through the owner service
// of package entry, or directly in a test or a benchmark.
//
// A Record is one transition in the owner's journal. The intent to start an
// attempt is durable before the attempt is sent to its worker, so a new owner
// that replays the records knows every attempt that may run.
// ScheduleUnjournaled is the exception: it starts attempts before their intents
// are durable. Such attempts are called unjournaled: if the owner fails, they may
// run although no record names them.
//
// Every event method returns its actions in the order in which they have to be
// started. Schedule makes the placements; call it after each round of events.
package pool
