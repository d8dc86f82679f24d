// Package interference learns which tasks slow each other down on one worker, and by how
// much. It gets observations of workers and answers with the penalty of placing one more
// task beside others. It does no input or output and has no clock of its own.
//
// Tasks of one class behave alike. The loss of a task tells how badly it fares: latency
// over target if it serves requests, otherwise the share of its speed that it lacks. For
// each class, a ridge regression over its recent observations attributes the loss to the
// classes beside it. All sums decay, so that what no longer holds is forgotten.
//
// docs/design/interference.md compares this with the alternatives.
package interference
