// Command cicadabarrow schedules service, batch and all-at-once jobs on the same
// hosts. The binary contains the entry host and the commands for operators and
// teams.
package main

import (
	"context"
	"os"

	"cicadabarrow.example/cicadabarrow/internal/command"
)

func main() {
	signals := command.NotifySignals()
	os.Exit(command.Run(context.Background(), signals, os.Args, os.Stdout, os.Stderr))
}
