package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/settings"
)

// settingsChecked is the JSON result of "settings check".
type settingsChecked struct {
	File  string
	Valid bool
}

func settingsCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "settings",
		Usage:       "works with settings files",
		Description: example("cicadabarrow settings check examples/tsukushi/kita-hakata-1.json"),
		Commands: []*cli.Command{{
			Name:        "check",
			Usage:       "checks a settings file and lists every fault",
			ArgsUsage:   "FILE",
			Description: example("cicadabarrow settings check examples/tsukushi/kita-hakata-1.json"),
			Flags: []cli.Flag{
				&cli.StringFlag{
					Name: flagFor, Value: forServe, Usage: "the `COMMAND` that reads the file: serve or host", Validator: checkReader,
				},
				formatFlag(),
			},
			Action: commandAction(stdout, 1, func(_ context.Context, cmd *cli.Command) (result, error) {
				return checkSettings(cmd.Args().First(), cmd.String(flagFor))
			}),
		}},
	}
}

const (
	flagFor  = "for"
	forServe = "serve"
	forHost  = "host"
)

func checkReader(reader string) error {
	if reader != forServe && reader != forHost {
		return fmt.Errorf("the reader is %q; allowed is serve or host", reader)
	}
	return nil
}

func checkSettings(file, reader string) (result, error) {
	name, dataCentre, err := readHostName(file, reader)
	if err != nil {
		return result{}, fmt.Errorf("%s: %w", file, err)
	}
	return result{
		JSON: settingsChecked{File: file, Valid: true},
		Text: func(w io.Writer) { row(w, fmt.Sprintf("%s is valid: %s in %s", file, name, dataCentre)) },
	}, nil
}

// readHostName loads a settings file and returns the name and data centre of its
// host.
func readHostName(file, reader string) (name, dataCentre string, err error) {
	if reader == forHost {
		s, err := settings.LoadHost(file)
		return s.Name, s.DataCentre, err
	}
	s, err := settings.Load(file)
	return s.Name, s.DataCentre, err
}
