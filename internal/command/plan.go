package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/plan"
)

const (
	flagTeam = "team"
	flagFile = "file"
	flagOut  = "out"
	// outMode is the mode of the files that a command writes.
	outMode = 0o600
)

func planCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "plan",
		Usage:       "shows and edits the plan document",
		Description: example("cicadabarrow plan get --team payments --out payments.json"),
		Commands: []*cli.Command{
			planGetCommand(stdout),
			planCheckCommand(stdout),
			planEditCommand(stdout),
			planHistoryCommand(stdout),
			planStatusCommand(stdout),
		},
	}
}

func teamFlag(required bool) cli.Flag {
	return &cli.StringFlag{Name: flagTeam, Usage: "`NAME` of the team", Required: required}
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: flagFile, Usage: "`FILE` with a section, as plan get wrote it", Required: true}
}

func planGetCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "get",
		Usage:       "prints a section of the plan, or the whole plan",
		Description: example("cicadabarrow plan get --team payments --out payments.json"),
		Flags: serverFlags(teamFlag(false),
			&cli.StringFlag{Name: flagOut, Usage: "`FILE` to write instead of standard output"}),
		Action: commandAction(stdout, 0, func(ctx context.Context, cmd *cli.Command) (result, error) {
			data, err := getPlan(ctx, cmd)
			if err != nil {
				return result{}, err
			}
			out := cmd.String(flagOut)
			if out == "" {
				return result{JSON: json.RawMessage(data), Text: func(w io.Writer) { _, _ = w.Write(data) }}, nil
			}
			if err := os.WriteFile(out, data, outMode); err != nil {
				return result{}, err
			}
			return result{JSON: struct{ File string }{out}, Text: func(w io.Writer) { row(w, "wrote "+out) }}, nil
		}),
	}
}

func getPlan(ctx context.Context, cmd *cli.Command) ([]byte, error) {
	server, err := newClient(cmd)
	if err != nil {
		return nil, err
	}
	if team := cmd.String(flagTeam); team != "" {
		section, err := server.Section(ctx, team)
		if err != nil {
			return nil, err
		}
		return plan.EncodeSection(section)
	}
	all, err := server.Plan(ctx)
	if err != nil {
		return nil, err
	}
	return plan.EncodeDocument(all)
}

func planCheckCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "checks a section together with the others, and changes nothing",
		Description: example("cicadabarrow plan check --file payments.json"),
		Flags:       serverFlags(fileFlag()),
		Action: commandAction(stdout, 0, func(ctx context.Context, cmd *cli.Command) (result, error) {
			section, err := readSection(cmd.String(flagFile))
			if err != nil {
				return result{}, err
			}
			server, err := newClient(cmd)
			if err != nil {
				return result{}, err
			}
			checked, err := server.Check(ctx, section)
			if err != nil {
				return result{}, err
			}
			return result{JSON: checked, Text: func(w io.Writer) { row(w, "the section of "+section.Team+" is valid") }}, nil
		}),
	}
}

func planEditCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "edit",
		Usage: "submits a section that was changed in a file",
		Description: "Get the section with plan get --out, change the file, and submit it. The file\n" +
			"keeps the revision that it was made from. When another edit came first, nothing\n" +
			"is changed and both edits are shown.\n\n" +
			example("cicadabarrow plan edit --file payments.json --key-file payments.key"),
		Flags: serverFlags(fileFlag()),
		Action: commandAction(stdout, 0, func(ctx context.Context, cmd *cli.Command) (result, error) {
			section, err := readSection(cmd.String(flagFile))
			if err != nil {
				return result{}, err
			}
			server, err := newClient(cmd)
			if err != nil {
				return result{}, err
			}
			accepted, err := server.Edit(ctx, section)
			if err != nil {
				return result{}, err
			}
			return result{JSON: accepted, Text: func(w io.Writer) {
				row(w, fmt.Sprintf("accepted: %s is at revision %d", accepted.Team, accepted.Revision))
			}}, nil
		}),
	}
}

func readSection(name string) (plan.Section, error) {
	file, err := os.Open(name)
	if err != nil {
		return plan.Section{}, err
	}
	defer func() { _ = file.Close() }()
	section, err := plan.DecodeSection(file)
	if err != nil {
		return plan.Section{}, fmt.Errorf("%s: %w", name, err)
	}
	return section, nil
}

func planHistoryCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "lists the accepted edits of a section, the latest first",
		Description: example("cicadabarrow plan history --team payments"),
		Flags:       serverFlags(teamFlag(true)),
		Action: commandAction(stdout, 0, func(ctx context.Context, cmd *cli.Command) (result, error) {
			server, err := newClient(cmd)
			if err != nil {
				return result{}, err
			}
			all, err := server.History(ctx, cmd.String(flagTeam))
			if err != nil {
				return result{}, err
			}
			data, err := plan.EncodeHistory(all)
			if err != nil {
				return result{}, err
			}
			return result{JSON: json.RawMessage(bytes.TrimSpace(data)), Text: func(w io.Writer) {
				row(w, "REVISION", "MADE FROM", "AUTHOR", "AT")
				for i := range all {
					row(w, all[i].Section.Revision, all[i].Base, all[i].Author, all[i].At.Format(time.RFC3339))
				}
			}}, nil
		}),
	}
}

func planStatusCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "shows the revisions in force on each entry host",
		Description: example("cicadabarrow plan status"),
		Flags:       serverFlags(),
		Action: commandAction(stdout, 0, func(ctx context.Context, cmd *cli.Command) (result, error) {
			server, err := newClient(cmd)
			if err != nil {
				return result{}, err
			}
			status, err := server.PlanStatus(ctx)
			if err != nil {
				return result{}, err
			}
			return result{JSON: status, Text: func(w io.Writer) { showPlanStatus(w, status) }}, nil
		}),
	}
}

func showPlanStatus(w io.Writer, status api.PlanStatus) {
	row(w, "HOST", "DATA CENTRE", "TEAM", "REVISION")
	for _, host := range status.Hosts {
		if !host.Reachable {
			row(w, host.Name, host.DataCentre, "-", "not reached")
			continue
		}
		if len(host.Revisions) == 0 {
			row(w, host.Name, host.DataCentre, "-", "no section")
		}
		for _, team := range slices.Sorted(maps.Keys(host.Revisions)) {
			row(w, host.Name, host.DataCentre, team, host.Revisions[team])
		}
	}
}
