package knownred

// action says what an event reports.
type action string

// The actions that matter, as test2json and go build -json define them.
const (
	actionStart       action = "start"
	actionRun         action = "run"
	actionOutput      action = "output"
	actionPass        action = "pass"
	actionFail        action = "fail"
	actionSkip        action = "skip"
	actionBuildOutput action = "build-output"
	actionBuildFail   action = "build-fail"
	// actionExit is not go test's: .ci/run writes it last, with go test's
	// exit status.
	actionExit action = "exit"
)

// event is one line of go test -json. Its fields have the names of the format.
type event struct {
	Action action
	// Package is the import path of the package under test.
	Package string
	// Test is empty for what concerns the package as a whole.
	Test   string
	Output string
	// ImportPath names what was built, in the events of a build.
	ImportPath string
	// FailedBuild names the build that kept the package from running.
	FailedBuild string
	// Code is the exit status of go test.
	Code int
}
