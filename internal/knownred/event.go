package knownred

// action is the type of an event.
type action string

// The actions that are evaluated, as test2json and go build -json define them.
const (
	actionStart       action = "start"
	actionRun         action = "run"
	actionOutput      action = "output"
	actionPass        action = "pass"
	actionFail        action = "fail"
	actionSkip        action = "skip"
	actionBuildOutput action = "build-output"
	actionBuildFail   action = "build-fail"
	// actionExit is not an action of go test. .ci/run appends it as the last
	// event, with the exit status of go test.
	actionExit action = "exit"
)

// event is one line of go test -json. Its fields are named as in that format.
type event struct {
	Action action
	// Package is the import path of the package under test.
	Package string
	// Test is empty if the event concerns the package as a whole.
	Test   string
	Output string
	// ImportPath is the package that was built, in the events of a build.
	ImportPath string
	// FailedBuild is the failed build that prevented the package from running.
	FailedBuild string
	// Code is the exit status of go test.
	Code int
}
