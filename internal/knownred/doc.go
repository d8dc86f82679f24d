// Package knownred decides whether a run of go test passes despite failed tests.
// The run passes if every failed test is listed by package and exact name in
// KNOWN-RED.txt and nothing else went wrong. A known-red test is a test that is
// known to fail.
//
// List holds the entries of the file. Run reads the events of go test -json and
// prints them as go test does without -json. Run.Evaluate compares the two.
package knownred
