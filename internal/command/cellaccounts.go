package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"cicadabarrow.example/cicadabarrow/internal/api"
)

func showCellAccounts(ctx context.Context, cmd *cli.Command) (result, error) {
	var p api.Cell
	if _, err := fetchView(ctx, cmd, cellPath, &p); err != nil {
		return result{}, err
	}
	if p.Accounts == nil {
		p.Accounts = []api.CellAccount{}
	}
	document, err := json.Marshal(p.Accounts)
	if err != nil {
		return result{}, err
	}
	return result{JSON: json.RawMessage(document), Text: func(w io.Writer) {
		if len(p.Accounts) == 0 {
			row(w, "No client accounts in manifest", p.Manifest)
		}
		writeAccounts(w, p.Accounts)
	}}, nil
}

// writeAccounts writes a table of the client accounts, if there are any.
func writeAccounts(w io.Writer, accounts []api.CellAccount) {
	if len(accounts) == 0 {
		return
	}
	row(w, "ACCOUNT", "WEIGHT", "SHARE", "MILLICORES", "MB", "ACCELERATORS", "WAITING", "FOR CAP", "IN EXCESS", "EXCESS FOR", "REFUSED", "")
	for i := range accounts {
		a := &accounts[i]
		row(w, a.Name, fmt.Sprintf("%g", a.Weight), fmt.Sprintf("%.1f%%", 100*a.Share), useText(a.Use.MilliCores, a.Cap.MilliCores),
			useText(a.Use.MemoryMB, a.Cap.MemoryMB), useText(a.Use.Accelerators, a.Cap.Accelerators), a.Waiting, a.CapWaiting, a.InExcess,
			a.ExcessFor, a.Refused, accountNote(a))
	}
}

// useText formats a use against its limit, which is 0 if there is none.
func useText(use, limit int64) string {
	if limit == 0 {
		return fmt.Sprintf("%d", use)
	}
	return fmt.Sprintf("%d of %d", use, limit)
}

// accountNote tells what is special about an account.
func accountNote(a *api.CellAccount) string {
	switch {
	case a.Removed:
		return "not in the manifest"
	case a.OverShare:
		return "over its share"
	}
	return ""
}
