package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

const flagHTML = "html"

func reportCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "report",
		Usage:       "reports on service-level objectives",
		Description: example("cicadabarrow report burn"),
		Commands: []*cli.Command{{
			Name:        "burn",
			Usage:       "shows the error budget left and the burn rates of each objective",
			Description: example("cicadabarrow report burn --html burn.html"),
			Flags:       serverFlags(&cli.StringFlag{Name: flagHTML, Usage: "`FILE` to write a page with a chart to"}),
			Action:      commandAction(stdout, 0, burnReport),
		}},
	}
}

func burnReport(ctx context.Context, cmd *cli.Command) (result, error) {
	server, err := newClient(cmd)
	if err != nil {
		return result{}, err
	}
	if page := cmd.String(flagHTML); page != "" {
		data, err := server.BurnReport(ctx, "html")
		if err != nil {
			return result{}, err
		}
		if err := os.WriteFile(page, data, outMode); err != nil {
			return result{}, err
		}
		return result{JSON: struct{ File string }{page}, Text: func(w io.Writer) { row(w, "wrote "+page) }}, nil
	}
	format := cmd.String(flagFormat)
	data, err := server.BurnReport(ctx, format)
	if err != nil {
		return result{}, err
	}
	if format == formatJSON && !json.Valid(data) {
		return result{}, fmt.Errorf("the response of %d bytes is not JSON", len(data))
	}
	return result{JSON: json.RawMessage(data), Text: func(w io.Writer) { _, _ = w.Write(data) }}, nil
}
