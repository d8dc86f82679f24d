// Package knownred decides whether a run of go test may pass although tests of
// it failed: it may if every failed test is listed by package and exact name in
// KNOWN-RED.txt, and nothing else went wrong.
//
// List holds the entries, Run reads the events of go test -json and shows them
// in the form that go test prints without -json, and Run.Judge compares the two.
package knownred
