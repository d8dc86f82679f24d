// Package demo runs a whole deployment in one process on loopback: the entry
// hosts, the stand-ins of the platform, and the load of callers, teams and
// operators. Optionally it injects the faults that the scheduler has to tolerate.
//
// Its results are computed from what the stand-ins recorded and from the
// outcomes that callers received, never from the scheduler's own counters.
package demo
