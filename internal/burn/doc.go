// Package burn measures the service-level objectives of the plan: the remaining
// error budget of each and its burn rate.
//
// A Recorder counts good and bad events on one entry host. Merge combines the
// counts of all hosts into a Report, which is written as text, JSON or an HTML
// page.
package burn
