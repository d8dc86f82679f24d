// Command cicadabarrow schedules services, batch and all-at-once jobs on the
// same hosts. The binary contains the daemon and the operators' commands.
package main

import (
	"context"
	"os"

	"cicadabarrow.example/cicadabarrow/internal/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
