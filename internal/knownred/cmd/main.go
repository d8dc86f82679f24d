// Command cmd reads the events of go test -json and exits with an error unless
// every failure is listed in the file that its argument names. .ci/run uses it.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/knownred"
)

const flagPartial = "partial"

func main() {
	command := &cli.Command{
		Name:      "knownred",
		Usage:     "evaluate a test run and ignore only the listed failures",
		ArgsUsage: "LIST",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagPartial, Usage: "leave the entries of packages that did not run to another run"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return evaluate(c.Args().First(), c.Bool(flagPartial))
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// evaluate reads a run from standard input and evaluates it against the list at
// path. A partial run has only some of the packages.
func evaluate(path string, partial bool) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	list, err := knownred.ReadList(file)
	if err != nil {
		return err
	}
	run := knownred.New(os.Stdout)
	if err := run.Read(os.Stdin); err != nil {
		return err
	}
	if partial {
		list = list.OfPackages(run)
	}
	result := run.Evaluate(list)
	if err := result.Write(os.Stdout); err != nil {
		return err
	}
	if len(result.Failures) > 0 {
		return fmt.Errorf("the run fails: %d failures are not known red", len(result.Failures))
	}
	return nil
}
